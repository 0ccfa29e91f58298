package pieces

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/encode"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/decide/chain"
	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/decide/shard"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
)

// Peers reaches the other ingresses.
type Peers interface {
	// RankIn lists the ingresses that can be reached, the one that holds a queue first; of
	// those in a region, where there are some. An empty region stands for all.
	RankIn(region, queue string) []string
	// Self is the name of this ingress.
	Self() string
	Produce(ctx context.Context, name string, p *wire.Produce) (*wire.Produced, error)
	Discard(name string, d *wire.Discard) error
}

// Maker gives each job to the ingress that batches for its service.
type Maker struct {
	peers Peers
	owner *Owner
	log   *zap.Logger

	// regions maps failure domains to their regions.
	regions map[string]string
	region  string

	lock sync.Mutex
	// divided are the services of which each region has a queue of its own.
	divided map[string]bool
	// domains holds where the servers that make results stand, by their address.
	domains map[netip.AddrPort]string
	// pools and waits are by queue.
	pools map[string]*site.Pool
	waits map[string]chain.Report
	// pending counts the results that chains of this ingress still need, by queue.
	pending map[string]delay.Counts
	// ingresses counts them by region, all of them under the empty one.
	ingresses map[string]int
	// lateTurn is when the last held request began.
	lateTurn time.Time
}

// NewMaker returns a maker; owner holds the queues that fall to this ingress.
func NewMaker(peers Peers, owner *Owner, log *zap.Logger) *Maker {
	return &Maker{peers: peers, owner: owner, log: log, regions: owner.options.Regions, region: owner.options.Region, waits: map[string]chain.Report{}, pending: map[string]delay.Counts{}}
}

// TakeView takes the services of a new view.
func (m *Maker) TakeView(v *state.View) {
	if v.Table == nil {
		return
	}
	pools := map[string]*site.Pool{}
	domains := map[netip.AddrPort]string{}
	divided := map[string]bool{}
	for _, s := range v.Table.Config().Services {
		pools[s.Name] = s.Pool
		if s.Pool == nil {
			continue
		}
		divided[s.Name] = shard.IsSharded(v.Servers[s.Name], m.regions)
		for _, region := range m.regions {
			pools[shard.QueueName(s.Name, region)] = s.Pool
		}
		for _, server := range v.Servers[s.Name] {
			domains[server.Address] = server.Domain
		}
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.pools = pools
	m.divided = divided
	m.domains = domains
	m.ingresses = map[string]int{"": len(v.Ingresses)}
	for _, i := range v.Ingresses {
		m.ingresses[m.regions[i.Domain]]++
	}
}

// newPlan predicts a chain by what the batchers told last.
func (m *Maker) newPlan(c *Chain) chain.Plan {
	m.lock.Lock()
	defer m.lock.Unlock()
	pending := map[string]delay.Counts{}
	for _, s := range c.Stages {
		pending[s.Service] = m.countPending(s.Service)
	}
	known := chain.Snapshot{Pools: m.pools, Reports: m.waits, Pending: pending}
	return chain.NewPlan(time.Now(), c.Rank, c.Stages, c.Items, known)
}

// findDomain returns the failure domain that holds the most of some results; empty
// where none is known.
func (m *Maker) findDomain(handles []string) string {
	m.lock.Lock()
	defer m.lock.Unlock()
	counts := map[string]int{}
	best := ""
	for _, h := range handles {
		holder, err := m.owner.options.Pools.ReadHolder(h)
		if err != nil {
			continue // it is logged when it is released
		}
		domain := m.domains[holder]
		if domain == "" {
			continue
		}
		counts[domain]++
		if counts[domain] > counts[best] {
			best = domain
		}
	}
	return best
}

// keepTime returns how long a service's servers keep a result.
func (m *Maker) keepTime(service string) time.Duration {
	m.lock.Lock()
	defer m.lock.Unlock()
	if pool := m.pools[service]; pool != nil {
		return pool.ResultTTL
	}
	return 0
}

// TakeOutlook takes what a batcher told of a service.
func (m *Maker) TakeOutlook(told *wire.Outlook) {
	m.noteOutlook(told.GetService(), decodeOutlook(told))
}

func (m *Maker) noteOutlook(service string, o delay.Backlog) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.waits[service] = chain.Report{Backlog: o, At: time.Now()}
}

// addPending notes results that chains of this ingress still need and that no queue holds yet.
func (m *Maker) addPending(service string, rank site.Rank, n int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	counts := m.pending[service]
	if counts == nil {
		counts = delay.Counts{}
		m.pending[service] = counts
	}
	counts[rank] += float64(n)
	if counts[rank] == 0 {
		delete(counts, rank)
	}
}

// errGivenUp says that a batcher gave a job up by itself.
var errGivenUp = errors.New("the batcher gave the job up")

