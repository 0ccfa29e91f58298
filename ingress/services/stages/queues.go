package stages

import (
	"slices"

	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/decide/shard"
	"verbenaroad.example/share/models/site"
)

// assignQueues returns a copy of the stages of a chain in which each service is replaced by the
// name of its queue. If a service has regional queues, that is the queue of the engine's region.
func (p *Producer) assignQueues(c *Chain) []site.Stage {
	p.lock.Lock()
	defer p.lock.Unlock()
	stages := slices.Clone(c.Stages)
	for i, s := range stages {
		if p.sharded[s.Service] {
			stages[i].Service = shard.QueueName(s.Service, p.regions[c.Domain])
		}
	}
	return stages
}

// rankIngresses lists the reachable ingresses that may batch for a queue. The first one is its
// batcher.
func (p *Producer) rankIngresses(queue string) []string {
	_, region := shard.ParseQueueName(queue)
	return p.peers.RankIn(region, queue)
}

// estimatePending estimates the pending results of a queue, summed over all ingresses. The load
// balancer distributes callers evenly, so each ingress is assumed to have as many pending results
// as this one. For the queue of another region, the ingresses there are assumed to have as many as
// this one has for the queue of its own region. The caller holds the lock.
func (p *Producer) estimatePending(queue string) delay.Counts {
	service, region := shard.ParseQueueName(queue)
	if region != "" {
		queue = shard.QueueName(service, p.region)
	}
	return p.pending[queue].Scale(float64(max(p.ingresses[region], 1)))
}
