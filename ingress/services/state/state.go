// Package state keeps an ingress's view of the deployment: the configuration, the backend servers,
// the other ingresses, the evacuations and the quarantines. Its input is the store's listings and
// watches, and the records that other ingresses pass on. Its output is a View, which a request
// uses unchanged from its start to its end, and deltas for other ingresses.
package state

import (
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/alive"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/uptime"
)

// Codec encodes and decodes the records of the store and their keys.
type Codec interface {
	ServerPrefix() string
	IngressPrefix() string
	EvacuationPrefix() string
	EvacuatedDomain(key string) string
	IsConfig(key string) bool
	ServerID(key string) string
	ReadConfig(value []byte) (*site.Config, error)
	ReadServer(key string, value []byte) (site.Server, error)
	IngressDomainPrefix(domain string) string
	IngressKey(i site.Ingress) string
	IngressName(key string) string
	WriteIngress(i site.Ingress) ([]byte, error)
	QuarantinePrefix() string
	QuarantineID(key string) string
	ReadQuarantine(value []byte) (site.Quarantine, error)
	InventoryKey() string
	ReadInventory(value []byte) (site.Inventory, error)
	ReadIngress(key string, value []byte) (site.Ingress, error)
}

// View is an immutable snapshot of the deployment as the ingress knows it.
type View struct {
	// Table is nil before the first configuration.
	Table *access.Table
	// Servers are the backend servers that may be sent new work, by service.
	Servers map[string][]site.Server
	// Leaving are the backend servers that are registered as ready and said in an answer that they
	// leave. Servers omits them.
	Leaving []site.Server
	// Evacuated are the failure domains whose servers get no new work. Servers omits them.
	Evacuated []string
	// Ingresses are the registered ingresses, including this one.
	Ingresses []site.Ingress
	// IsComplete is set if no registration that the store holds is missing in Servers and Versions, as of
	// some revision.
	IsComplete bool
	// Versions are the software versions of all registered servers by service, including those that get
	// no new work. Inventory is what the store holds of them; nil: nothing that can be read.
	Versions  map[string][]string
	Inventory *site.Inventory
	// Era is that of the store in which the records are complete.
	Era uint64
	// Quarantines holds the quarantines of requests that crash servers.
	Quarantines map[poison.ID]site.Quarantine
}

// Version returns the version of the configuration, 0 if there is none yet.
func (v *View) Version() uint64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Config().Version
}

// Options are the settings of a Book.
type Options struct {
	Codec Codec
	Log   *zap.Logger
	// OnChange, if set, is called with each new view, under the lock of the Book.
	OnChange func(*View)
	// IsLeaving, if set, reports whether a backend server said that it leaves. It is called under the
	// lock of the Book.
	IsLeaving func(*site.Server) bool
}

// Book holds the records that this ingress knows and publishes a View of them. It also tracks when
// the store last answered and whether it is available.
type Book struct {
	options Options
	view    atomic.Pointer[View]
	// lastAnswer is when the store last answered this ingress while it watched the store, or
	// answered the source, which is the ingress that this one follows. It is in nanoseconds since
	// started.
	lastAnswer atomic.Int64
	// lastOwnAnswer is when the store last answered this ingress, also in nanoseconds since
	// started.
	lastOwnAnswer atomic.Int64
	started       time.Time
	// confirmedAt is when the store was asked for what last confirmed the records here, in nanoseconds since
	// startedUptime.
	confirmedAt   atomic.Int64
	startedUptime time.Time
	// lookFailed is set once a first listing has failed.
	lookFailed atomic.Bool

	lock    sync.Mutex
	records *mirror.Mirror
	// unconfirmed is set from the first listing of a store that may have been restored until other ingresses
	// were asked what was in force before. Until then the view has no configuration.
	unconfirmed bool
	servers     *alive.Set
	table       *access.Table
	peers       map[string]site.Ingress
	// peerKeys holds the key of the registration that each peer was last seen with.
	peerKeys map[string]string
	// removedPeers holds when the registration of a peer ended, until the peer is dropped or
	// registers again.
	removedPeers map[string]time.Time
	// quarantines is replaced and never modified, because views share it.
	quarantines map[poison.ID]site.Quarantine
	// inventory is replaced and never modified, because views share it.
	inventory *site.Inventory
	// direct is set while this ingress watches the store itself. directSince is when direct was
	// last set or cleared.
	direct      bool
	directSince time.Time
	// unanswered holds the kinds of calls that the store does not answer. It is empty while
	// direct is not set.
	unanswered map[StoreCall]bool
	// changed is closed and replaced when any record changes.
	changed chan struct{}
	// looked is closed once the first listing has been applied. leases holds, by key, the leases of the
	// registrations in it.
	looked chan struct{}
	// registered is closed once this ingress is registered.
	registered chan struct{}
	leases     map[string]registration
}

