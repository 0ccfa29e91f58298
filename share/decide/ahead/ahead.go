// Package ahead tells how much work stands before a request at a service whose
// queue goes by rank.
package ahead

import (
	"time"

	"verbenaroad.example/share/models/site"
)

// Counts are results to be made, by the rank of their requests.
type Counts map[site.Rank]float64

// Before sums what goes before a newcomer: all that is as urgent or more.
func (c Counts) Before(rank site.Rank) float64 {
	sum := 0.0
	for r, n := range c {
		if r <= rank {
			sum += n
		}
	}
	return sum
}

// Sum adds up all ranks.
func (c Counts) Sum() float64 {
	sum := 0.0
	for _, n := range c {
		sum += n
	}
	return sum
}

// Scale multiplies all counts.
func (c Counts) Scale(factor float64) Counts {
	scaled := Counts{}
	for r, n := range c {
		scaled[r] = factor * n
	}
	return scaled
}

// Outlook is a service's queue as its batcher tells it.
type Outlook struct {
	// OnTime are the results waiting of requests that can still be on time, Late those
	// of the others, which go behind them.
	OnTime Counts
	Late   Counts
	// Rate is how many results a second the service makes in full calls; 0 while none
	// of its servers answers.
	Rate float64
	// Demand is how many results a second were asked for lately by requests that could
	// be on time.
	Demand Counts
}

// IsTold tells an outlook from none, as that of a job which its batcher gave up.
func (o Outlook) IsTold() bool { return o.OnTime != nil }

// stalledWait stands for the wait at a service of which no server answers: a
// registration shows about a heartbeat after a start.
const stalledWait = time.Second

// Wait predicts how long a request waits that can be on time.
func (o Outlook) Wait(rank site.Rank) time.Duration {
	return o.TimeFor(o.OnTime.Before(rank), 0)
}

// LateWait predicts the same for a request that cannot be on time.
func (o Outlook) LateWait(rank site.Rank) time.Duration {
	return o.TimeFor(o.OnTime.Sum()+o.Late.Before(rank), o.Demand.Sum())
}

// TimeFor is how long some results take while others that go before them arrive.
func (o Outlook) TimeFor(results, demand float64) time.Duration {
	if o.Rate == 0 {
		return stalledWait
	}
	rate := o.Rate - min(demand, mostPassed*o.Rate)
	return time.Duration(results / rate * float64(time.Second))
}

// mostPassed is the part of a service's rate that those who come later may take from
// a request at the most: bursts end, and demand is known for a second only.
const mostPassed = 0.8
