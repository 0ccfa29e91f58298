package state

import (
	"context"
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

// renewPart is how many renewals fit into a lease: two may be lost.
const renewPart = 3

// Registrar keeps the ingress registered under a lease.
type Registrar struct {
	Leases Leases
	Codec  Codec
	Self   site.Ingress
	// TTL is that of the lease: how long a dead ingress is still listed.
	TTL time.Duration
	Log *zap.Logger

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
		pause := r.TTL / renewPart
		if err := r.step(ctx); err != nil {
			r.Log.Warn("registration-lost", logs.Err(err))
			r.lease = 0
			pause = maxRetry
		}
		if !pauses.Wait(ctx, pause) {
			return
		}
	}
}

func (r *Registrar) step(ctx context.Context) error {
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
