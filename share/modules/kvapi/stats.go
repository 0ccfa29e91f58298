package kvapi

import "sync/atomic"

// Stats holds the numbers of calls of a Client since it was created.
type Stats struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	// Failed is the number of calls of any kind that ended without a complete response.
	Failed uint64
	// Waiting is the number of watches that are currently open.
	Waiting int64
}

type counters struct {
	reads, writes, watches, failed atomic.Uint64
	waiting                        atomic.Int64
}

// Stats returns the current counts.
func (c *Client) Stats() Stats {
	return Stats{
		Reads:   c.stats.reads.Load(),
		Writes:  c.stats.writes.Load(),
		Watches: c.stats.watches.Load(),
		Failed:  c.stats.failed.Load(),
		Waiting: c.stats.waiting.Load(),
	}
}
