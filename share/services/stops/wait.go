package stops

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"go.uber.org/zap"
)

// Wait requests a stop at the first SIGTERM or SIGINT and returns when the process may exit, or
// when ctx ends. Further signals have no effect.
func Wait(ctx context.Context, stopper *Stopper, log *zap.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
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
