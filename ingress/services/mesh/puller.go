package mesh

import (
	"context"
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
	// pullTimeout bounds one question.
	pullTimeout = 700 * time.Millisecond
)

// Puller learns from other ingresses what the store does not tell here.
//
// Guards against a stale configuration at an ingress that the store turns
// away while it serves the others: requests would be handled as only an old
// version allows. An ingress whose store answers asks nobody.
type Puller struct {
	Mesh *Mesh
	Book *state.Book
	// StaleAfter is how long the store may not answer before peers are asked.
	StaleAfter time.Duration
	// Seeds are asked while no other ingress is known.
	Seeds []netip.AddrPort
	Log   *zap.Logger
}

// Start pulls until the context ends.
func (p *Puller) Start(ctx context.Context) {
	go p.loop(ctx)
}

func (p *Puller) loop(ctx context.Context) {
	for pauses.Wait(ctx, pullEvery) {
		if !p.Book.IsLost() && p.Book.Age() < p.StaleAfter {
			continue
		}
		live := p.Mesh.listLive()
		if len(live) == 0 {
			p.pullSeeds(ctx)
			continue
		}
		rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		for _, peer := range live[:min(pullFrom, len(live))] {
			p.pull(ctx, peer.Name)
		}
	}
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
	got, err := p.Mesh.SyncAt(ctx, seed, p.newSync())
	if err != nil {
		p.Log.Info("pull-failed", zap.Stringer("seed", seed), logs.Err(err))
		return
	}
	p.Book.Learn(decodeRecords(got))
}

func (p *Puller) newSync() *wire.Sync {
	marks := []*wire.Mark{}
	for prefix, revision := range p.Book.Marks() {
		marks = append(marks, &wire.Mark{Prefix: prefix, Revision: revision})
	}
	return &wire.Sync{Marks: marks}
}

func (p *Puller) pull(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	got, err := p.Mesh.Sync(ctx, name, p.newSync())
	if err != nil {
		p.Log.Info("pull-failed", zap.String("ingress", name), logs.Err(err))
		return
	}
	p.Book.Learn(decodeRecords(got))
}
