package pieces

import (
	"maps"
	"slices"

	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// encodeOutlook writes a service's queue for the other ingresses; nil where the
// queue is not known.
//
// Guards against a job that its batcher gave up, or one for a service that it does not
// know, making the service look stalled at the ingress that asked: written as a rate of
// 0, each of its next requests would be given a wait of a second.
func encodeOutlook(service string, o delay.Backlog) *wire.Outlook {
	if !o.IsKnown() {
		return nil
	}
	ranks := map[site.Rank]bool{}
	for _, counts := range []delay.Counts{o.OnTime, o.Late, o.Demand} {
		for rank := range counts {
			ranks[rank] = true
		}
	}
	told := &wire.Outlook{Service: service, Rate: o.Rate}
	for _, rank := range slices.Sorted(maps.Keys(ranks)) {
		told.Queues = append(told.Queues, &wire.RankQueue{
			Rank: uint32(max(rank, 0)), OnTime: o.OnTime[rank], Late: o.Late[rank], Demand: o.Demand[rank], //nolint:gosec // a small number
		})
	}
	return told
}

// decodeOutlook reads it; what was not told stays so.
func decodeOutlook(told *wire.Outlook) delay.Backlog {
	if told == nil {
		return delay.Backlog{}
	}
	o := delay.Backlog{OnTime: delay.Counts{}, Late: delay.Counts{}, Demand: delay.Counts{}, Rate: told.GetRate()}
	for _, q := range told.GetQueues() {
		rank := site.Rank(q.GetRank())
		o.OnTime[rank] = q.GetOnTime()
		o.Late[rank] = q.GetLate()
		o.Demand[rank] = q.GetDemand()
	}
	return o
}
