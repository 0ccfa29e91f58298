// Package cold limits the rate of requests to a backend server that has just started.
//
// A cold server handles a few requests per second and crashes at a rate well above that. Each
// ingress counts only the requests that it sends itself, and ingresses exchange no messages on
// the request path. The limit of a server is therefore divided among them in advance.
package cold

import (
	"slices"
	"time"
)

// Settings define the limit on requests per second to a cold server from all ingresses
// together: the rate that the server handles times Overage, plus Slack.
type Settings struct {
	Overage float64
	Slack   float64
}

// maxPlacers is how many ingresses may act as the placer of a service at the same time: one
// that has just failed or been partitioned from the others, and its successor. Each keeps to
// its part of the limit.
const maxPlacers = 2

// Limit returns how many requests per second one placer may send to a cold server that
// handles rate requests per second. Without a rate there is no limit, and limited is false.
func (s Settings) Limit(rate float64) (limit int, limited bool) {
	if rate <= 0 {
		return 0, false
	}
	return int((max(s.Overage, 1)*rate + s.Slack) / maxPlacers), true
}

// Share returns how many requests per second one of several ingresses may send to a cold
// server. Rank is the position of the ingress among them, starting at 0; a negative rank means
// that it is not one of them. Each ingress gets an equal part of limit, rounded down. If there
// are more ingresses than limit, the first limit of them may send one request per second each
// and the others none.
func Share(rank, ingresses, limit int) int {
	if rank < 0 || ingresses <= 0 || rank >= limit {
		return 0
	}
	return max(limit/ingresses, 1)
}

// windowLength is the period over which requests to a cold server are counted.
const windowLength = time.Second

// Window counts the requests that may reach one server within one second. A request counts
// from its reservation until one second after it is sent. Requests that are reserved at
// different times but sent together are therefore all counted before they are sent.
type Window struct {
	reserved int
	// sent holds the send times of the requests of the last second, oldest first.
	sent []time.Time
}

// Reserve counts a request that is to be sent later.
func (w *Window) Reserve() { w.reserved++ }

// MarkSent records that a reserved request is sent now.
func (w *Window) MarkSent(now time.Time) {
	w.reserved = max(w.reserved-1, 0)
	w.evict(now)
	w.sent = append(w.sent, now)
}

// Cancel drops the reservation of a request that will not be sent.
func (w *Window) Cancel() { w.reserved = max(w.reserved-1, 0) }

// Count returns the number of reserved requests plus those sent within the last second.
func (w *Window) Count(now time.Time) int {
	w.evict(now)
	return w.reserved + len(w.sent)
}

func (w *Window) evict(now time.Time) {
	w.sent = slices.DeleteFunc(w.sent, func(at time.Time) bool { return now.Sub(at) > windowLength })
}
