package state

import (
	"context"
	"errors"
	"time"

	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/uptime"
)

// Store reads the records of the platform's store.
type Store interface {
	// List returns the records below a prefix and a revision. A watch that starts after that
	// revision misses no change.
	List(ctx context.Context, prefix string) ([]site.Record, site.Revision, error)
	// Watch waits for changes below a prefix after a revision, for at most wait. It returns the
	// changes and the revision up to which they are complete.
	Watch(ctx context.Context, prefix string, after site.Revision, wait time.Duration) ([]site.Record, site.Revision, error)
	// Close drops idle connections.
	Close()
}

const (
	// minRetryPause is the pause after a failed call. It doubles with each further failure, up to
	// maxRetryPause. A healthy store answers in milliseconds and can take a few calls per second.
	// The pauses are short because expired servers are kept for only a limited time, which starts
	// with the store's first answer after an outage.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// probeWait is the wait of the first watch and of a watch after a failure. The store answers a
	// watch only when something changes or the wait is over, so a longer wait would delay the
	// detection of its recovery.
	probeWait = 20 * time.Millisecond
	// coalesceTime is the pause after a watch that returned changes. Each answer costs a call to
	// the platform. The servers of a deployment that starts register one by one, and the pause
	// reduces the calls for 100 of them to a tenth. Changes need to take effect only within
	// seconds.
	coalesceTime = 250 * time.Millisecond
	// sweepEvery is how often the Sweeper checks for expired servers.
	sweepEvery = 200 * time.Millisecond
)

// allKeys is the prefix of all keys. One watch of all keys costs one call; a separate watch for
// each kind of record would cost at least three.
const allKeys = ""

// Watcher applies the records of the store to a Book: it lists them and then watches for changes.
type Watcher struct {
	Book  *Book
	Store Store
	// Wait limits one watch. The connection of an open watch may stop delivering for good while
	// new ones work. A change is then observed after Wait at the latest.
	Wait time.Duration
	// HistoryGone is the error that the store returns if it no longer holds the changes after the
	// requested revision, or is in a later era.
	HistoryGone error
}

// Start watches until the context ends.
func (w *Watcher) Start(ctx context.Context) {
	go w.loop(ctx)
}

func (w *Watcher) loop(ctx context.Context) {
	// A complete copy received from other ingresses replaces the listing.
	r := watchRun{listed: w.Book.IsListed(), wait: probeWait, retryPause: minRetryPause}
	for ctx.Err() == nil {
		began := time.Now()
		isWatch := r.listed
		err := w.listOrWatch(ctx, &r.listed, r.wait)
		switch {
		case err == nil:
			w.Book.ObserveWatchAnswer()
			r.recordAnswer(isWatch, w.Wait)
		case ctx.Err() != nil:
			return
		case errors.Is(err, w.HistoryGone):
			w.Book.logDroppedHistory()
			pauses.Wait(ctx, r.recordDrop())
		default:
			w.observeFailure(began, r.answered, err)
			pauses.Wait(ctx, r.recordFailure())
		}
	}
}

// observeFailure records a call that failed and drops the connections to the store. Answered is set once
// the store has answered this Watcher.
func (w *Watcher) observeFailure(began time.Time, answered bool, err error) {
	since := unavailableSince(began, err)
	if last := w.Book.lastAnswerAt(); !answered && last.Before(since) {
		since = last // the store did not answer the ingress followed before, either
	}
	w.Book.ObserveWatchFailure(since, err)
	w.Store.Close()
}

// watchRun is the state of a Watcher between its calls.
type watchRun struct {
	// listed is set once all records up to the next watch are known.
	listed bool
	// answered is set once the store has answered.
	answered bool
	// wait limits the next watch.
	wait time.Duration
	// retryPause is the pause after the next failed call, and relistPause that before the listing after
	// the next dropped history.
	retryPause, relistPause time.Duration
}

// recordAnswer records an answer of the store, to a watch or to a listing. Wait limits the next watch.
func (r *watchRun) recordAnswer(isWatch bool, wait time.Duration) {
	r.answered = true
	r.wait = wait
	r.retryPause = minRetryPause
	if isWatch {
		r.relistPause = 0
	}
}

// recordDrop records that the store no longer holds the changes to watch, so that only a new listing
// contains them. It returns the pause before that listing: none after a watch that was answered.
func (r *watchRun) recordDrop() time.Duration {
	pause := r.relistPause
	r.listed = false
	r.relistPause = min(max(2*pause, minRetryPause), maxRetryPause)
	return pause
}

// recordFailure records a call that failed, and returns the pause before the next one.
func (r *watchRun) recordFailure() time.Duration {
	pause := r.retryPause
	r.wait = probeWait
	r.retryPause = min(2*pause, maxRetryPause)
	return pause
}

// unavailableSince returns since when the store may have been unavailable, given a call that
// failed. A call that timed out shows nothing about the time since it began, so the store may have
// been unavailable since then. Any other error shows the state of the store now.
func unavailableSince(began time.Time, err error) time.Time {
	if errors.Is(err, context.DeadlineExceeded) {
		return began
	}
	return time.Now()
}

// listOrWatch lists all records if listed is not set, and otherwise runs one watch.
func (w *Watcher) listOrWatch(ctx context.Context, listed *bool, wait time.Duration) error {
	asked := uptime.Now()
	if !*listed {
		records, revision, err := w.Store.List(ctx, allKeys)
		if err != nil {
			return err
		}
		w.Book.ApplyListing(records, revision)
		w.Book.ConfirmRecords(asked)
		*listed = true
		return nil
	}
	changes, revision, err := w.Store.Watch(ctx, allKeys, w.Book.CompleteRevision(), wait)
	if err != nil {
		return err
	}
	w.Book.Apply(changes, revision)
	w.Book.ConfirmRecords(asked)
	if len(changes) > 0 {
		pauses.Wait(ctx, coalesceTime)
	}
	return nil
}

// Sweeper periodically checks the availability of the store and drops expired servers and
// ingresses.
type Sweeper struct {
	Book *Book
}

// Start sweeps until the context ends.
func (s *Sweeper) Start(ctx context.Context) {
	go s.loop(ctx)
}

func (s *Sweeper) loop(ctx context.Context) {
	for pauses.Wait(ctx, sweepEvery) {
		s.Book.CheckRenewals(time.Now())
		s.Book.DropExpired(time.Now())
	}
}
