package ahead

import (
	"math"
	"time"

	"verbenaroad.example/share/models/site"
)

// demandTime is over how long arrivals are averaged: about as long as a request takes
// through its stages, which is how far a prediction looks.
const demandTime = time.Second

// Demand observes how many results a second are asked for, by rank.
type Demand struct {
	// sums decay by demandTime; at is until when they did.
	sums Counts
	at   time.Time
}

// NewDemand returns a demand of nothing.
func NewDemand() *Demand { return &Demand{sums: Counts{}} }

// Add notes results that are asked for.
func (d *Demand) Add(now time.Time, rank site.Rank, n int) {
	d.decay(now)
	d.sums[rank] += float64(n)
}

// Rates returns the results a second that were asked for lately.
func (d *Demand) Rates(now time.Time) Counts {
	d.decay(now)
	return d.sums.Scale(1 / demandTime.Seconds())
}

func (d *Demand) decay(now time.Time) {
	left := math.Exp(-float64(now.Sub(d.at)) / float64(demandTime))
	if d.at.IsZero() {
		left = 0
	}
	d.at = now
	for rank := range d.sums {
		d.sums[rank] *= left
		if d.sums[rank] < leastSum {
			delete(d.sums, rank)
		}
	}
}

// leastSum is what a sum counts for nothing below; it keeps ranks that are gone out.
const leastSum = 0.01
