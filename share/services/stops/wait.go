package stops

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"go.uber.org/zap"
)

// ReceiveStops returns a channel that receives SIGTERM and SIGINT. From then on they never end the process by themselves:
// not before it waits for them, and not while it closes its connections.
func ReceiveStops() <-chan os.Signal { return receive(syscall.SIGTERM, syscall.SIGINT) }

// ReceiveReloads returns a channel that receives SIGHUP, as ReceiveStops does for stops.
func ReceiveReloads() <-chan os.Signal { return receive(syscall.SIGHUP) }

func receive(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}

// Wait requests a stop at the first stop signal and returns when the process may exit, or
// when ctx ends. Further signals have no effect.
func Wait(ctx context.Context, stopper *Stopper, signals <-chan os.Signal, log *zap.Logger) {
	sends, answers := stopper.Sends().Done(), stopper.Answers().Done()
	for {
		select {
		case got := <-signals:
			log.Info("stop-requested", zap.Stringer("signal", got))
			stopper.RequestStop(ctx)
		case <-sends:
			sends = nil
			log.Info("sends-ended", zap.Int("running", stopper.CountRunning()))
		case <-answers:
			answers = nil
			log.Info("answers-ended", zap.Int("running", stopper.CountRunning()))
		case <-stopper.Work().Done():
			unfinished := stopper.FindUnfinished()
			log.Info("stopped", zap.Int("cut", len(unfinished)), zap.String("requests", strings.Join(unfinished, ",")))
			return
		case <-ctx.Done():
			return
		}
	}
}
