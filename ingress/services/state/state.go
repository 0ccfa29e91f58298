// Package state keeps what an ingress knows of the deployment: the
// configuration, the backend servers and the other ingresses. In: the store's
// listings and watches, and what other ingresses tell of them. Out: a View that
// a request uses from its begin to its end, and deltas for other ingresses.
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
)

// Codec reads the records of the store.
type Codec interface {
	ServerPrefix() string
	IngressPrefix() string
	EvacuationPrefix() string
	EvacuatedDomain(key string) string
	IsConfig(key string) bool
	ServerID(key string) string
	ReadConfig(value []byte) (*site.Config, error)
	ReadServer(key string, value []byte) (site.Server, error)
	IngressKey(name string) string
	WriteIngress(i site.Ingress) ([]byte, error)
	QuarantinePrefix() string
	QuarantineID(key string) string
	ReadQuarantine(value []byte) (site.Quarantine, error)
	ReadIngress(key string, value []byte) (site.Ingress, error)
}

// View is what an ingress knows at one time. It does not change once made.
type View struct {
	// Table is nil before the first configuration.
	Table *access.Table
	// Servers are those that take new work, by service.
	Servers map[string][]site.Server
	// Evacuated are the failure domains whose servers are not among them.
	Evacuated []string
	// Ingresses are the registered ones, this one included.
	Ingresses []site.Ingress
	// Quarantines are those of requests that crash servers.
	Quarantines map[poison.ID]site.Quarantine
}

// Version returns that of the configuration, 0 where there is none.
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
	// OnChange is told of each new view.
	OnChange func(*View)
}

// Book holds the records and makes the views.
type Book struct {
	options Options
	view    atomic.Pointer[View]
	// contact is the time of the last answer of the store, to this ingress or to the one
	// that it follows, as nanoseconds since started.
	contact atomic.Int64
	// own is the same of the answers to this ingress itself.
	own     atomic.Int64
	started time.Time

	lock    sync.Mutex
	records *mirror.Mirror
	servers *alive.Set
	table   *access.Table
	peers   map[string]site.Ingress
	// peersGone holds since when registrations of ingresses are missing.
	peersGone map[string]time.Time
	// quarantines are replaced and not changed, since views hold them.
	quarantines map[poison.ID]site.Quarantine
	// direct is set while this ingress watches the store itself, which it began at directSince.
	direct      bool
	directSince time.Time
	// lost holds what of the store has no answer; empty while direct is not set.
	lost map[Duty]bool
	// changed is closed at the next change of any record.
	changed chan struct{}
}

// NewBook returns a book that knows nothing.
func NewBook(options Options) *Book {
	b := &Book{
		options:   options,
		started:   time.Now(),
		records:   mirror.NewMirror(func(key string) bool { return isWanted(options.Codec, key) }),
		servers:   alive.NewSet(),
		peers:     map[string]site.Ingress{},
		peersGone: map[string]time.Time{},
		lost:      map[Duty]bool{},
		changed:   make(chan struct{}),
	}
	b.contact.Store(-int64(time.Hour))
	b.view.Store(&View{})
	return b
}

func isWanted(c Codec, key string) bool {
	return c.IsConfig(key) || strings.HasPrefix(key, c.ServerPrefix()) || strings.HasPrefix(key, c.IngressPrefix()) ||
		strings.HasPrefix(key, c.EvacuationPrefix()) || strings.HasPrefix(key, c.QuarantinePrefix())
}

// IngressPrefix is that of the ingresses' registrations.
func (b *Book) IngressPrefix() string { return b.options.Codec.IngressPrefix() }

// View returns what is known now.
func (b *Book) View() *View { return b.view.Load() }

// Age returns how long the store has not answered, as far as this ingress knows.
func (b *Book) Age() time.Duration {
	return time.Since(b.started) - time.Duration(b.contact.Load())
}

// Confirm notes that the store answered at a time whom this ingress follows.
func (b *Book) Confirm(at time.Time) { b.raise(&b.contact, at) }

// ConfirmOwn notes that the store answered this ingress itself. While it does not watch,
// that tells nothing of how old its records are.
func (b *Book) ConfirmOwn(at time.Time) {
	b.raise(&b.own, at)
	if b.isReading() {
		b.raise(&b.contact, at)
	}
}

// raise sets a time unless it is later already.
func (b *Book) raise(value *atomic.Int64, at time.Time) {
	later := int64(at.Sub(b.started))
	for {
		known := value.Load()
		if later <= known || value.CompareAndSwap(known, later) {
			return
		}
	}
}

// OwnSilence returns how long the store has not answered this ingress itself.
func (b *Book) OwnSilence() time.Duration {
	return time.Since(b.started) - time.Duration(b.own.Load())
}

// contactAt returns when the store last answered, as far as this ingress knows.
func (b *Book) contactAt() time.Time {
	return b.started.Add(time.Duration(b.contact.Load()))
}

// SetDirect notes whether this ingress watches the store itself. One that does not
// takes no view of whether the store is away.
func (b *Book) SetDirect(direct bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.direct = direct
	b.directSince = time.Now()
	if direct || len(b.lost) == 0 {
		return
	}
	clear(b.lost)
	b.servers.MarkStoreAvailable(time.Now())
}

// isReading tells whether this ingress watches the store itself.
func (b *Book) isReading() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.direct
}

