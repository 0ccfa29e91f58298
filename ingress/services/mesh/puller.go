package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/wire"
)

const (
	// pullEvery is the interval at which peers are asked while the records here may be stale.
	pullEvery = 250 * time.Millisecond
	// peersPerPull is how many peers are asked each time. It is more than one because a peer may
	// also be disconnected from the store.
	peersPerPull = 2
	// staleAfter is how long ago the store may last have answered this ingress or the ingress
	// that it follows. After that, peers are asked.
	staleAfter = 1500 * time.Millisecond
	// initialPullDelay is how long a starting ingress waits for its first snapshot before it asks
	// peers. The store normally answers in milliseconds.
	initialPullDelay = 600 * time.Millisecond
	// pullTimeout limits one request for records, in addition to syncStallTimeout.
	pullTimeout = 10 * time.Second
)

// Puller asks other ingresses for records that this one does not receive in another way.
//
// Without it, an ingress that the store rejects while it serves the others would keep a stale
// configuration and handle requests by rules that are no longer in force. An ingress asks peers
// only if it has no first snapshot yet, if the store answers neither it nor the ingress that it
// follows, or if a peer has reported newer records.
type Puller struct {
	Mesh *Mesh
	Book *state.Book
	// Feed reports whether this ingress receives records in another way.
	Feed Feed
	// Seeds are the addresses of ingresses to ask while no other ingress is reachable.
	Seeds []netip.AddrPort
	Log   *zap.Logger

	startedAt time.Time
}

// Feed reports whether this ingress receives records in another way than by a Puller. It also
// observes the answers to a Puller's requests.
type Feed interface {
	// IsFollowing reports whether this ingress follows another one.
	IsFollowing() bool
	// IsReceiving reports whether records are in flight to this ingress.
	IsReceiving() bool
	// ObserveMessagePart records that a part of a requested message of records arrived.
	ObserveMessagePart()
	// ObserveMessageEnd records that a requested message was received and applied, or abandoned.
	ObserveMessageEnd()
}

// Start asks peers for records, when it is necessary, until the context ends.
func (p *Puller) Start(ctx context.Context) {
	go p.loop(ctx)
	go p.runConfirm(ctx)
}

func (p *Puller) loop(ctx context.Context) {
	p.startedAt = time.Now()
	for pauses.Wait(ctx, pullEvery) {
		if !p.mustPull(time.Now()) || p.Feed.IsReceiving() {
			continue
		}
		peers := p.Mesh.listByProximity()
		if len(peers) == 0 {
			p.pullSeeds(ctx)
			continue
		}
		for _, name := range peers[:min(peersPerPull, len(peers))] {
			p.pull(ctx, name)
		}
	}
}

// mustPull reports whether peers must be asked because the records here may be stale. The first
// snapshot comes from the followed ingress or from the store; peers are asked for it if this
// ingress follows none and the store has refused a listing or has not delivered it within
// initialPullDelay.
func (p *Puller) mustPull(now time.Time) bool {
	if !p.Book.IsListed() {
		isLate := p.Book.HasLookFailed() || now.Sub(p.startedAt) >= initialPullDelay
		return isLate && !p.Feed.IsFollowing()
	}
	return p.Book.IsStoreUnavailable() || p.Book.Age() >= staleAfter
}

// pullSeeds asks one of the ingresses that the settings name. An ingress that starts while the
// store does not answer it has no other source of records.
func (p *Puller) pullSeeds(ctx context.Context) {
	if len(p.Seeds) == 0 {
		return
	}
	p.pullSeed(ctx, p.Seeds[rand.IntN(len(p.Seeds))]) //nolint:gosec // not security-relevant
}

// pullSeed asks the ingress at an address for the records that this one lacks and applies them.
func (p *Puller) pullSeed(ctx context.Context, seed netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	defer p.Feed.ObserveMessageEnd()
	records, err := p.Mesh.SyncAddress(ctx, seed, newSync(p.Book.Extent()), p.Feed.ObserveMessagePart)
	if err != nil {
		p.Log.Info("pull-failed", zap.Stringer("seed", seed), logs.Err(err))
		return
	}
	p.apply(records)
}

// runPull asks one ingress for the records that it has and this one lacks. It stops early once they have arrived
// from another source.
func (p *Puller) runPull(name string, theirs mirror.Extent) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.runCancelWhenComplete(ctx, cancel, theirs)
	p.pull(ctx, name)
}

// runCancelWhenComplete cancels a pull once the other ingress's extent is not ahead of the records here.
func (p *Puller) runCancelWhenComplete(ctx context.Context, cancel context.CancelFunc, theirs mirror.Extent) {
	for {
		changed := p.Book.Changed()
		if !theirs.IsAheadOf(p.Book.Extent()) {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// pull asks one ingress for the records that this one lacks and applies them.
func (p *Puller) pull(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	defer p.Feed.ObserveMessageEnd()
	began := time.Now()
	records, err := p.Mesh.Sync(ctx, name, newSync(p.Book.Extent()), p.Feed.ObserveMessagePart)
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the records arrived from another source meanwhile
	}
	if err != nil {
		p.Log.Info("pull-failed", zap.String("ingress", name), zap.Duration("took", time.Since(began)), logs.Err(err))
		return
	}
	logLarge(p.Log, name, records, time.Since(began))
	p.apply(records)
}

func (p *Puller) apply(records *wire.Records) {
	delta, err := DecodeDelta(records)
	if err != nil {
		p.Log.Warn("records-unreadable", logs.Err(err))
		return
	}
	p.Book.ApplyDelta(delta)
}
