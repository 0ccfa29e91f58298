package assign

import (
	"verbenaroad.example/share/decide/shard"
	"verbenaroad.example/share/models/site"
)

// rankPlacers lists the reachable ingresses that may place requests at the engines of a service. The first one is
// the placer. It is also the batcher of the service's queue, if the service has one: whoever sends requests to a
// server that states a rate must be, or ask, the one that counts them all.
func (d *Dispatcher) rankPlacers(service string) []string {
	if s := d.findPool(service); s != nil {
		return d.peers.RankIn("", shard.QueueName(service, ""))
	}
	return d.peers.Rank(keyPrefix + service)
}

// rankCounters lists the reachable ingresses that may count the requests to a server that states a rate. The first
// one does: the batcher of the server's queue, or else the placer of its service.
func (d *Dispatcher) rankCounters(server *site.Server) []string {
	s := d.findPool(server.Service)
	if s == nil || s.Engine != nil {
		return d.rankPlacers(server.Service)
	}
	queue := shard.QueueOf(s, d.views.View().Servers[s.Name], d.placer.regions, d.placer.regions[server.Domain])
	_, region := shard.ParseQueueName(queue)
	return d.peers.RankIn(region, queue)
}

// findPool returns the service if its servers produce results of stages, or nil.
func (d *Dispatcher) findPool(service string) *site.Service {
	table := d.views.View().Table
	if table == nil {
		return nil
	}
	if s := table.FindService(service); s != nil && s.Pool != nil {
		return s
	}
	return nil
}
