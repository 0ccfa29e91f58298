package pieces

import (
	"slices"

	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/decide/shard"
	"verbenaroad.example/share/models/site"
)

// assignQueues returns the stages with the queues that make their results, those of the
// engine's region, in place of their services.
func (m *Maker) assignQueues(c *Chain) []site.Stage {
	m.lock.Lock()
	defer m.lock.Unlock()
	stages := slices.Clone(c.Stages)
	for i, s := range stages {
		if m.divided[s.Service] {
			stages[i].Service = shard.QueueName(s.Service, m.regions[c.Domain])
		}
	}
	return stages
}

// rank lists the ingresses that may hold a queue.
func (m *Maker) rank(queue string) []string {
	_, region := shard.ParseQueueName(queue)
	return m.peers.RankIn(region, queue)
}

// countPending returns what chains of all ingresses still need of a queue. The balancer
// spreads the callers, so the others have about as much under way as this one, those of
// another region for its queue as this one for that of its own; called under the lock.
func (m *Maker) countPending(queue string) delay.Counts {
	service, region := shard.ParseQueueName(queue)
	if region != "" {
		queue = shard.QueueName(service, m.region)
	}
	return m.pending[queue].Scale(float64(max(m.ingresses[region], 1)))
}
