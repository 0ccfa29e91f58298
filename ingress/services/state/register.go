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

// Leases writes the ingress's own record.
type Leases interface {
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	Renew(ctx context.Context, lease uint64) error
	Release(ctx context.Context, lease uint64) error
}

const (
	// renewPart is how many renewals fit into a lease: two may be lost.
	renewPart = 3
	// leaseTimeout bounds each call. The store answers in milliseconds, and in up to a
	// second where it is slow; a call that began while it was silent is never answered.
	leaseTimeout = time.Second
)

// Registrar keeps the ingress registered under a lease.
type Registrar struct {
	Leases Leases
	Codec  Codec
	Self   site.Ingress
	// TTL is that of the lease: how long a dead ingress is still listed.
	TTL time.Duration
	// LeaseGone is the store's error for a lease that has ended.
	LeaseGone error
	// Book is told of each answer.
	Book *Book
	// ProbeEvery is the time between renewals while this ingress watches the store, whose
	// open watches tell nothing of a store that falls silent.
	ProbeEvery time.Duration
	Log        *zap.Logger

	lease uint64
	ended chan struct{}
}

// Start registers until the context ends.
func (r *Registrar) Start(ctx context.Context) {
	r.ended = make(chan struct{})
	go r.loop(ctx)
}

// Close ends the registration, so that the others need not wait for the lease to end. The
// context of Start has ended before.
func (r *Registrar) Close(ctx context.Context) {
	select {
	case <-r.ended:
	case <-ctx.Done():
		return
	}
	if r.lease == 0 {
		return
	}
	if err := r.Leases.Release(ctx, r.lease); err != nil {
		r.Log.Info("registration-left", logs.Err(err))
	}
}

func (r *Registrar) loop(ctx context.Context) {
	defer close(r.ended)
	for {
		began := time.Now()
		err := r.step(ctx)
		if err == nil {
			r.Book.ConfirmOwn(time.Now())
		} else {
			r.Log.Warn("registration-lost", zap.Duration("store-age", r.Book.Age()), logs.Err(err))
		}
		if errors.Is(err, r.LeaseGone) {
			r.lease = 0
		}
		if !r.wait(ctx, began, err) {
			return
		}
	}
}

// wait waits until the next renewal is due; false where the context ended. It looks again
// every ProbeEvery, since this ingress may begin to watch the store meanwhile.
func (r *Registrar) wait(ctx context.Context, began time.Time, err error) bool {
	if err != nil {
		return pauses.Wait(ctx, maxRetry)
	}
	for {
		if !pauses.Wait(ctx, min(r.ProbeEvery, r.TTL/renewPart)) {
			return false
		}
		if r.Book.isReading() || time.Since(began) >= r.TTL/renewPart {
			return true
		}
	}
}

func (r *Registrar) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	if r.lease != 0 {
		return r.Leases.Renew(ctx, r.lease)
	}
	lease, err := r.Leases.Grant(ctx, r.TTL)
	if err != nil {
		return err
	}
	value, err := r.Codec.WriteIngress(r.Self)
	if err != nil {
		return err
	}
	if err := r.Leases.Put(ctx, r.Codec.IngressKey(r.Self.Name), value, lease); err != nil {
		return err
	}
	r.lease = lease
	r.Log.Info("registered", zap.String("ingress", r.Self.Name), zap.Stringer("address", r.Self.Address))
	return nil
}