// IsDirect tells whether this ingress watches the store and has its answers.
func (b *Book) IsDirect() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.direct && len(b.lost) == 0
}

// IsListed tells whether there is a first picture of all records.
func (b *Book) IsListed() bool { return b.At() > 0 }

// IsLost tells whether the store did not answer what was last asked of it.
func (b *Book) IsLost() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.lost) > 0
}

// At returns the revision up to which the records are complete; a watch goes on after it.
func (b *Book) At() uint64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.records.CompleteRevision()
}

// Replace takes a whole listing.
func (b *Book) Replace(records []site.Record, at uint64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.take(b.records.ApplyListing(records, at), "store")
}

// Apply takes the changes that a watch brought.
func (b *Book) Apply(changes []site.Record, at uint64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.take(b.records.Apply(changes, at), "store")
}

// Learn takes a part of the records.
func (b *Book) Learn(records []site.Record) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.take(b.records.Merge(records), "store")
}

// Take takes what another ingress tells.
func (b *Book) Take(d mirror.Delta) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.take(b.records.ApplyDelta(d), "peer")
}

// Since returns what a copy lacks that is complete up to a revision.
func (b *Book) Since(revision uint64) mirror.Delta {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.records.Since(revision)
}

// Extent says how far a copy of the records reaches.
type Extent struct {
	// Newest is the highest revision of a change in it, At that up to which it is complete.
	Newest uint64
	At     uint64
}

// Extent returns that of the records here.
func (b *Book) Extent() Extent {
	b.lock.Lock()
	defer b.lock.Unlock()
	return Extent{Newest: b.records.NewestRevision(), At: b.records.CompleteRevision()}
}

// Advance takes the extent of another ingress, which may say that the records here are
// complete up to a later revision.
func (b *Book) Advance(e Extent) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.records.Advance(e.Newest, e.At)
}

// Changed returns a channel that is closed at the next change of any record.
func (b *Book) Changed() <-chan struct{} {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.changed
}

// Duty is what an ingress that watches the store has it answer.
type Duty string

// The duties.
const (
	// Watching is the listing and the watch.
	Watching Duty = "watch"
	// Renewing is the renewal of the own registration's lease.
	Renewing Duty = "renewals"
)

// Reach notes that the store answered the watch.
func (b *Book) Reach() {
	b.ConfirmOwn(time.Now())
	b.lock.Lock()
	defer b.lock.Unlock()
	b.regain(Watching)
}

// regain notes that what was lost answers; called under the lock.
func (b *Book) regain(what Duty) {
	if !b.lost[what] {
		return
	}
	delete(b.lost, what)
	b.options.Log.Info("store-regained", zap.String("what", string(what)))
	if len(b.lost) == 0 {
		b.servers.MarkStoreAvailable(time.Now())
	}
}

// Lose notes that the store has not answered the watch since a time.
func (b *Book) Lose(since time.Time, err error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.lose(Watching, since, err)
}

// lose notes that the store does not answer; called under the lock.
func (b *Book) lose(what Duty, since time.Time, err error) {
	if !b.direct {
		return // a watch that was given up ended late
	}
	b.servers.MarkStoreUnavailable(since)
	if b.lost[what] {
		return
	}
	b.lost[what] = true
	b.options.Log.Warn("store-lost", zap.String("what", string(what)), logs.Err(err), zap.Duration("age", b.Age()))
}

// maxSilence is how long the store may confirm nothing to an ingress that watches it:
// the pause between two renewals of its lease, and the time of one at a store that is slow.
const maxSilence = 1200 * time.Millisecond

// errSilent says that the store confirmed nothing for maxSilence.
var errSilent = errors.New("no renewal was answered")

// CheckSilence notes a store that answers no renewals.
//
// Guards against servers that are taken for gone when the store is back: an open watch
// tells nothing of an outage that is shorter than its wait, and then brings the
// entries that lapsed in it as if they had been removed.
func (b *Book) CheckSilence(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	own := b.started.Add(time.Duration(b.own.Load()))
	if now.Sub(own) < maxSilence {
		b.regain(Renewing)
		return
	}
	if now.Sub(b.directSince) >= maxSilence {
		b.lose(Renewing, own, errSilent)
	}
}

// Expire drops the servers that lapsed and did not come back.
func (b *Book) Expire(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	dropped := b.servers.DropExpired(now)
	if len(dropped) > 0 {
		b.options.Log.Info("servers-not-back", zap.Strings("servers", dropped))
	}
	for name, since := range b.peersGone {
		if now.Sub(since) < keepIngress {
			continue
		}
		delete(b.peersGone, name)
		delete(b.peers, name)
		dropped = append(dropped, name)
		b.options.Log.Info("ingress-dropped", zap.String("ingress", name))
	}
	if len(dropped) > 0 {
		b.publish()
	}
}

// keepIngress is how long an ingress whose registration ended still counts as one.
//
// Guards against a service whose work is batched at several places: leases run
// out while the store is away, and ingresses that hear of that at different
// times would choose differently. One that is really gone cannot be reached,
// which its peers find by themselves.
const keepIngress = 10 * time.Second

// take applies changed records; called under the lock.
func (b *Book) take(changed []site.Record, source string) {
	if len(changed) == 0 {
		return
	}
	for _, r := range changed {
		b.takeRecord(r, source)
	}
	b.publish()
	close(b.changed)
	b.changed = make(chan struct{})
}
