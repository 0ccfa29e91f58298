package batch

import (
	"time"

	"verbenaroad.example/share/models/site"
)

const (
	// paceShare is the weight of a new call in a server's pace.
	paceShare = 0.4
	// timeoutRatio is how much longer than expected a call may take before it is given up:
	// servers that turn slow take four to five times as long, dark ones forever.
	timeoutRatio = 4
	// minTimeout leaves room for fetching inputs over a busy link.
	minTimeout = 900 * time.Millisecond
	// firstPause is how long a server that failed is left alone; it doubles up to maxPause.
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
)

// worker is what the planner knows of one backend server.
type worker struct {
	server site.Server
	// calls counts the calls under way.
	calls int
	// current is the call that the server works on; nil while there is none.
	current *Call
	// roundTrip is how long a message to the server and back takes; 0: not known.
	roundTrip time.Duration
	// pace is how long calls take against what the service states; 1 at the start.
	pace float64
	// used is about the memory that results take, planned ones included.
	used int64
	// planned is the memory of each call under way.
	planned map[uint64]int64
	// held has the size and the end of each result.
	held map[string]holding
	// foreign is memory that something else takes, as seen at foreignOf: results that
	// another planner had made before this one took over, or larger ones than stated.
	foreign   int64
	foreignOf time.Time
	// waitingSince is when the server began to wait for memory; zero while it does not.
	waitingSince time.Time
	// isIdle is set while the last answer told that the server has nothing else to do;
	// trustedFrom is when that begins to count.
	isIdle      bool
	trustedFrom time.Time
	// failures counts failed calls in a row; suspectUntil is when the server is tried again.
	failures     int
	suspectUntil time.Time
}

type holding struct {
	bytes int64
	until time.Time
}

func newWorker(s site.Server) *worker {
	return &worker{server: s, pace: 1, planned: map[uint64]int64{}, held: map[string]holding{}}
}

func (w *worker) start(call *Call, bytes int64) {
	w.calls++
	if w.calls > 1 {
		call.shared = true
	}
	if w.current != nil {
		w.current.shared = true
	}
	w.used += bytes
	w.planned[call.ID] = bytes
	if w.current == nil {
		w.current = call
	}
}

// leadTrips is how many round trips pass between the end of a call at its server and
// the begin of the next one: half of one for the answer, one for a new connection, and
// half for the call.
const leadTrips = 2

// lead is how long a call is under way until its server can begin it.
func (w *worker) lead() time.Duration { return leadTrips * w.roundTrip }

// isSoonFree tells whether a call that is sent now arrives when the server ends its
// current one.
func (w *worker) isSoonFree(now time.Time) bool {
	if w.calls != 1 || w.current == nil || w.roundTrip == 0 {
		return false
	}
	return !now.Before(w.freeAt().Add(-w.lead()))
}

// freeAt is when the server has probably ended its current call; zero while it is idle.
func (w *worker) freeAt() time.Time {
	if w.current == nil {
		return time.Time{}
	}
	return w.current.turn.Add(time.Duration(w.pace * float64(w.current.expected)))
}

// timeout is generous to a server that is known to be slow.
func (w *worker) timeout(expected time.Duration) time.Duration {
	return max(minTimeout, time.Duration(timeoutRatio*max(w.pace, 1)*float64(expected)))
}

func (w *worker) end(now time.Time, call *Call, e Ended, pool site.Pool) {
	results, failed := e.Results, e.Failed
	planned, known := w.planned[call.ID]
	if !known {
		return // the server started anew meanwhile
	}
	w.calls--
	w.used -= planned
	delete(w.planned, call.ID)
	w.isIdle = e.Load != nil && e.Load.Running+e.Load.Waiting <= w.calls
	if w.current == call {
		w.current = nil
	}
	if e.RoundTrip > 0 {
		w.roundTrip = e.RoundTrip
	}
	if failed {
		w.trustedFrom = now.Add(pool.ResultTTL)
		w.fail(now)
		return
	}
	if isRefused(results) {
		// Another planner's call is there; ours waits for about one call.
		w.suspectUntil = now.Add(call.expected / refusedPart)
		w.trustedFrom = now.Add(pool.ResultTTL)
		return
	}
	w.failures = 0
	w.suspectUntil = time.Time{}
	took := max(float64(now.Sub(call.turn)), 0) / float64(call.expected)
	w.pace += paceShare * (took - w.pace)
	for i, r := range results {
		if r.Outcome == site.ItemMade {
			w.hold(r.Handle, call.jobs[i].job.ResultBytes, now.Add(pool.ResultTTL))
		}
	}
	w.noteRoom(now, call, results, pool)
}

// noteRoom learns from results that found no memory though the plan had some for them.
//
// Guards against items that are sent again and again to a full server after
// another planner's batches: this planner does not know what those hold there.
func (w *worker) noteRoom(now time.Time, call *Call, results []site.ItemResult, pool site.Pool) {
	missed := int64(0)
	for i, r := range results {
		if r.Outcome == site.ItemNoRoom {
			missed += call.jobs[i].job.ResultBytes
		}
	}
	if missed == 0 {
		return
	}
	w.foreign = min(w.foreignAt(now, pool.ResultTTL)+missedWeight*missed, pool.ResultMemoryBytes)
	w.foreignOf = now
	w.trustedFrom = now.Add(pool.ResultTTL)
}

// missedWeight is how much memory is taken to be foreign for each byte that was
// missed: some caution, and not the whole server, since one result that
// is larger than stated misses it too.
const missedWeight = 2

// foreignAt returns what is left of the foreign memory. Its results end within
// the time that a server keeps them, most of them much sooner.
func (w *worker) foreignAt(now time.Time, keep time.Duration) int64 {
	if w.foreign == 0 || keep <= 0 {
		return 0
	}
	left := 1 - float64(now.Sub(w.foreignOf))/float64(keep/foreignPace)
	return int64(max(left, 0) * float64(w.foreign))
}

// foreignPace divides the time that results are kept into how soon those of others are taken to be gone.
const foreignPace = 3

// refusedPart divides a call's time into the pause after a refusal.
const refusedPart = 2

func (w *worker) hold(handle string, bytes int64, until time.Time) {
	w.used += bytes
	w.held[handle] = holding{bytes: bytes, until: until}
}

func (w *worker) release(handle string) {
	h, known := w.held[handle]
	if !known {
		return
	}
	w.used -= h.bytes
	delete(w.held, handle)
}

func (w *worker) expire(now time.Time) {
	for handle, h := range w.held {
		if now.After(h.until) {
			w.release(handle)
		}
	}
}

func (w *worker) fail(now time.Time) {
	pause := firstPause << min(w.failures, 4)
	w.failures++
	w.suspectUntil = now.Add(min(pause, maxPause))
}
