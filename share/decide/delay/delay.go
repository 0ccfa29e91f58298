// Package delay estimates how long a request waits at a service that serves its queue
// in rank order.
package delay

import (
	"time"

	"verbenaroad.example/share/models/site"
)

// Counts holds a number of results to be produced for each rank of their requests.
type Counts map[site.Rank]float64

// UpTo returns the sum over all ranks that are served no later than the given one: that
// rank and all lower, more urgent ones.
func (c Counts) UpTo(rank site.Rank) float64 {
	sum := 0.0
	for r, n := range c {
		if r <= rank {
			sum += n
		}
	}
	return sum
}

// Sum returns the sum over all ranks.
func (c Counts) Sum() float64 {
	sum := 0.0
	for _, n := range c {
		sum += n
	}
	return sum
}

// Scale returns a copy with every count multiplied by factor.
func (c Counts) Scale(factor float64) Counts {
	scaled := Counts{}
	for r, n := range c {
		scaled[r] = factor * n
	}
	return scaled
}

// Backlog describes the queue of a service as reported by its batcher.
type Backlog struct {
	// OnTime counts the queued results of requests that can still meet their target, Late
	// those of all other requests, which are served after them.
	OnTime Counts
	Late   Counts
	// Rate is the number of results per second that the service produces in full calls; 0
	// if none of its servers responds.
	Rate float64
	// Demand is the recent arrival rate, in results per second, of requests that could
	// meet their target.
	Demand Counts
}

// IsKnown reports whether the backlog was reported at all. The zero Backlog means that it was not,
// for example in the completion of a job that its batcher dropped.
func (b Backlog) IsKnown() bool { return b.OnTime != nil }

// stalledWait is the assumed wait at a service none of whose servers responds: a
// registration becomes visible about one heartbeat after a server starts.
const stalledWait = time.Second

// Wait estimates how long a request that can meet its target waits in the queue.
func (b Backlog) Wait(rank site.Rank) time.Duration {
	return b.ProcessingTime(b.OnTime.UpTo(rank), 0)
}

// LateWait estimates the same for a request that cannot meet its target.
func (b Backlog) LateWait(rank site.Rank) time.Duration {
	return b.ProcessingTime(b.OnTime.Sum()+b.Late.UpTo(rank), b.Demand.Sum())
}

// ProcessingTime estimates how long the service takes to produce the given number of results
// while other results, which are served before them, arrive at the rate of demand per second.
func (b Backlog) ProcessingTime(results, demand float64) time.Duration {
	if b.Rate == 0 {
		return stalledWait
	}
	rate := b.Rate - min(demand, maxDemandShare*b.Rate)
	return time.Duration(min(results/rate, maxTime.Seconds()) * float64(time.Second))
}

// maxTime limits the estimates, so that the number of results that a request asks for cannot exceed what a
// time holds.
const maxTime = time.Hour

// maxDemandShare limits the share of a service's rate that ProcessingTime assigns to later
// arrivals: bursts end, and the demand is only known for about one second.
const maxDemandShare = 0.8
