// Package state keeps what an ingress knows of the deployment: the
// configuration, the backend servers and the other ingresses. In: the store's
// listings and watches, and records that other ingresses know. Out: a View that
// a request uses from its begin to its end.
package state

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/alive"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
)

// Codec reads the records of the store.
type Codec interface {
	ConfigPrefix() string
	ServerPrefix() string
	IngressPrefix() string
	IsConfig(key string) bool
	ServerID(key string) string
	ReadConfig(value []byte) (*site.Config, error)
	ReadServer(key string, value []byte) (site.Server, error)
	IngressKey(name string) string
	WriteIngress(i site.Ingress) ([]byte, error)
	ReadIngress(key string, value []byte) (site.Ingress, error)
}

// View is what an ingress knows at one time. It does not change once made.
type View struct {
	// Table is nil before the first configuration.
	Table *access.Table
	// Servers are those that take new work, by service.
	Servers map[string][]site.Server
	// Ingresses are the registered ones, this one included.
	Ingresses []site.Ingress
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
	// contact is the time of the last answer of the store, as nanoseconds since started.
	contact atomic.Int64
	started time.Time

	lock sync.Mutex
	// mirrors are by prefix.
	mirrors map[string]*mirror.Mirror
	servers *alive.Set
	table   *access.Table
	peers   map[string]site.Ingress
	// peersGone holds since when registrations of ingresses are missing.
	peersGone map[string]time.Time
	// lost holds the prefixes whose watch has no answer.
	lost map[string]bool
}

// NewBook returns a book that knows nothing.
func NewBook(options Options) *Book {
	b := &Book{
		options:   options,
		started:   time.Now(),
		mirrors:   map[string]*mirror.Mirror{},
		servers:   alive.NewSet(),
		peers:     map[string]site.Ingress{},
		peersGone: map[string]time.Time{},
		lost:      map[string]bool{},
	}
	for _, prefix := range b.Prefixes() {
		b.mirrors[prefix] = mirror.NewMirror(prefix)
	}
	b.contact.Store(-int64(time.Hour))
	b.view.Store(&View{})
	return b
}

// Prefixes are those of the records that the book keeps.
func (b *Book) Prefixes() []string {
	c := b.options.Codec
	return []string{c.ConfigPrefix(), c.ServerPrefix(), c.IngressPrefix()}
}

// View returns what is known now.
func (b *Book) View() *View { return b.view.Load() }

// Age returns how long the store has not answered.
func (b *Book) Age() time.Duration {
	return time.Since(b.started) - time.Duration(b.contact.Load())
}

// IsLost tells whether the store did not answer the last call of some prefix.
func (b *Book) IsLost() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.lost) > 0
}

// At returns the revision after which the watch of a prefix goes on.
func (b *Book) At(prefix string) uint64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.mirrors[prefix].At()
}

// Replace takes a whole listing of a prefix.
func (b *Book) Replace(prefix string, records []site.Record, at uint64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.take(b.mirrors[prefix].Replace(records, at), "store")
}

// Apply takes the changes that a watch brought.
func (b *Book) Apply(prefix string, changes []site.Record, at uint64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.take(b.mirrors[prefix].Apply(changes, at), "store")
}

// Learn takes records that another ingress knows.
func (b *Book) Learn(records []site.Record) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, m := range b.mirrors {
		b.take(m.Learn(records), "peer")
	}
}

// Marks returns the youngest revision known below each prefix.
func (b *Book) Marks() map[string]uint64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	marks := map[string]uint64{}
	for prefix, m := range b.mirrors {
		marks[prefix] = m.Newest()
	}
	return marks
}

// Since returns the records below a prefix that are younger than a revision.
func (b *Book) Since(prefix string, revision uint64) []site.Record {
	b.lock.Lock()
	defer b.lock.Unlock()
	m := b.mirrors[prefix]
	if m == nil {
		return nil
	}
	return m.Since(revision)
}

// Reach notes that the store answered for a prefix.
func (b *Book) Reach(prefix string) {
	b.contact.Store(int64(time.Since(b.started)))
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.lost[prefix] {
		return
	}
	delete(b.lost, prefix)
	b.options.Log.Info("store-regained", zap.String("prefix", prefix))
	if len(b.lost) == 0 {
		b.servers.RegainStore(time.Now())
	}
}

// Lose notes that the store has not answered for a prefix since a time.
func (b *Book) Lose(prefix string, since time.Time, err error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.servers.LoseStore(since)
	if b.lost[prefix] {
		return
	}
	b.lost[prefix] = true
	b.options.Log.Warn("store-lost", zap.String("prefix", prefix), logs.Err(err), zap.Duration("age", b.Age()))
}

// Expire drops the servers that lapsed and did not come back.
func (b *Book) Expire(now time.Time) {
	b.lock.Lock()
	defer b.lock.Unlock()
	dropped := b.servers.Expire(now)
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
}
