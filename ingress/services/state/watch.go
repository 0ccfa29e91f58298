package state

import (
	"context"
	"errors"
	"time"

	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/pauses"
)

// Store reads the platform's records.
type Store interface {
	// List returns the records below a prefix and the revision after which a watch misses nothing.
	List(ctx context.Context, prefix string) ([]site.Record, uint64, error)
	// Watch waits for changes below a prefix.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]site.Record, uint64, error)
	// Close drops idle connections.
	Close()
}

const (
	// firstRetry is the pause after a call that failed; it doubles up to maxRetry. The store
	// answers in milliseconds when it is well, and a few calls a second do it no harm. What
	// lapsed meanwhile is kept for a while from the first answer on, so it should come soon.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 400 * time.Millisecond
	// probeWait is the wait of the first watch after a loss. A watch is silent until
	// something changes, and tells as late that the store is back.
	probeWait = 20 * time.Millisecond
	// gatherTime is the pause after a watch that brought changes. Each answer is a
	// call to the platform, by each ingress; the servers of a deployment that starts
	// come one by one, and so 100 of them need a tenth of the calls. Changes are due
	// within seconds.
	gatherTime = 250 * time.Millisecond
	// expireEvery is how often lapsed servers are looked at.
	expireEvery = 200 * time.Millisecond
)

// Watcher follows the records of one prefix.
type Watcher struct {
	Book   *Book
	Store  Store
	Prefix string
	// Wait bounds one watch. An open watch can go silent for good while new ones
	// work; a change is then seen after Wait at the latest.
	Wait time.Duration
	// HistoryGone is the store's error for changes that are not kept any more.
	HistoryGone error
}

// Start follows until the context ends.
func (w *Watcher) Start(ctx context.Context) {
	go w.loop(ctx)
}

func (w *Watcher) loop(ctx context.Context) {
	listed := false
	pause := firstRetry
	wait := w.Wait
	for ctx.Err() == nil {
		began := time.Now()
		err := w.step(ctx, &listed, wait)
		if err == nil {
			w.Book.Reach(w.Prefix)
			pause = firstRetry
			wait = w.Wait
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, w.HistoryGone) {
			listed = false // what was missed is only in a new listing
			continue
		}
		w.Book.Lose(w.Prefix, silentSince(began, err), err)
		w.Store.Close()
		wait = probeWait
		if !pauses.Wait(ctx, pause) {
			return
		}
		pause = min(2*pause, maxRetry)
	}
}

// silentSince returns since when the store may have been away: a call that timed out
// says nothing of the time since it began, any other failure is the store's
// answer of now.
func silentSince(began time.Time, err error) time.Time {
	if errors.Is(err, context.DeadlineExceeded) {
		return began
	}
	return time.Now()
}

func (w *Watcher) step(ctx context.Context, listed *bool, wait time.Duration) error {
	if !*listed {
		records, at, err := w.Store.List(ctx, w.Prefix)
		if err != nil {
			return err
		}
		w.Book.Replace(w.Prefix, records, at)
		*listed = true
		return nil
	}
	changes, at, err := w.Store.Watch(ctx, w.Prefix, w.Book.At(w.Prefix), wait)
	if err != nil {
		return err
	}
	w.Book.Apply(w.Prefix, changes, at)
	if len(changes) > 0 {
		pauses.Wait(ctx, gatherTime)
	}
	return nil
}

// Sweeper drops lapsed servers in time.
type Sweeper struct {
	Book *Book
}

// Start sweeps until the context ends.
func (s *Sweeper) Start(ctx context.Context) {
	go s.loop(ctx)
}

func (s *Sweeper) loop(ctx context.Context) {
	for pauses.Wait(ctx, expireEvery) {
		s.Book.Expire(time.Now())
	}
}