// maxOwners bounds the ingresses that are tried in turn for one job.
const maxOwners = 3

// produce has a job done. Where the ingress that batches is lost the next one
// takes the job; results of the lost one end by themselves.
func (m *Maker) produce(ctx context.Context, service string, j batch.Job) batch.Completion {
	done := m.produceAnywhere(ctx, service, j)
	if done.Backlog.IsKnown() {
		m.noteOutlook(service, done.Backlog)
	}
	return done
}

func (m *Maker) produceAnywhere(ctx context.Context, service string, j batch.Job) batch.Completion {
	for range maxOwners {
		ranked := m.rank(service)
		if len(ranked) == 0 || ranked[0] == m.peers.Self() {
			return m.owner.Produce(ctx, service, j)
		}
		done, err := m.produceAt(ctx, ranked[0], service, j)
		// A batcher that is stopping gives up what it has. The request's caller is still
		// there, and must not be answered as one that left.
		if err == nil && done.Outcome == batch.OutcomeCanceled && ctx.Err() == nil {
			if done.InputsReleased {
				return batch.Completion{Outcome: batch.OutcomeInputGone, InputsReleased: true}
			}
			err = errGivenUp
		}
		if err == nil {
			return done
		}
		if ctx.Err() != nil {
			return batch.Completion{Outcome: batch.OutcomeCanceled}
		}
		m.log.Warn("batcher-lost", zap.String("service", service), zap.String("ingress", ranked[0]),
			zap.String("request", j.AttemptID), logs.Err(err))
	}
	return m.owner.Produce(ctx, service, j)
}

func (m *Maker) produceAt(ctx context.Context, name, service string, j batch.Job) (batch.Completion, error) {
	now := time.Now()
	got, err := m.peers.Produce(ctx, name, &wire.Produce{
		Service:        service,
		AttemptId:      j.AttemptID,
		Stage:          uint32(j.Stage), //nolint:gosec // a small number
		Count:          uint32(j.Count), //nolint:gosec // a small number
		Key:            j.Key,
		Inputs:         j.Inputs,
		TargetNanos:    int64(j.Target.Sub(now)),
		RemainingNanos: int64(j.Expires.Sub(now)),
		ResultBytes:    j.ResultBytes,
		Rank:           uint32(max(j.Rank, 0)), //nolint:gosec // a small number
		Domain:         j.Domain,
		InputService:   j.InputService,
		InputBytes:     j.InputBytes,
		Residency:      encode.Residency(j.Residency),
		Request:        j.RequestDigest,
	})
	if err != nil {
		return batch.Completion{}, err
	}
	return batch.Completion{
		Outcome:    batch.Outcome(got.GetOutcome()),
		Handles:    got.GetHandles(),
		RetryAfter: time.Duration(got.GetRetryAfterNanos()),
		Backlog:    decodeOutlook(got.GetOutlook()),

		InputsReleased: got.GetInputsReleased(),
	}, nil
}

// Discard releases results at the ingress that batches for their service, which plans with their memory.
func (m *Maker) Discard(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	ranked := m.rank(service)
	if len(ranked) > 0 && ranked[0] != m.peers.Self() {
		err := m.peers.Discard(ranked[0], &wire.Discard{Service: service, Handles: handles})
		if err == nil {
			return
		}
		m.log.Info("discard-here", zap.String("service", service), logs.Err(err))
	}
	m.owner.Discard(service, handles)
}

// ServeProduce does a job for another ingress.
func (m *Maker) ServeProduce(ctx context.Context, p *wire.Produce) *wire.Produced {
	now := time.Now()
	done := m.owner.Produce(ctx, p.GetService(), batch.Job{
		AttemptID:     p.GetAttemptId(),
		RequestDigest: p.GetRequest(),
		Stage:         int(p.GetStage()),
		Count:         int(p.GetCount()),
		Key:           p.GetKey(),
		Inputs:        p.GetInputs(),
		ResultBytes:   p.GetResultBytes(),
		Target:        now.Add(time.Duration(p.GetTargetNanos())),
		Expires:       now.Add(time.Duration(p.GetRemainingNanos())),
		Rank:          site.Rank(p.GetRank()),
		Domain:        p.GetDomain(),
		Residency:     encode.ReadResidency(p.GetResidency()),

		InputService: p.GetInputService(),
		InputBytes:   p.GetInputBytes(),
	})
	return &wire.Produced{
		Outcome: string(done.Outcome), Handles: done.Handles,
		RetryAfterNanos: int64(done.RetryAfter), InputsReleased: done.InputsReleased,
		Outlook: encodeOutlook(p.GetService(), done.Backlog),
	}
}

// ServeDiscard releases results for another ingress.
func (m *Maker) ServeDiscard(d *wire.Discard) {
	m.owner.Discard(d.GetService(), d.GetHandles())
}
