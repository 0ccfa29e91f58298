package calls

import (
	"net"
	"sync/atomic"
	"time"

	"verbenaroad.example/share/decide/retry"
	"verbenaroad.example/share/modules/codes"
)

// watchdog gives an attempt up that stays without a first piece for longer
// than its stage takes, while there is time and budget for another. Without it
// a call sent over a link that was just cut waits for its whole deadline: the
// session's heartbeats need seconds to notice.
type watchdog struct {
	timer *time.Timer
	fired atomic.Bool
	// stopped is set by the first stop; quiet then tells that the timer never ran and never will.
	stopped bool
	quiet   bool
}

// watch starts the watchdog of an attempt; nil where none is wanted.
func (e *exchange) watch(stream net.Conn) *watchdog {
	call := e.run.call
	if call.Patience <= 0 || !call.Idempotent {
		return nil
	}
	w := &watchdog{}
	w.timer = time.AfterFunc(call.Patience, func() {
		if e.runner.budget.AllowGiveUp(call.Service, retry.Open{
			Idempotent: true,
			Elapsed:    call.Patience,
			Remaining:  time.Until(call.Deadline),
			Need:       call.Patience,
		}) {
			w.fired.Store(true)
			// A closed stream goes on waiting for the peer, which cannot be reached; only the deadline ends the read.
			_ = stream.SetReadDeadline(time.Now())
			_ = stream.Close()
		}
	})
	return w
}

// stop ends the watch and reports whether it kept its hands off the stream. A
// timer that has run may still be about to close the stream, which must not be
// used again then: another call's answer would be cut.
func (w *watchdog) stop() bool {
	if w == nil {
		return true
	}
	if !w.stopped {
		w.stopped = true
		w.quiet = w.timer.Stop()
	}
	return w.quiet
}

func (w *watchdog) gaveUp() bool {
	return w != nil && w.fired.Load()
}

func impatient(patience time.Duration) *codes.Result {
	return codes.NewResult(codes.BackendLost, "no answer within "+patience.String())
}
