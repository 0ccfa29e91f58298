package state

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
)

// Store reads the platform's records.
type Store interface {
	// List returns the records below a prefix and the revision after which a watch misses nothing.
	List(ctx context.Context, prefix string) ([]site.Record, uint64, error)
	// Peek returns the first records below a prefix, and whether these are all.
	Peek(ctx context.Context, prefix string) (records []site.Record, at uint64, isWhole bool, err error)
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
	// call to the platform; the servers of a deployment that starts come one by one,
	// and so 100 of them need a tenth of the calls. Changes are due within seconds.
	gatherTime = 250 * time.Millisecond
	// expireEvery is how often lapsed servers are looked at.
	expireEvery = 200 * time.Millisecond
)

// everything is the prefix of all keys. One watch of all of them costs a call where
// one of each kind of record would cost three.
const everything = ""

// Watcher follows the records of the store.
type Watcher struct {
	Book  *Book
	Store Store
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
	// What other ingresses told is as good as a listing.
	listed := w.Book.IsListed()
	answered := false
	pause := firstRetry
	wait := probeWait
	for ctx.Err() == nil {
		began := time.Now()
		err := w.step(ctx, &listed, wait)
		if err == nil {
			w.Book.Reach()
			answered = true
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
		since := silentSince(began, err)
		if contact := w.Book.contactAt(); !answered && contact.Before(since) {
			since = contact // nor did the store answer the ingress that was followed before
		}
		w.Book.Lose(since, err)
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
		records, at, err := w.Store.List(ctx, everything)
		if err != nil {
			return err
		}
		w.Book.Replace(records, at)
		*listed = true
		return nil
	}
	changes, at, err := w.Store.Watch(ctx, everything, w.Book.At(), wait)
	if err != nil {
		return err
	}
	w.Book.Apply(changes, at)
	if len(changes) > 0 {
		pauses.Wait(ctx, gatherTime)
	}
	return nil
}

// Reader watches the store while this ingress is to do so.
type Reader struct {
	Book  *Book
	Store Store
	// Wait and HistoryGone are those of the watcher.
	Wait        time.Duration
	HistoryGone error
	Log         *zap.Logger

	// cancel ends the watch; nil while there is none.
	cancel context.CancelFunc
}

// Set begins or ends the watch; one goroutine calls it.
func (r *Reader) Set(ctx context.Context, reading bool) {
	if reading == (r.cancel != nil) {
		return
	}
	r.Book.SetDirect(reading)
	if !reading {
		r.cancel()
		r.cancel = nil
		return
	}
	ctx, r.cancel = context.WithCancel(ctx)
	(&Watcher{Book: r.Book, Store: r.Store, Wait: r.Wait, HistoryGone: r.HistoryGone}).Start(ctx)
}

// scoutPause is the time between the two looks of a first start, in which those that start
// together register.
const scoutPause = 300 * time.Millisecond

// Scout finds out who else there is. It takes one call, which brings everything where the
// deployment is small; a large one is left to those that watch. Where there is nobody yet
// it looks once more.
func (r *Reader) Scout(ctx context.Context, isMet func() bool) {
	r.retry(ctx, r.peek)
	if isMet() || !pauses.Wait(ctx, scoutPause) {
		return
	}
	r.retry(ctx, r.learnIngresses)
}

// retry does a step until it succeeds, the records came from elsewhere, or the context ends.
func (r *Reader) retry(ctx context.Context, step func(context.Context) error) {
	pause := firstRetry
	for step(ctx) != nil && !r.Book.IsListed() {
		if !pauses.Wait(ctx, pause) {
			return
		}
		pause = min(2*pause, maxRetry)
	}
}

func (r *Reader) peek(ctx context.Context) error {
	records, at, isWhole, err := r.Store.Peek(ctx, everything)
	if err != nil {
		r.Log.Warn("first-look-failed", logs.Err(err))
		return err
	}
	if !isWhole {
		return r.learnIngresses(ctx)
	}
	r.Book.Replace(records, at)
	r.Book.ConfirmOwn(time.Now())
	return nil
}

func (r *Reader) learnIngresses(ctx context.Context) error {
	records, _, err := r.Store.List(ctx, r.Book.IngressPrefix())
	if err != nil {
		r.Log.Warn("first-look-failed", logs.Err(err))
		return err
	}
	r.Book.Learn(records)
	r.Book.ConfirmOwn(time.Now())
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
		s.Book.CheckSilence(time.Now())
		s.Book.Expire(time.Now())
	}
}
