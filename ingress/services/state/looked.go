package state

import (
	"bytes"
	"context"
	"time"

	"verbenaroad.example/share/models/site"
)

// Looked returns a channel that is closed once the ingress has listed the registrations of its failure
// domain.
func (b *Book) Looked() <-chan struct{} { return b.looked }

// markRegistered records that this ingress is registered. Further calls do nothing.
func (b *Book) markRegistered() {
	b.lock.Lock()
	defer b.lock.Unlock()
	select {
	case <-b.registered:
	default:
		close(b.registered)
	}
}

// IsRegistered reports whether this ingress has been registered.
func (b *Book) IsRegistered() bool {
	select {
	case <-b.registered:
		return true
	default:
		return false
	}
}

// findOverwrite returns the registration in the store if it is not the one that this ingress has written under a lease
// at a revision: it was removed, or written later by a call of this ingress that the store had not answered, or by an
// earlier process of its name. The revision is zero if this process has taken the registration over.
func (b *Book) findOverwrite(key string, value []byte, lease site.Lease, revision site.Revision) (site.Record, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	r, known := b.records.Find(key)
	if !known || !b.isComplete() || !r.Revision.IsAfter(revision) {
		return site.Record{}, false
	}
	isOtherLease := !r.Lease.IsZero() && r.Lease != lease // records that other ingresses pass on name no lease
	return r, r.Deleted || isOtherLease || !bytes.Equal(r.Value, value)
}

// awaitRegistered waits until this ingress is registered, at most for limit. It returns false if the context
// ends first.
func (b *Book) awaitRegistered(ctx context.Context, limit time.Duration) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case <-b.registered:
		return true
	case <-timeout.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// HasLookFailed reports whether the store did not answer, or refused, the first listing of this ingress.
func (b *Book) HasLookFailed() bool { return b.lookFailed.Load() }

// HasLooked reports whether the ingress has listed the registrations of its failure domain.
func (b *Book) HasLooked() bool {
	select {
	case <-b.looked:
		return true
	default:
		return false
	}
}

// markLooked keeps the leases of a first listing of registrations. Further calls do nothing.
func (b *Book) markLooked(records []site.Record) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.HasLooked() {
		return
	}
	for _, r := range records {
		b.leases[r.Key] = registration{value: r.Value, lease: r.Lease}
	}
	close(b.looked)
}

// findLease returns the lease of a registration that the store held before this process registered; zero if
// there was none with the given key and value.
func (b *Book) findLease(key string, value []byte) site.Lease {
	b.lock.Lock()
	defer b.lock.Unlock()
	r, found := b.leases[key]
	if !found || !bytes.Equal(r.value, value) {
		return site.Lease{}
	}
	return r.lease
}
