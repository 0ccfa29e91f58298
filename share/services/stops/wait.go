package stops

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"go.uber.org/zap"
)

// Wait waits for a signal and then for the drain; a second signal changes nothing.
func Wait(ctx context.Context, stopper *Stopper, log *zap.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	for {
		select {
		case got := <-signals:
			log.Info("stop-requested", zap.Stringer("signal", got))
			stopper.RequestStop(ctx)
		case <-stopper.Stopped():
			cut := stopper.FindCut()
			log.Info("stopped", zap.Int("cut", len(cut)), zap.String("requests", strings.Join(cut, ",")))
			return
		case <-ctx.Done():
			return
		}
	}
}
