package gauge

import (
	"context"
	"net/netip"
	"time"
)

// DelayedRead reads pages once, in the background, after a delay.
type DelayedRead struct {
	reader    *Reader
	addresses []netip.AddrPort
	pages     []Page
	done      chan struct{}
}

// StartDelayedRead starts a read of the pages after the delay. Without a delay, it reads the pages
// before it returns.
func StartDelayedRead(ctx context.Context, r *Reader, addresses []netip.AddrPort, delay time.Duration) *DelayedRead {
	d := &DelayedRead{reader: r, addresses: addresses, done: make(chan struct{})}
	if delay <= 0 {
		d.pages = r.ReadAll(ctx, addresses)
		close(d.done)
		return d
	}
	go d.run(ctx, delay)
	return d
}

// run reads the pages after the delay. If ctx is canceled first, all pages are nil.
func (d *DelayedRead) run(ctx context.Context, delay time.Duration) {
	defer close(d.done)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		d.pages = d.reader.ReadAll(ctx, d.addresses)
	case <-ctx.Done():
		d.pages = make([]Page, len(d.addresses))
	}
}

// Pages waits for the read to finish and returns the pages.
func (d *DelayedRead) Pages() []Page {
	<-d.done
	return d.pages
}
