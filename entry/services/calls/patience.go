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
	// verdict is set once, by the first piece or by the timer, whichever comes
	// first: a piece that was passed on must not be followed by a given-up attempt.
	verdict atomic.Int32
}

const (
	verdictPiece  = 1
	verdictGaveUp = 2
)

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
			if !w.verdict.CompareAndSwap(0, verdictGaveUp) {
				return
			}
			// A closed stream goes on waiting for the peer, which cannot be reached; only the deadline ends the read.
			_ = stream.SetReadDeadline(time.Now())
			_ = stream.Close()
		}
	})
	return w
}

func (w *watchdog) stop() {
	if w != nil {
		w.timer.Stop()
	}
}

// takePiece reports whether the attempt's pieces still count.
func (w *watchdog) takePiece() bool {
	if w == nil {
		return true
	}
	w.verdict.CompareAndSwap(0, verdictPiece)
	return w.verdict.Load() == verdictPiece
}

func (w *watchdog) gaveUp() bool {
	return w != nil && w.verdict.Load() == verdictGaveUp
}

func impatient(patience time.Duration) *codes.Result {
	return codes.NewResult(codes.BackendLost, "no answer within "+patience.String())
}