// registration is what the store holds under the key of an ingress.
type registration struct {
	value []byte
	lease site.Lease
}

// NewBook returns a book without records.
func NewBook(options Options) *Book {
	b := &Book{
		options: options,
		started: time.Now(), startedUptime: uptime.Now(),
		records: mirror.NewMirror(mirror.Options{
			IsWanted: func(key string) bool { return isWanted(options.Codec, key) }, Policy: holdPolicy{options.Codec},
		}),
		servers:      alive.NewSet(),
		peers:        map[string]site.Ingress{},
		peerKeys:     map[string]string{},
		removedPeers: map[string]time.Time{},
		unanswered:   map[StoreCall]bool{},
		changed:      make(chan struct{}),
		looked:       make(chan struct{}),
		registered:   make(chan struct{}),
		leases:       map[string]registration{},
	}
	b.lastAnswer.Store(-int64(time.Hour))
	b.confirmedAt.Store(-int64(time.Hour))
	b.view.Store(&View{})
	return b
}

func isWanted(c Codec, key string) bool {
	return c.IsConfig(key) || strings.HasPrefix(key, c.ServerPrefix()) || strings.HasPrefix(key, c.IngressPrefix()) ||
		strings.HasPrefix(key, c.EvacuationPrefix()) || strings.HasPrefix(key, c.QuarantinePrefix()) ||
		key == c.InventoryKey()
}

// IngressDomainPrefix is the key prefix of the registrations of a failure domain's ingresses.
func (b *Book) IngressDomainPrefix(domain string) string {
	return b.options.Codec.IngressDomainPrefix(domain)
}

// View returns the current view.
func (b *Book) View() *View { return b.view.Load() }

// Age returns the time since the store last answered this ingress while it watched the store, or
// the ingress that it follows. Before the first such answer it is more than an hour.
func (b *Book) Age() time.Duration {
	return time.Since(b.started) - time.Duration(b.lastAnswer.Load())
}

// RecordsAge returns for how long the records here may have lacked a change that the store holds. Unlike Age it counts
// from when the store was asked and not from when its answer was read, includes suspensions of the machine, and
// counts answers that tell the records only. Before the first of them it is an hour or more.
func (b *Book) RecordsAge() time.Duration {
	return uptime.Since(b.startedUptime) - time.Duration(b.confirmedAt.Load())
}

// ConfirmRecords records that the records here contain each change that the store had made at the given time, a result
// of uptime.Now.
func (b *Book) ConfirmRecords(at time.Time) {
	if now := uptime.Now(); at.After(now) {
		at = now
	}
	raise(&b.confirmedAt, int64(at.Sub(b.startedUptime)))
}

// ObserveSourceAnswer records that the store answered the followed ingress at the given time.
func (b *Book) ObserveSourceAnswer(at time.Time) { b.setIfLater(&b.lastAnswer, at) }

// ObserveOwnAnswer records that the store answered this ingress at the given time. While this
// ingress does not watch the store, such an answer does not show that its records are current.
func (b *Book) ObserveOwnAnswer(at time.Time) {
	b.setIfLater(&b.lastOwnAnswer, at)
	if b.isWatching() {
		b.setIfLater(&b.lastAnswer, at)
	}
}

// setIfLater sets value to the time at, unless value is already later.
func (b *Book) setIfLater(value *atomic.Int64, at time.Time) {
	raise(value, int64(at.Sub(b.started)))
}

// raise sets value to a number, unless value is already higher.
func raise(value *atomic.Int64, number int64) {
	for {
		current := value.Load()
		if number <= current || value.CompareAndSwap(current, number) {
			return
		}
	}
}

// OwnSilence returns the time since the store last answered this ingress.
func (b *Book) OwnSilence() time.Duration {
	return time.Since(b.started) - time.Duration(b.lastOwnAnswer.Load())
}

// lastAnswerAt returns the time from which Age counts.
func (b *Book) lastAnswerAt() time.Time {
	return b.started.Add(time.Duration(b.lastAnswer.Load()))
}

// SetDirect records whether this ingress watches the store itself. While it does not, it treats
// the store as available.
func (b *Book) SetDirect(direct bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.direct = direct
	b.directSince = time.Now()
	if direct || len(b.unanswered) == 0 {
		return
	}
	clear(b.unanswered)
	b.servers.MarkStoreAvailable(time.Now())
}

