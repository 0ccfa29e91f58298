package stages

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

// Peers is the connection to the other ingresses.
type Peers interface {
	// RankIn lists the reachable ingresses in the order of their score for a queue. The first one
	// is the batcher of the queue. If any reachable ingress is in the given region, only those in
	// the region are listed. An empty region means all regions.
	RankIn(region, queue string) []string
	// Self is the name of this ingress.
	Self() string
	// Produce sends a job to the named ingress and waits for its end.
	Produce(ctx context.Context, name string, p *wire.Produce) (*wire.Produced, error)
	// Discard asks the named ingress to release results.
	Discard(name string, d *wire.Discard) error
}

// Producer produces the results of chains. It sends the job of each stage to the batcher of the
// stage's queue.
type Producer struct {
	peers   Peers
	batcher *Batcher
	log     *zap.Logger

	// regions maps failure domains to their regions; region is the region of this ingress.
	regions map[string]string
	region  string

	lock sync.Mutex
	// sharded marks the services for which each region has its own queue.
	sharded map[string]bool
	// serverDomains maps the address of each server that produces results to its failure domain.
	serverDomains map[netip.AddrPort]string
	// pools and reports are keyed by queue name.
	pools   map[string]*site.Pool
	reports map[string]chain.Report
	// pending counts, by queue, the results that chains of this ingress need but that are not in a
	// queue yet.
	pending map[string]delay.Counts
	// ingresses counts the registered ingresses by region. The count of the empty region includes
	// all of them.
	ingresses map[string]int
	// lastHeldAdmit is when a held request was last admitted.
	lastHeldAdmit time.Time
}

// NewProducer returns a Producer. It uses batcher for the queues whose batcher is this ingress, and
// as a fallback if other batchers cannot be reached.
func NewProducer(peers Peers, batcher *Batcher, log *zap.Logger) *Producer {
	return &Producer{peers: peers, batcher: batcher, log: log, regions: batcher.options.Regions, region: batcher.options.Region, reports: map[string]chain.Report{}, pending: map[string]delay.Counts{}}
}

