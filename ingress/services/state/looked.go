package state

import (
	"bytes"

	"verbenaroad.example/share/models/site"
)

// Looked returns a channel that is closed once the ingress has listed the registrations of its failure
// domain.
func (b *Book) Looked() <-chan struct{} { return b.looked }

// HasLookFailed reports whether the store did not answer, or refused, the first listing of this ingress.
func (b *Book) HasLookFailed() bool { return b.lookFailed.Load() }

// markLooked keeps the leases of a first listing of registrations. Further calls do nothing.
func (b *Book) markLooked(records []site.Record) {
	b.lock.Lock()
	defer b.lock.Unlock()
	select {
	case <-b.looked:
		return
	default:
	}
	for _, r := range records {
		b.leases[r.Key] = registration{value: r.Value, lease: r.Lease}
	}
	close(b.looked)
}

// findLease returns the lease of a registration that the store held before this process registered; 0 if
// there was none with the given key and value.
func (b *Book) findLease(key string, value []byte) uint64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	r, found := b.leases[key]
	if !found || !bytes.Equal(r.value, value) {
		return 0
	}
	return r.lease
}
