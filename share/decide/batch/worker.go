package batch

import (
	"time"

	"verbenaroad.example/share/models/site"
)

const (
	// slowdownWeight is the weight of a new call in the moving average of a server's slowdown.
	slowdownWeight = 0.4
	// timeoutRatio is the timeout of a call as a multiple of its expected duration: servers
	// that become slow take four to five times as long, and unresponsive ones never answer.
	timeoutRatio = 4
	// minTimeout leaves time for fetching inputs over a busy link.
	minTimeout = 900 * time.Millisecond
	// initialBackoff is how long a server gets no work after a failure; it doubles with each
	// further failure in a row, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// worker is the state that the planner keeps for one backend server.
type worker struct {
	server site.Server
	// inFlight is the number of calls in flight.
	inFlight int
	// current is the call that the server is working on; nil if there is none.
	current *Call
	// roundTrip is the round-trip time to the server; 0 if not known.
	roundTrip time.Duration
	// slowdown is the duration of recent calls relative to that stated by the service. It
	// starts at 1.
	slowdown float64
	// usedBytes is the approximate memory that results take, including planned ones.
	usedBytes int64
	// plannedBytes holds the memory planned for each call in flight.
	plannedBytes map[uint64]int64
	// held holds the results at the server by handle.
	held map[string]heldResult
	// foreignBytes is memory that this planner did not plan, estimated at foreignRaisedAt:
	// results that another planner had produced before this one took over, or results larger
	// than stated.
	foreignBytes    int64
	foreignRaisedAt time.Time
	// memoryWaitSince is when the planner began to wait for more free memory at the server; zero
	// if it does not wait.
	memoryWaitSince time.Time
	// reportedIdle is set if the last answer reported that the server has no work besides the
	// calls of this planner. It does not count for calls sent before trustedFrom.
	reportedIdle bool
	trustedFrom  time.Time
	// failures counts failed calls in a row; backoffUntil is when the server gets work again.
	failures     int
	backoffUntil time.Time
}

// heldResult is a result at a server, with the end of its keep time.
type heldResult struct {
	bytes int64
	until time.Time
}

func newWorker(s site.Server) *worker {
	return &worker{server: s, slowdown: 1, plannedBytes: map[uint64]int64{}, held: map[string]heldResult{}}
}

func (w *worker) start(call *Call, bytes int64) {
	w.inFlight++
	if w.inFlight > 1 {
		call.shared = true
	}
	if w.current != nil {
		w.current.shared = true
	}
	w.usedBytes += bytes
	w.plannedBytes[call.ID] = bytes
	if w.current == nil {
		w.current = call
	}
}

// leadRoundTrips is the number of round trips between the end of a call at its server and
// the start of the next one if that is sent when the answer arrives: half of one for the
// answer, one for a new connection, and half of one for the next call.
const leadRoundTrips = 2

// leadTime returns how long a call is on its way before its server can start it.
func (w *worker) leadTime() time.Duration { return leadRoundTrips * w.roundTrip }

// isSoonIdle reports whether a call that is sent now arrives about when the server ends its
// current call.
func (w *worker) isSoonIdle(now time.Time) bool {
	if w.inFlight != 1 || w.current == nil || w.roundTrip == 0 {
		return false
	}
	return !now.Before(w.idleAt().Add(-w.leadTime()))
}

// idleAt returns the estimated end of the server's current call; zero if the server is idle.
func (w *worker) idleAt() time.Time {
	if w.current == nil {
		return time.Time{}
	}
	return w.current.turn.Add(time.Duration(w.slowdown * float64(w.current.expected)))
}

// timeout returns the timeout of a call, which is longer for a server that is known to be slow.
func (w *worker) timeout(expected time.Duration) time.Duration {
	return max(minTimeout, time.Duration(timeoutRatio*max(w.slowdown, 1)*float64(expected)))
}

func (w *worker) finish(now time.Time, call *Call, r CallResult, pool site.Pool) {
	results, failed := r.Results, r.Failed
	planned, known := w.plannedBytes[call.ID]
	if !known {
		return // the server has restarted since the call was sent
	}
	w.inFlight--
	w.usedBytes -= planned
	delete(w.plannedBytes, call.ID)
	w.reportedIdle = r.Load != nil && r.Load.Running+r.Load.Waiting <= w.inFlight
	if w.current == call {
		w.current = nil
	}
	if r.RoundTrip > 0 {
		w.roundTrip = r.RoundTrip
	}
	if failed {
		w.trustedFrom = now.Add(pool.ResultTTL)
		w.backOff(now)
		return
	}
	if isRefused(results) {
		// Calls of another planner fill the server. Back off for a part of a call.
		w.backoffUntil = now.Add(call.expected / refusedDivisor)
		w.trustedFrom = now.Add(pool.ResultTTL)
		return
	}
	w.failures = 0
	w.backoffUntil = time.Time{}
	slowdown := max(float64(now.Sub(call.turn)), 0) / float64(call.expected)
	w.slowdown += slowdownWeight * (slowdown - w.slowdown)
	for i, result := range results {
		if result.Outcome == site.ItemMade {
			w.hold(result.Handle, call.refs[i].job.ResultBytes, now.Add(pool.ResultTTL))
		}
	}
	w.raiseForeignBytes(now, call, results, pool)
}

// raiseForeignBytes raises the estimate of foreign memory if items found no memory although
// the planner had counted on it.
//
// Otherwise, after another planner has batched for the service, items would be sent again and
// again to a full server, because this planner does not know the results held there.
func (w *worker) raiseForeignBytes(now time.Time, call *Call, results []site.ItemResult, pool site.Pool) {
	missing := int64(0)
	for i, result := range results {
		if result.Outcome == site.ItemNoRoom {
			missing += call.refs[i].job.ResultBytes
		}
	}
	if missing == 0 {
		return
	}
	w.foreignBytes = min(w.foreignBytesAt(now, pool.ResultTTL)+missingWeight*missing, pool.ResultMemoryBytes)
	w.foreignRaisedAt = now
	w.trustedFrom = now.Add(pool.ResultTTL)
}

// missingWeight is how many bytes are assumed to be foreign for each byte that was missing. It
// is more than 1 out of caution, but the server is not assumed to be full, since a single
// result that is larger than stated also finds no memory.
const missingWeight = 2

// foreignBytesAt returns what is left of the foreign memory. Its results end within the time
// that a server keeps them, most of them much sooner.
func (w *worker) foreignBytesAt(now time.Time, keep time.Duration) int64 {
	if w.foreignBytes == 0 || keep <= 0 {
		return 0
	}
	left := 1 - float64(now.Sub(w.foreignRaisedAt))/float64(keep/foreignKeepDivisor)
	return int64(max(left, 0) * float64(w.foreignBytes))
}

// foreignKeepDivisor divides the keep time of results into the time after which foreign
// results are assumed to be gone.
const foreignKeepDivisor = 3

// refusedDivisor divides the expected duration of a refused call into the backoff after it.
const refusedDivisor = 2

func (w *worker) hold(handle string, bytes int64, until time.Time) {
	w.usedBytes += bytes
	w.held[handle] = heldResult{bytes: bytes, until: until}
}

func (w *worker) release(handle string) {
	r, known := w.held[handle]
	if !known {
		return
	}
	w.usedBytes -= r.bytes
	delete(w.held, handle)
}

func (w *worker) expire(now time.Time) {
	for handle, r := range w.held {
		if now.After(r.until) {
			w.release(handle)
		}
	}
}

func (w *worker) backOff(now time.Time) {
	backoff := initialBackoff << min(w.failures, 4)
	w.failures++
	w.backoffUntil = now.Add(min(backoff, maxBackoff))
}
