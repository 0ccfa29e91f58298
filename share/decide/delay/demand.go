package delay

import (
	"math"
	"time"

	"verbenaroad.example/share/models/site"
)

// demandWindow is the time constant over which arrivals are averaged. It is about as long
// as a request takes to pass through its stages, which is how far ahead waits are estimated.
const demandWindow = time.Second

// Demand measures the arrival rate of results by rank, as an exponentially decaying average.
type Demand struct {
	// sums decay with the time constant demandWindow; they are valid as of updated.
	sums    Counts
	updated time.Time
}

// NewDemand returns a Demand without any arrivals.
func NewDemand() *Demand { return &Demand{sums: Counts{}} }

// Add records the arrival of a request for n results.
func (d *Demand) Add(now time.Time, rank site.Rank, n int) {
	d.decay(now)
	d.sums[rank] += float64(n)
}

// Rates returns the recent arrival rate of each rank in results per second.
func (d *Demand) Rates(now time.Time) Counts {
	d.decay(now)
	return d.sums.Scale(1 / demandWindow.Seconds())
}

func (d *Demand) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(d.updated)) / float64(demandWindow))
	if d.updated.IsZero() {
		factor = 0
	}
	d.updated = now
	for rank := range d.sums {
		d.sums[rank] *= factor
		if d.sums[rank] < minSum {
			delete(d.sums, rank)
		}
	}
}

// minSum is the sum below which a rank is removed, so that ranks without further arrivals
// do not stay in the map.
const minSum = 0.01