// SetView replaces the known services, servers and ingresses with those of a new view. A view
// without a configuration is ignored.
func (p *Producer) SetView(v *state.View) {
	if v.Table == nil {
		return
	}
	pools := map[string]*site.Pool{}
	serverDomains := map[netip.AddrPort]string{}
	sharded := map[string]bool{}
	for _, s := range v.Table.Config().Services {
		pools[s.Name] = s.Pool
		if s.Pool == nil {
			continue
		}
		sharded[s.Name] = shard.IsSharded(&s, v.Servers[s.Name], p.regions)
		for _, region := range p.regions {
			pools[shard.QueueName(s.Name, region)] = s.Pool
		}
		for _, server := range v.Servers[s.Name] {
			serverDomains[server.Address] = server.Domain
		}
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.pools = pools
	p.sharded = sharded
	p.serverDomains = serverDomains
	p.ingresses = map[string]int{"": len(v.Ingresses)}
	for _, i := range v.Ingresses {
		p.ingresses[p.regions[i.Domain]]++
	}
}

// newPlan estimates the times of a chain from the last reports of the batchers.
func (p *Producer) newPlan(c *Chain) chain.Plan {
	p.lock.Lock()
	defer p.lock.Unlock()
	pending := map[string]delay.Counts{}
	for _, s := range c.Stages {
		pending[s.Service] = p.estimatePending(s.Service)
	}
	snapshot := chain.Snapshot{Pools: p.pools, Reports: p.reports, Pending: pending}
	return chain.NewPlan(time.Now(), c.Rank, c.Stages, c.ItemCounts, snapshot)
}

// findHolderDomain returns the failure domain that holds the most of the given results; empty if
// none is known.
func (p *Producer) findHolderDomain(handles []string) string {
	p.lock.Lock()
	defer p.lock.Unlock()
	counts := map[string]int{}
	best := ""
	for _, h := range handles {
		holder, err := p.batcher.options.Pools.ReadHolder(h)
		if err != nil {
			continue // the error is logged when the result is released
		}
		domain := p.serverDomains[holder]
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

// resultTTL returns how long the servers of a queue keep a result; zero if that is not known.
func (p *Producer) resultTTL(queue string) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	if pool := p.pools[queue]; pool != nil {
		return pool.ResultTTL
	}
	return 0
}

// RecordBacklog records the backlog that the batcher of a queue reported.
func (p *Producer) RecordBacklog(message *wire.Outlook) {
	p.recordBacklog(message.GetService(), decodeBacklog(message))
}

func (p *Producer) recordBacklog(queue string, b delay.Backlog) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.reports[queue] = chain.Report{Backlog: b, At: time.Now()}
}

// addPending adds n to the pending results of a queue: those that chains of this ingress need but
// that are not in the queue yet.
func (p *Producer) addPending(queue string, rank site.Rank, n int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	counts := p.pending[queue]
	if counts == nil {
		counts = delay.Counts{}
		p.pending[queue] = counts
	}
	counts[rank] += float64(n)
	if counts[rank] == 0 {
		delete(counts, rank)
	}
}

// errJobDropped means that a batcher dropped a job that its caller had not canceled.
var errJobDropped = errors.New("the batcher dropped the job")

// maxPeerTries limits how often a job is sent to another ingress before this one runs it itself.
const maxPeerTries = 3

// produce runs a job at the batcher of a queue. If the batcher fails, the job is sent to the
// ingress that is then the first in the ranking. Results that were produced for the failed batcher
// are not released; their servers remove them after their TTL.
func (p *Producer) produce(ctx context.Context, queue string, j batch.Job) batch.Completion {
	completion := p.produceWithFailover(ctx, queue, j)
	if completion.Backlog.IsKnown() {
		p.recordBacklog(queue, completion.Backlog)
	}
	return completion
}

func (p *Producer) produceWithFailover(ctx context.Context, queue string, j batch.Job) batch.Completion {
	for range maxPeerTries {
		ranked := p.rankIngresses(queue)
		if len(ranked) == 0 || ranked[0] == p.peers.Self() {
			return p.batcher.Produce(ctx, queue, j)
		}
		completion, err := p.produceAtPeer(ctx, ranked[0], queue, j)
		// A batcher that is stopping cancels its jobs. The caller of the request is still waiting,
		// so the request must not be answered as if the caller had disconnected.
		if err == nil && completion.Outcome == batch.OutcomeCanceled && ctx.Err() == nil {
			if completion.InputsReleased {
				return batch.Completion{Outcome: batch.OutcomeInputGone, InputsReleased: true}
			}
			err = errJobDropped
		}
		if err == nil {
			return completion
		}
		if ctx.Err() != nil {
			return batch.Completion{Outcome: batch.OutcomeCanceled}
		}
		p.log.Warn("batcher-lost", zap.String("service", queue), zap.String("ingress", ranked[0]),
			zap.String("request", j.AttemptID), logs.Err(err))
	}
	j.IsFallback = true
	return p.batcher.Produce(ctx, queue, j)
}

func (p *Producer) produceAtPeer(ctx context.Context, name, queue string, j batch.Job) (batch.Completion, error) {
	now := time.Now()
	answer, err := p.peers.Produce(ctx, name, &wire.Produce{
		Service:        queue,
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
		Team:           j.Team,
	})
	if err != nil {
		return batch.Completion{}, err
	}
	return batch.Completion{
		Outcome:    batch.Outcome(answer.GetOutcome()),
		Handles:    answer.GetHandles(),
		RetryAfter: time.Duration(answer.GetRetryAfterNanos()),
		Backlog:    decodeBacklog(answer.GetOutlook()),

		InputsReleased: answer.GetInputsReleased(),
	}, nil
}

// Discard releases the results of a queue through its batcher, which tracks how much memory they
// take at their servers.
func (p *Producer) Discard(queue string, handles []string) {
	if len(handles) == 0 {
		return
	}
	ranked := p.rankIngresses(queue)
	if len(ranked) > 0 && ranked[0] != p.peers.Self() {
		err := p.peers.Discard(ranked[0], &wire.Discard{Service: queue, Handles: handles})
		if err == nil {
			return
		}
		p.log.Info("discard-forward-failed", zap.String("service", queue), logs.Err(err))
	}
	p.batcher.Discard(queue, handles)
}

// ServeProduce runs a job for another ingress.
func (p *Producer) ServeProduce(ctx context.Context, request *wire.Produce) *wire.Produced {
	now := time.Now()
	completion := p.batcher.Produce(ctx, request.GetService(), batch.Job{
		AttemptID:     request.GetAttemptId(),
		RequestDigest: request.GetRequest(),
		Stage:         int(request.GetStage()),
		Count:         int(request.GetCount()),
		Key:           request.GetKey(),
		Inputs:        request.GetInputs(),
		ResultBytes:   request.GetResultBytes(),
		Target:        now.Add(time.Duration(request.GetTargetNanos())),
		Expires:       now.Add(time.Duration(request.GetRemainingNanos())),
		Rank:          site.Rank(request.GetRank()),
		Team:          request.GetTeam(),
		Domain:        request.GetDomain(),
		Residency:     encode.ReadResidency(request.GetResidency()),

		InputService: request.GetInputService(),
		InputBytes:   request.GetInputBytes(),
	})
	return &wire.Produced{
		Outcome: string(completion.Outcome), Handles: completion.Handles,
		RetryAfterNanos: int64(completion.RetryAfter), InputsReleased: completion.InputsReleased,
		Outlook: encodeBacklog(request.GetService(), completion.Backlog),
	}
}

// ServeDiscard releases results for another ingress.
func (p *Producer) ServeDiscard(request *wire.Discard) {
	p.batcher.Discard(request.GetService(), request.GetHandles())
}
