package state

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/feed"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
)

// Leases writes the registration of this ingress to the store.
type Leases interface {
	Grant(ctx context.Context, ttl time.Duration) (site.Lease, error)
	Put(ctx context.Context, key string, value []byte, lease site.Lease) (site.Revision, error)
	Renew(ctx context.Context, lease site.Lease) error
}

const (
	// leaseTimeout limits each registration and each renewal. The store answers in milliseconds,
	// or within a second if it is slow. It never answers a call that was started while it did not
	// respond.
	leaseTimeout = time.Second
)

// Registrar keeps this ingress registered under a lease.
type Registrar struct {
	Leases Leases
	Codec  Codec
	Self   site.Ingress
	// TTL is the lease's duration: how long an ingress that crashed remains registered.
	TTL time.Duration
	// LeaseGone is the error that the store returns for a lease that has ended.
	LeaseGone error
	// Book records each answer of the store.
	Book *Book
	// ProbeEvery is the time between renewals while this ingress watches the store. An open watch
	// alone does not reveal that the store has stopped responding.
	ProbeEvery time.Duration
	// Looked is closed once the Book knows the registrations of the failure domain; nil: at once.
	Looked <-chan struct{}
	Log    *zap.Logger

	// lease is zero while the ingress is not registered.
	lease site.Lease
	// renewed is set once the lease has been renewed.
	renewed bool
	// revision is that of the last registration; zero if an earlier one was taken over.
	revision site.Revision
	// resumed is set once an earlier registration was tried.
	resumed bool
	// failures counts the failed registrations or renewals in a row.
	failures int
	// ended is closed when the loop has returned.
	ended chan struct{}
}

// Start keeps the ingress registered until the context ends.
func (r *Registrar) Start(ctx context.Context) {
	r.ended = make(chan struct{})
	go r.loop(ctx)
}

// Close marks the registration as ended, so that the other ingresses need not wait until the lease
// expires. The context given to Start must have ended.
func (r *Registrar) Close(ctx context.Context) {
	select {
	case <-r.ended:
	case <-ctx.Done():
		return
	}
	if r.lease.IsZero() {
		return
	}
	if err := r.end(ctx); err != nil {
		r.Log.Info("registration-not-ended", logs.Err(err))
	}
}

func (r *Registrar) end(ctx context.Context) error {
	ended := r.Self
	ended.Ended = true
	value, err := r.Codec.WriteIngress(ended)
	if err != nil {
		return err
	}
	_, err = r.Leases.Put(ctx, r.Codec.IngressKey(ended), value, r.lease)
	if !errors.Is(err, r.LeaseGone) {
		return err
	}
	// A restored store may hold the registration under an earlier lease, which has not ended.
	if r.lease, err = r.Leases.Grant(ctx, r.TTL); err != nil {
		return err
	}
	_, err = r.Leases.Put(ctx, r.Codec.IngressKey(ended), value, r.lease)
	return err
}

func (r *Registrar) loop(ctx context.Context) {
	defer close(r.ended)
	r.awaitLook(ctx)
	for {
		began := time.Now()
		err := r.registerOrRenew(ctx)
		if err == nil {
			r.Book.ObserveOwnAnswer(time.Now())
			r.failures = 0
		} else {
			r.failures++
			r.Log.Warn("registration-lost", zap.Duration("store-age", r.Book.Age()), logs.Err(err))
		}
		if errors.Is(err, r.LeaseGone) {
			r.lease = site.Lease{}
		}
		if !r.wait(ctx, began, err) {
			return
		}
	}
}

// lookInterval is how often a starting ingress checks whether it knows the registrations from another one.
const lookInterval = time.Second