// isWatching reports whether this ingress watches the store itself.
func (b *Book) isWatching() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.direct
}

// IsDirect reports whether this ingress watches the store and the store answers.
func (b *Book) IsDirect() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.direct && len(b.unanswered) == 0
}

// IsUnconfirmed reports whether other ingresses are to be asked what was in force before the store was restored,
// since the records here come from the store alone.
func (b *Book) IsUnconfirmed() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.unconfirmed
}

// Confirm records that other ingresses were asked what was in force before, or that none can be.
func (b *Book) Confirm() {
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.unconfirmed {
		return
	}
	b.unconfirmed = false
	b.publish()
	b.notifyChanged()
}

// IsListed reports whether the book holds a complete copy of the records as of some revision.
func (b *Book) IsListed() bool { return !b.CompleteRevision().IsZero() }

// IsStoreUnavailable reports whether this ingress watches the store and the store does not answer
// its watch or its lease renewals.
func (b *Book) IsStoreUnavailable() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.unanswered) > 0
}

// CompleteRevision returns the revision up to which the records are complete. A watch continues
// after it.
func (b *Book) CompleteRevision() site.Revision {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.records.CompleteRevision()
}

// ApplyListing applies a full listing of the store that was started at the given revision.
func (b *Book) ApplyListing(records []site.Record, revision site.Revision) {
	b.lock.Lock()
	defer b.lock.Unlock()
	before := b.records.CompleteRevision()
	if before.IsZero() && revision.Era > 0 {
		b.unconfirmed = true
	}
	changed := b.records.ApplyListing(time.Now(), records, revision)
	b.options.Log.Info("records-listed", zap.Stringer("revision", revision), zap.Stringer("complete-before", before),
		zap.Int("records", len(records)), zap.Int("changed", len(changed)))
	b.applyChanged(changed, "store")
	b.logEra(before)
}

// logDroppedHistory logs that the store no longer holds the changes after the records here.
func (b *Book) logDroppedHistory() {
	b.options.Log.Warn("watch-history-gone", zap.Stringer("complete", b.CompleteRevision()))
}

// Apply applies the changes from a watch that is complete up to the given revision.
func (b *Book) Apply(changes []site.Record, revision site.Revision) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.applyChanged(b.records.Apply(changes, revision), "store")
}

// Merge applies a partial listing. The complete revision stays the same.
func (b *Book) Merge(records []site.Record) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.applyChanged(b.records.Merge(records), "store")
}

// ApplyDelta applies a delta from another ingress.
func (b *Book) ApplyDelta(d mirror.Delta) {
	b.lock.Lock()
	defer b.lock.Unlock()
	before := b.records.Extent()
	b.applyChanged(b.records.ApplyDelta(time.Now(), d), "peer")
	b.logEra(before.CompleteRevision)
	if b.records.Extent().EarlierRevision != before.EarlierRevision {
		b.notifyChanged() // those that follow this ingress may lack records of an earlier era
	}
}

// logEra logs what stays in force if the records are of a later era of the store than they were, up to the given
// revision. The caller must hold the lock.
func (b *Book) logEra(before site.Revision) {
	after := b.records.CompleteRevision()
	if before.IsZero() || after.Era == before.Era {
		return
	}
	keys := []string{}
	for _, r := range b.records.Holds() {
		keys = append(keys, r.Key)
	}
	b.options.Log.Warn("era-began", zap.Stringer("revision", after), zap.Stringer("complete-before", before),
		zap.Int("held", len(keys)), zap.Strings("first-held", keys[:min(len(keys), maxLoggedHolds)]))
}

// maxLoggedHolds limits the held records that a log line names.
const maxLoggedHolds = 8

// Since returns the delta for a copy with the given extent.
func (b *Book) Since(e mirror.Extent) mirror.Delta {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.records.Since(time.Now(), e)
}

// Extent returns the extent of the records in the book.
func (b *Book) Extent() mirror.Extent {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.records.Extent()
}

// Advance processes the extent of another ingress's copy. It may show that the records in this
// book are complete up to a later revision.
func (b *Book) Advance(e mirror.Extent) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.records.Advance(e.NewestRevision, e.CompleteRevision)
	b.applyChanged(nil, "peer") // the records may have become complete
}

// Changed returns a channel that is closed when any record changes next.
func (b *Book) Changed() <-chan struct{} {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.changed
}

// StoreCall is a kind of call by which an ingress that watches the store checks its availability.
type StoreCall string

// The kinds.
const (
	// WatchCall is the listing or the watch of the records.
	WatchCall StoreCall = "watch"
	// RenewalCall is the renewal of the lease of this ingress's registration.
	RenewalCall StoreCall = "renewals"
)

