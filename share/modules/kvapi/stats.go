package kvapi

import "sync/atomic"

// Stats counts the calls of a Client since it was made.
type Stats struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	// Failed counts calls of any kind that ended without a whole answer.
	Failed uint64
	// Waiting is the number of watches open at this moment.
	Waiting int64
}

type counters struct {
	reads, writes, watches, failed atomic.Uint64
	waiting                        atomic.Int64
}

// Stats returns the counts of this moment.
func (c *Client) Stats() Stats {
	return Stats{
		Reads:   c.stats.reads.Load(),
		Writes:  c.stats.writes.Load(),
		Watches: c.stats.watches.Load(),
		Failed:  c.stats.failed.Load(),
		Waiting: c.stats.waiting.Load(),
	}
}
