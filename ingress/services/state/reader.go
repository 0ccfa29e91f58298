package state

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/uptime"
)

// Reader starts and stops the watch of the store, and discovers the other ingresses at the start.
type Reader struct {
	Book  *Book
	Store Store
	// Name and Domain are the name and the failure domain of this ingress.
	Name   string
	Domain string
	// Wait and HistoryGone are passed to the Watcher.
	Wait        time.Duration
	HistoryGone error
	// OnFirstRun is called if the store, when it is first asked, holds no registration of this ingress and was
	// never restored, as far as it states: the ingress has not run before, or not for the duration of a lease.
	// It may be nil.
	OnFirstRun func()
	// OnFirstStart is called if the store, when it is first asked, holds no registration of any ingress of the
	// failure domain. It may be nil.
	OnFirstStart func()
	Log          *zap.Logger

	// cancel ends the watch. It is nil while there is none.
	cancel context.CancelFunc
}

// SetWatching starts or stops the watch. It is not safe for concurrent use.
func (r *Reader) SetWatching(ctx context.Context, watching bool) {
	if watching == (r.cancel != nil) {
		return
	}
	r.Book.SetDirect(watching)
	if !watching {
		r.cancel()
		r.cancel = nil
		return
	}
	ctx, r.cancel = context.WithCancel(ctx)
	(&Watcher{Book: r.Book, Store: r.Store, Wait: r.Wait, HistoryGone: r.HistoryGone}).Start(ctx)
}

const (
	// discoveryPause is the time from the registration of this ingress to the second listing of
	// DiscoverPeers. Ingresses that start at the same time register during it.
	discoveryPause = 100 * time.Millisecond
	// registerTimeout limits how long DiscoverPeers waits for the registration.
	registerTimeout = time.Second
	// smallDomain is the number of registered ingresses of a failure domain up to which each of them
	// lists all records itself when it starts.
	smallDomain = 8
)

// DiscoverPeers reads from the store which other ingresses are registered in the failure domain. In a
// large one, that is all that a starting ingress reads, since the ingress that watches the store for
// the domain passes on the rest. In a small one DiscoverPeers then lists all records, which is faster
// and costs as many calls.
//
// All ingresses may start at once, so what each of them reads must not grow with the deployment: the
// store sends it to each over the same link. If they start for the first time, none of them is
// registered yet when the others look. A failure domain therefore counts as small only if this ingress was
// registered before, or if no other has registered until discoveryPause after this one did. DiscoverPeers
// also looks a second time if hasPeers returns false.
func (r *Reader) DiscoverPeers(ctx context.Context, hasPeers func() bool) {
	var first []string
	r.retry(ctx, func(ctx context.Context) (err error) {
		first, err = r.look(ctx)
		return err
	})
	if hasPeers() && r.showsSize(first) {
		return
	}
	if !r.Book.awaitRegistered(ctx, registerTimeout) || !pauses.Wait(ctx, discoveryPause) {
		return
	}
	if hasPeers() && r.Book.IsListed() {
		return
	}
	r.retry(ctx, func(ctx context.Context) error {
		second, err := r.listPeers(ctx)
		if err != nil || r.hasOthersSince(first, second) {
			return err
		}
		return r.listSmall(ctx, len(second))
	})
}

// showsSize reports whether the registrations of the failure domain show whether it is small: this ingress
// was registered before, or many others are.
func (r *Reader) showsSize(registered []string) bool {
	return len(registered) > smallDomain || slices.Contains(registered, r.Name)
}

// hasOthersSince reports whether other ingresses have registered between two listings.
func (r *Reader) hasOthersSince(first, second []string) bool {
	return slices.ContainsFunc(second, func(name string) bool { return name != r.Name && !slices.Contains(first, name) })
}

// retry runs a step until it succeeds, the records have arrived from a peer, or the context ends.
func (r *Reader) retry(ctx context.Context, step func(context.Context) error) {
	pause := minRetryPause
	for step(ctx) != nil && !r.Book.IsListed() {
		if !pauses.Wait(ctx, pause) {
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// look lists the ingresses of the failure domain and returns their names. If they show that the domain is
// small, look lists all records.
func (r *Reader) look(ctx context.Context) ([]string, error) {
	registered, err := r.listPeers(ctx)
	if err != nil || !r.showsSize(registered) {
		return registered, err
	}
	return registered, r.listSmall(ctx, len(registered))
}

// listSmall lists all records if the failure domain has few ingresses, unless they have arrived.
func (r *Reader) listSmall(ctx context.Context, count int) error {
	if count > smallDomain || r.Book.IsListed() {
		return nil
	}
	asked := uptime.Now()
	records, revision, err := r.Store.List(ctx, allKeys)
	if err != nil {
		r.Log.Warn("first-look-failed", logs.Err(err))
		return err
	}
	r.Book.ApplyListing(records, revision)
	r.Book.ConfirmRecords(asked)
	r.Book.ObserveOwnAnswer(time.Now())
	return nil
}

// listPeers lists the ingresses of the failure domain and returns their names.
func (r *Reader) listPeers(ctx context.Context) ([]string, error) {
	records, revision, err := r.Store.List(ctx, r.Book.IngressDomainPrefix(r.Domain))
	if err != nil {
		r.Book.lookFailed.Store(true)
		r.Log.Warn("first-look-failed", logs.Err(err))
		return nil, err
	}
	names := make([]string, 0, len(records))
	for _, record := range records {
		names = append(names, r.Book.options.Codec.IngressName(record.Key))
	}
	// A restored store may have lost the registration. The number of its first era is not known.
	mayHaveLost := revision.Era > 0
	if !r.Book.HasLooked() && !slices.Contains(names, r.Name) && !mayHaveLost && r.OnFirstRun != nil {
		r.OnFirstRun()
	}
	if !r.Book.HasLooked() && len(names) == 0 && r.OnFirstStart != nil {
		r.OnFirstStart()
	}
	r.Book.Merge(records)
	r.Book.markLooked(records)
	r.Book.ObserveOwnAnswer(time.Now())
	return names, nil
}
