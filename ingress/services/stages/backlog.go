package stages

import (
	"maps"
	"slices"

	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// encodeBacklog converts the backlog of a queue to its wire message. It returns nil if the
// backlog is not known.
//
// Guards against a service that looks stalled to the ingress that sent a job, only because the
// batcher dropped the job or does not know its service. If an unknown backlog were encoded, its
// rate of 0 would add an estimated wait of one second to every further request.
func encodeBacklog(queue string, b delay.Backlog) *wire.Outlook {
	if !b.IsKnown() {
		return nil
	}
	ranks := map[site.Rank]bool{}
	for _, counts := range []delay.Counts{b.OnTime, b.Late, b.Demand} {
		for rank := range counts {
			ranks[rank] = true
		}
	}
	message := &wire.Outlook{Service: queue, Rate: b.Rate}
	for _, rank := range slices.Sorted(maps.Keys(ranks)) {
		message.Queues = append(message.Queues, &wire.RankQueue{
			Rank: uint32(max(rank, 0)), OnTime: b.OnTime[rank], Late: b.Late[rank], Demand: b.Demand[rank], //nolint:gosec // a small number
		})
	}
	return message
}

// decodeBacklog converts a wire message to a backlog. Without a message, the backlog is not known.
func decodeBacklog(message *wire.Outlook) delay.Backlog {
	if message == nil {
		return delay.Backlog{}
	}
	b := delay.Backlog{OnTime: delay.Counts{}, Late: delay.Counts{}, Demand: delay.Counts{}, Rate: message.GetRate()}
	for _, q := range message.GetQueues() {
		rank := site.Rank(q.GetRank())
		b.OnTime[rank] = q.GetOnTime()
		b.Late[rank] = q.GetLate()
		b.Demand[rank] = q.GetDemand()
	}
	return b
}