// awaitLook waits until the registrations of the failure domain are known, from the store or from another ingress. An ingress
// that registered before could not tell later whether others, or it itself, had been registered before its start.
func (r *Registrar) awaitLook(ctx context.Context) {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for r.Looked != nil && !r.Book.IsListed() {
		select {
		case <-r.Looked:
			return
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// wait waits until the next registration or renewal is due. It returns false if the context ended.
// It checks every ProbeEvery whether this ingress has begun to watch the store, because renewals
// are due more often from then on.
func (r *Registrar) wait(ctx context.Context, began time.Time, err error) bool {
	if err != nil {
		return pauses.Wait(ctx, r.retryDelay())
	}
	// The renewals of ingresses that started at the same time are spread by the first of them.
	part := 1.0
	if !r.renewed {
		part = rand.Float64() //nolint:gosec // not security-relevant
	}
	for {
		if !pauses.Wait(ctx, min(r.ProbeEvery, r.interval())) {
			return false
		}
		if _, isOverwritten := r.findOverwrite(); isOverwritten {
			return true
		}
		if r.Book.isWatching() || time.Since(began) >= time.Duration(part*float64(r.interval())) {
			return true
		}
	}
}

// retryDelay returns the delay after a failed registration or renewal. An ingress that watches the store
// has to notice soon that it answers again, and one without a lease has to register.
func (r *Registrar) retryDelay() time.Duration {
	if r.lease.IsZero() || r.Book.isWatching() {
		return maxRetryPause
	}
	return feed.RenewalRetryDelay(r.failures, r.interval())
}

// interval returns the time between two renewals while this ingress does not watch the store.
func (r *Registrar) interval() time.Duration {
	return feed.RenewalInterval(len(r.Book.View().Ingresses), r.TTL)
}

// registerOrRenew renews the lease, or registers the ingress under a new one.
func (r *Registrar) registerOrRenew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	if found, isOverwritten := r.findOverwrite(); isOverwritten {
		return r.registerAgain(ctx, found)
	}
	if !r.lease.IsZero() {
		r.renewed = true
		return r.Leases.Renew(ctx, r.lease)
	}
	value, err := r.Codec.WriteIngress(r.Self)
	if err != nil {
		return err
	}
	key := r.Codec.IngressKey(r.Self)
	if r.resume(ctx, key, value) {
		return nil
	}
	lease, err := r.Leases.Grant(ctx, r.TTL)
	if err != nil {
		return err
	}
	if r.revision, err = r.Leases.Put(ctx, key, value, lease); err != nil {
		return err
	}
	r.lease = lease
	r.renewed = false
	r.Book.markRegistered()
	r.Log.Info("registered", zap.String("ingress", r.Self.Name), zap.Stringer("address", r.Self.Address))
	return nil
}

// findOverwrite returns what the store holds in place of the registration of this ingress, as far as it is known.
func (r *Registrar) findOverwrite() (site.Record, bool) {
	if r.lease.IsZero() {
		return site.Record{}, false
	}
	value, err := r.Codec.WriteIngress(r.Self)
	if err != nil {
		return site.Record{}, false // a registration reports the error
	}
	return r.Book.findOverwrite(r.Codec.IngressKey(r.Self), value, r.lease, r.revision)
}

// registerAgain writes the registration again under its lease. The acknowledgement of the last one does not show that
// the store still holds it: a call without an answer may be executed seconds later.
func (r *Registrar) registerAgain(ctx context.Context, found site.Record) error {
	value, err := r.Codec.WriteIngress(r.Self)
	if err != nil {
		return err
	}
	revision, err := r.Leases.Put(ctx, r.Codec.IngressKey(r.Self), value, r.lease)
	if err == nil {
		r.revision = revision
	}
	r.Log.Warn("registration-overwritten", zap.Stringer("revision", found.Revision), zap.Bool("removed", found.Deleted),
		zap.Uint64("lease", found.Lease.ID), zap.Duration("age", r.Book.Age()), logs.Err(err))
	return err
}

// resume takes over the registration that an earlier process under the same name left, if its lease has not
// ended. It costs one renewal in place of a lease and a write, and the other ingresses see no change.
func (r *Registrar) resume(ctx context.Context, key string, value []byte) bool {
	lease := r.Book.findLease(key, value)
	if lease.IsZero() || r.resumed {
		return false
	}
	r.resumed = true
	if err := r.Leases.Renew(ctx, lease); err != nil {
		r.Log.Info("registration-not-resumed", logs.Err(err))
		return false
	}
	r.lease = lease
	r.renewed = false
	r.Book.markRegistered()
	r.Log.Info("registered", zap.String("ingress", r.Self.Name), zap.Stringer("address", r.Self.Address), zap.Bool("resumed", true))
	return true
}
