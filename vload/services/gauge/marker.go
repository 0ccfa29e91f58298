package gauge

import (
	"context"
	"net/netip"
	"time"
)

// Marker reads pages once, a while after its start.
type Marker struct {
	reader    *Reader
	addresses []netip.AddrPort
	pages     []Page
	done      chan struct{}
}

// StartMarker returns a marker that reads the pages after the wait, or at once when that is 0.
func StartMarker(ctx context.Context, r *Reader, addresses []netip.AddrPort, wait time.Duration) *Marker {
	m := &Marker{reader: r, addresses: addresses, done: make(chan struct{})}
	if wait <= 0 {
		m.pages = r.ReadAll(ctx, addresses)
		close(m.done)
		return m
	}
	go m.run(ctx, wait)
	return m
}

// run waits and reads; a canceled wait leaves all pages missing.
func (m *Marker) run(ctx context.Context, wait time.Duration) {
	defer close(m.done)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		m.pages = m.reader.ReadAll(ctx, m.addresses)
	case <-ctx.Done():
		m.pages = make([]Page, len(m.addresses))
	}
}

// Pages waits for the reading and returns it.
func (m *Marker) Pages() []Page {
	<-m.done
	return m.pages
}
