package cmds

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/services/stops"
)

// closeDeadline returns when the servers must be closed, so that the process exits within the grace period. Callers that
// send a request slowly do not keep the process for longer than closeTimeout.
func (i *Ingress) closeDeadline() time.Time {
	endsAt, _ := i.stopper.EndsAt()
	latest, usual := endsAt.Add(graceReserve-closeReserve), time.Now().Add(closeTimeout)
	if usual.Before(latest) {
		return usual
	}
	return latest
}

// waitForStop waits for the stop signal and the end of the drain. Until then, SIGHUP reloads the
// settings.
func (i *Ingress) waitForStop(ctx context.Context) {
	stopped := make(chan struct{})
	w := stopWaiter{stopper: i.stopper, signals: i.process.Stops, log: i.log, stopped: stopped}
	go w.run(ctx)
	for {
		select {
		case <-i.process.Reloads:
			i.reloadSettings()
		case <-stopped:
			return
		}
	}
}

// reloadSettings loads the settings again and applies those that can change while the process runs:
// the log level and the retry budget. Settings with any fault change nothing.
func (i *Ingress) reloadSettings() {
	s, err := i.process.Reload()
	if err != nil {
		i.meters.CountReload("kept")
		i.log.Error("reload", zap.String("outcome", "kept"), logs.Err(err))
		return
	}
	i.logOutput.SetLevel(s.Log.Level)
	i.ledger.SetSettings(s.Repeats.Settings)
	i.meters.CountReload("applied")
	i.log.Info("reload", zap.String("outcome", "applied"), zap.String("log-level", s.Log.Level),
		zap.Float64("repeats-ratio", s.Repeats.Ratio), zap.Float64("repeats-slack", s.Repeats.Slack))
}

// stopWaiter waits for the stop signal and the drain while waitForStop handles SIGHUP.
type stopWaiter struct {
	stopper *stops.Stopper
	signals <-chan os.Signal
	log     *zap.Logger
	stopped chan struct{}
}

func (w stopWaiter) run(ctx context.Context) {
	stops.Wait(ctx, w.stopper, w.signals, w.log)
	close(w.stopped)
}