// ObserveWatchAnswer records that the store answered the listing or the watch.
func (b *Book) ObserveWatchAnswer() {
	b.ObserveOwnAnswer(time.Now())
	b.lock.Lock()
	defer b.lock.Unlock()
	b.markStoreAvailable(WatchCall)
}

// markStoreAvailable records that the store answers a kind of call. The caller must hold the
// lock.
func (b *Book) markStoreAvailable(call StoreCall) {
	if !b.unanswered[call] {
		return
	}
	delete(b.unanswered, call)
	b.options.Log.Info("store-regained", zap.String("what", string(call)))
	if len(b.unanswered) == 0 {
		b.servers.MarkStoreAvailable(time.Now())
	}
}

// ObserveWatchFailure records that the store has not answered the listing or the watch since the
// given time.
func (b *Book) ObserveWatchFailure(since time.Time, err error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.markStoreUnavailable(WatchCall, since, err)
}

// markStoreUnavailable records that the store has not answered a kind of call since the given
// time. The caller must hold the lock.
func (b *Book) markStoreUnavailable(call StoreCall, since time.Time, err error) {
	if !b.direct {
		return // a watch that was canceled failed after direct was cleared
	}
	b.servers.MarkStoreUnavailable(since)
	if b.unanswered[call] {
		return
	}
	b.unanswered[call] = true
	b.options.Log.Warn("store-lost", zap.String("what", string(call)), logs.Err(err), zap.Duration("age", b.Age()))
}

// maxSilence is how long an ingress that watches the store may receive no answer from it. It covers
// the pause between two renewals of the lease and the duration of one renewal at a slow store.
const maxSilence = 1200 * time.Millisecond

// errSilent is logged if the store did not answer this ingress for maxSilence.
var errSilent = errors.New("the store answered no lease renewal in time")

// CheckRenewals records that the store does not answer renewals if this ingress has watched the
// store for maxSilence and received no answer in this time. It records that the store answers them
// again once there is an answer.
//
// Without this check, servers would be dropped too early after an outage of the store that is
// shorter than the wait of a watch: the open watch does not fail, and afterwards it reports the
// records that expired during the outage like records that were removed.
func (b *Book) CheckRenewals(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	lastOwn := b.started.Add(time.Duration(b.lastOwnAnswer.Load()))
	if now.Sub(lastOwn) < maxSilence {
		b.markStoreAvailable(RenewalCall)
		return
	}
	if now.Sub(b.directSince) >= maxSilence {
		b.markStoreUnavailable(RenewalCall, lastOwn, errSilent)
	}
}

// DropExpired drops the expired servers that did not register again in time, the ingresses whose registration
// ended at least peerRetention ago, and the records of an earlier era of the store that are held no longer.
func (b *Book) DropExpired(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.applyChanged(b.records.ExpireHolds(now), "expiry")
	dropped := b.servers.DropExpired(now)
	if len(dropped) > 0 {
		b.options.Log.Info("servers-not-back", zap.Strings("servers", dropped))
	}
	for name, since := range b.removedPeers {
		if now.Sub(since) < peerRetention {
			continue
		}
		delete(b.removedPeers, name)
		delete(b.peers, name)
		delete(b.peerKeys, name)
		dropped = append(dropped, name)
		b.options.Log.Info("ingress-dropped", zap.String("ingress", name))
	}
	if len(dropped) > 0 {
		b.publish()
	}
}

// peerRetention is how long an ingress stays in the view after its registration ended.
//
// Leases expire while the store is unavailable. Ingresses that observe this at different times
// would choose different ingresses for the work of a service, so that it is batched in several
// places. Peers detect by themselves that an ingress that has really stopped cannot be reached.
const peerRetention = 10 * time.Second

// isComplete reports whether the records are complete as of some revision, and confirmed. The caller must hold the
// lock.
func (b *Book) isComplete() bool { return !b.records.CompleteRevision().IsZero() && !b.unconfirmed }

// applyChanged updates the state derived from the records that changed, and publishes a new view if any
// did, if the records have become complete, or if an era of the store has begun. The caller must hold the lock.
func (b *Book) applyChanged(changed []site.Record, source string) {
	v := b.view.Load()
	if len(changed) == 0 && v.IsComplete == b.isComplete() && v.Era == b.records.CompleteRevision().Era {
		return
	}
	for _, r := range changed {
		b.applyRecord(r, source)
	}
	b.publish()
	b.notifyChanged()
}

// notifyChanged wakes those that wait for a change. The caller must hold the lock.
func (b *Book) notifyChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}
