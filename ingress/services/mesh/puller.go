package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/wire"
)

const (
	// pullEvery is how often peers are asked while the store does not answer here.
	pullEvery = 250 * time.Millisecond
	// pullFrom is how many peers are asked each time: one of them may be cut off as well.
	pullFrom = 2
	// staleAfter is how long the store may have confirmed nothing, here or to whom this
	// ingress follows, before peers are asked.
	staleAfter = 1500 * time.Millisecond
	// firstPullAfter is how long a starting ingress waits for its first picture before it
	// asks others: the store answers in milliseconds.
	firstPullAfter = 600 * time.Millisecond
	// pullTimeout bounds one question, together with syncStall.
	pullTimeout = 10 * time.Second
)

// Puller learns from other ingresses what the store does not tell here.
//
// Guards against a stale configuration at an ingress that the store turns
// away while it serves the others: requests would be handled as only an old
// version allows. An ingress whose store answers, or that of whom it follows, asks nobody.
type Puller struct {
	Mesh *Mesh
	Book *state.Book
	// Feed is how this ingress hears of the store otherwise.
	Feed Feed
	// Seeds are asked while no other ingress is known.
	Seeds []netip.AddrPort
	Log   *zap.Logger

	startedAt time.Time
}

// Feed tells what comes here without asking.
type Feed interface {
	// IsFollowing tells whether this ingress follows another one.
	IsFollowing() bool
	// IsReceiving tells whether records are on their way here.
	IsReceiving() bool
	// NoteArrival notes a part of a message of records, and NoteWhole its end.
	NoteArrival()
	NoteWhole()
}

// Start pulls until the context ends.
func (p *Puller) Start(ctx context.Context) {
	go p.loop(ctx)
}

func (p *Puller) loop(ctx context.Context) {
	p.startedAt = time.Now()
	for pauses.Wait(ctx, pullEvery) {
		if !p.mustPull(time.Now()) || p.Feed.IsReceiving() {
			continue
		}
		near := p.Mesh.listNear()
		if len(near) == 0 {
			p.pullSeeds(ctx)
			continue
		}
		for _, name := range near[:min(pullFrom, len(near))] {
			p.pull(ctx, name)
		}
	}
}

// mustPull tells whether the records here may be old. A first picture comes from whom this
// ingress follows, or from the store; peers are asked for it where neither brings it.
func (p *Puller) mustPull(now time.Time) bool {
	if !p.Book.IsListed() {
		return now.Sub(p.startedAt) >= firstPullAfter && !p.Feed.IsFollowing()
	}
	return p.Book.IsStoreUnavailable() || p.Book.Age() >= staleAfter
}

// pullSeeds asks ingresses that the settings name. A process that starts while the
// store does not answer it knows no other way to learn anything.
func (p *Puller) pullSeeds(ctx context.Context) {
	if len(p.Seeds) == 0 {
		return
	}
	seed := p.Seeds[rand.IntN(len(p.Seeds))] //nolint:gosec // any of them will do
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	defer p.Feed.NoteWhole()
	got, err := p.Mesh.SyncAt(ctx, seed, p.newSync(), p.Feed.NoteArrival)
	if err != nil {
		p.Log.Info("pull-failed", zap.Stringer("seed", seed), logs.Err(err))
		return
	}
	p.take(got)
}

func (p *Puller) newSync() *wire.Sync {
	return &wire.Sync{At: p.Book.CompleteRevision()}
}

// runPull asks one ingress that is known to be ahead, until the records here have come up to it.
func (p *Puller) runPull(name string, newest uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.runUntil(ctx, cancel, newest)
	p.pull(ctx, name)
}

// runUntil cancels a pull once the records here are complete up to a revision.
func (p *Puller) runUntil(ctx context.Context, cancel context.CancelFunc, newest uint64) {
	for {
		changed := p.Book.Changed()
		if p.Book.CompleteRevision() >= newest {
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

func (p *Puller) pull(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	defer p.Feed.NoteWhole()
	began := time.Now()
	got, err := p.Mesh.Sync(ctx, name, p.newSync(), p.Feed.NoteArrival)
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the records came from elsewhere
	}
	if err != nil {
		p.Log.Info("pull-failed", zap.String("ingress", name), zap.Duration("took", time.Since(began)), logs.Err(err))
		return
	}
	logLarge(p.Log, name, got, time.Since(began))
	p.take(got)
}

func (p *Puller) take(got *wire.Records) {
	delta, err := DecodeDelta(got)
	if err != nil {
		p.Log.Warn("records-unreadable", logs.Err(err))
		return
	}
	p.Book.ApplyDelta(delta)
}
