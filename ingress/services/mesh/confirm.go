package mesh

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// confirmPeers is how many other ingresses a starting one asks what was in force before the store was
	// restored. Some of them may just have started, too.
	confirmPeers = 3
	// confirmTimeout limits how long it waits for their answers. A dead one delays the start.
	confirmTimeout = 600 * time.Millisecond
)

// runConfirm waits for the first records. If they come from the store alone, it asks other ingresses what was in
// force before the store was restored, and confirms the records once these have answered or confirmTimeout has
// passed.
//
// Without it an ingress that starts just after a restore would accept keys that were revoked and use servers that
// have left, until the heartbeats of another ingress show that it knows more.
func (p *Puller) runConfirm(ctx context.Context) {
	for !p.Book.IsListed() {
		changed := p.Book.Changed()
		if p.Book.IsListed() {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
	if !p.Book.IsUnconfirmed() {
		return
	}
	began := time.Now()
	asked := p.askAll(ctx)
	p.Book.Confirm()
	p.Log.Info("records-confirmed", zap.Strings("asked", asked), zap.Duration("took", time.Since(began)))
}

// askAll asks some ingresses for the records that this one lacks, all at once, and returns which.
func (p *Puller) askAll(ctx context.Context) (asked []string) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answers := sync.WaitGroup{}
	defer answers.Wait()
	names := p.Mesh.listByProximity()
	for _, name := range names[:min(len(names), confirmPeers)] {
		answers.Add(1)
		go p.runAsk(ctx, name, &answers)
		asked = append(asked, name)
	}
	if len(names) > 0 {
		return asked
	}
	for _, seed := range p.Seeds {
		answers.Add(1)
		go p.runAskSeed(ctx, seed, &answers)
		asked = append(asked, seed.String())
	}
	return asked
}

func (p *Puller) runAsk(ctx context.Context, name string, answers *sync.WaitGroup) {
	defer answers.Done()
	p.pull(ctx, name)
}

func (p *Puller) runAskSeed(ctx context.Context, seed netip.AddrPort, answers *sync.WaitGroup) {
	defer answers.Done()
	p.pullSeed(ctx, seed)
}
