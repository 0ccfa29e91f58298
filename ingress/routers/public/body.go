package public

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"verbenaroad.example/ingress/modules/memory"
	"verbenaroad.example/ingress/services/flow"
	"verbenaroad.example/share/modules/codes"
)

// lingerTime is how long the rest of a body is read and dropped after its request was refused because the process stops. A
// connection that is closed with unread bytes is reset, and the caller might lose the refusal.
const lingerTime = 300 * time.Millisecond

// errBodyStopped means that the process stops before a body has arrived.
var errBodyStopped = errors.New("the process stops, and the body has not arrived")

// bodyReader reads the body of one request.
type bodyReader struct {
	account *memory.Account
	control *http.ResponseController
	// limit is the largest size of the body in bytes.
	limit int64
	// The body must have arrived at the time until, and before the context stop ends.
	until time.Time
	stop  context.Context

	lock sync.Mutex
	// hasEnded is set once no more of the body is read. isStopped is set if stop ended before.
	hasEnded  bool
	isStopped bool
}

// read reads the body. The writer must be that of the HTTP server, which closes the connection of a body that is too long
// only after the answer was read.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.Body == http.NoBody {
		return []byte{}, nil
	}
	b.setDeadline(b.until)
	defer context.AfterFunc(b.stop, b.expire)()
	body, err := b.account.ReadAll(http.MaxBytesReader(w, r.Body, b.limit), r.ContentLength)
	b.lock.Lock()
	defer b.lock.Unlock()
	b.hasEnded = true
	switch {
	case err == nil:
		b.setDeadline(time.Time{})
	case b.isStopped && errors.Is(err, os.ErrDeadlineExceeded):
		b.setDeadline(time.Now().Add(lingerTime))
		return nil, errBodyStopped
	}
	return body, err
}

// expire ends the read of the body.
func (b *bodyReader) expire() {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.hasEnded {
		return
	}
	b.isStopped = true
	b.setDeadline(time.Now())
}

// setDeadline limits the reads of the connection.
func (b *bodyReader) setDeadline(at time.Time) { _ = b.control.SetReadDeadline(at) } // not all writers support it

// refuseBody returns the refusal for a body that could not be read.
func (t *Router) refuseBody(err error) *codes.Result {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return codes.NewResult(codes.BodyTooLarge, "the body is too long")
	case errors.Is(err, memory.ErrExhausted):
		return codes.NewResult(codes.Overloaded, err.Error()).WithRetryAfter(memoryRetryAfter)
	case errors.Is(err, errBodyStopped):
		return codes.NewResult(codes.Draining, err.Error()).WithRetryAfter(flow.StoppingRetryAfter(t.options.Peers.IsAlone()))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return codes.NewResult(codes.DeadlineExceeded, "the body did not arrive in time").WithOutcome(codes.OutcomeNotRun)
	}
	return codes.NewResult(codes.BadRequest, "the body ended early")
}
