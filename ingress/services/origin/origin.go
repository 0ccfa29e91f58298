// Package origin knows which software began each stream that may be taken up: the ingress that began it has
// written a memo, which outlives it. Without a memo it is known while the servers of the service have had
// one version only. The ingresses record in the store which versions there were, before they use them.
package origin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"verbenaroad.example/ingress/services/recall"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/alive"
	"verbenaroad.example/share/decide/builds"
	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/uptime"
	"verbenaroad.example/share/modules/wire"
)

// Memos holds facts about requests that outlive this ingress.
type Memos interface {
	Put(m memo.Memo)
	Drop(key string)
	Find(ctx context.Context, key string) recall.Finding
}

// Peers ranks the ingresses.
type Peers interface {
	// Rank returns the names of the ingresses that can be reached, ordered by their score for a key.
	Rank(key string) []string
	// Self returns the name of this ingress.
	Self() string
}

// Store writes records.
type Store interface {
	// PutIf writes a record if its last change has the given revision; number 0: if there is none.
	PutIf(ctx context.Context, key string, value []byte, revision site.Revision) (site.Revision, error)
}

// Codec encodes the inventory.
type Codec interface {
	InventoryKey() string
	WriteInventory(i site.Inventory) ([]byte, error)
}

// News reports what the store has confirmed to this ingress.
type News interface {
	// Age returns the time since the store last confirmed the view of the deployment.
	Age() time.Duration
	// RecordsAge returns for how long the records may have lacked a change that the store holds.
	RecordsAge() time.Duration
	// IsRegistered reports whether this ingress has been registered in the store.
	IsRegistered() bool
}

// Options are the settings of a Registry.
type Options struct {
	Memos Memos
	News  News
	Peers Peers
	Store Store
	Codec Codec
	Log   *zap.Logger
}

// Registry records and finds the origins of streams. It is safe for concurrent use.
type Registry struct {
	options Options

	// wake holds a token after the view has changed.
	wake chan struct{}

	lock    sync.Mutex
	history *builds.History
	view    *state.View
	// changed is closed and replaced when the view changes.
	changed chan struct{}
	// reported holds the registered software at which streams begin although its notice has not been given.
	reported map[site.Software]bool
	// createAt is when this ingress writes the first inventory; zero before it is missed.
	createAt time.Time
}

// NewRegistry returns a registry that has not observed any service.
func NewRegistry(options Options) *Registry {
	return &Registry{
		options: options, wake: make(chan struct{}, 1), history: builds.NewHistory(builds.Terms{Lease: Lease, Notice: notice, Reregister: alive.ReregisterTime}), view: &state.View{},
		changed: make(chan struct{}), reported: map[site.Software]bool{},
	}
}

// MarkFirstRun records that no ingress has run before, as far as the store tells.
func (o *Registry) MarkFirstRun() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.history.MarkFirstRun()
}

const (
	// MemoPrefix precedes the attempt that brought the first event of a stream in the key of its memo.
	MemoPrefix = "stream/"
	// Lease is how long an ingress may rely on records that the store has confirmed, and notice how long a version is
	// announced before streams begin there. The ingresses of a deployment must have the same: an ingress that is cut
	// off, or stands still, cannot miss the announcement within its lease. The difference covers clocks that run
	// at different rates.
	Lease  = 3500 * time.Millisecond
	notice = Lease + 500*time.Millisecond
	// MaxWatch limits a watch of the store. When the answer to one is read, the records have been confirmed as of when
	// the one before was asked for, twice as long ago; an ingress that follows another one hears of it a heartbeat
	// later. Within Lease, there is room for the pause after changes, and for a store that answers late.
	MaxWatch = time.Second
	// newsWait limits how long a lookup waits for the store to confirm the records, newsInterval is how often it checks.
	newsWait     = 300 * time.Millisecond
	newsInterval = 20 * time.Millisecond
	// returnTime is how long after the time limit of a stream its caller may still take it up.
	returnTime = 30 * time.Second
)

// SetView observes the software versions in a new view.
func (o *Registry) SetView(v *state.View) {
	if !v.IsComplete {
		return // servers of another version may be missing
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.view = v
	if v.Table != nil {
		o.history.SetRetention(v.Table.LongestStream() + returnTime)
	}
	o.history.Observe(uptime.Now(), v.Versions, v.Inventory)
	maps.DeleteFunc(o.reported, func(s site.Software, _ bool) bool { return !slices.Contains(v.Versions[s.Service], s.Version) })
	close(o.changed)
	o.changed = make(chan struct{})
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func decodeSoftware(m memo.Memo) (site.Software, error) {
	message := &wire.Software{}
	if err := proto.Unmarshal(m.Value, message); err != nil {
		return site.Software{}, memo.ErrMemo.Wrap(err)
	}
	return site.Software{Service: message.GetService(), Version: message.GetVersion()}, nil
}

// RecordBegun records the software that begins a stream. Attempt is the attempt that brings its first
// event, deadline the time limit of the stream.
func (o *Registry) RecordBegun(attempt string, software site.Software, deadline time.Time) {
	value, err := proto.Marshal(&wire.Software{Service: software.Service, Version: software.Version})
	if err != nil {
		o.options.Log.Error("origin-not-kept", zap.String("request", attempt), logs.Err(err))
		return
	}
	o.options.Memos.Put(memo.Memo{Key: MemoPrefix + attempt, Value: value, ExpiresAt: deadline.Add(returnTime)})
}

// RecordComplete records that a stream is complete, so that nobody takes it up.
func (o *Registry) RecordComplete(attempt string) { o.options.Memos.Drop(MemoPrefix + attempt) }

// Source is how the origin of a stream is known.
type Source string

// The sources.
const (
	// SourceNone means that the origin is not known.
	SourceNone Source = ""
	// SourceMemo means that the ingress that began the stream recorded it.
	SourceMemo Source = "memo"
	// SourceOnly means that streams of the service have begun at one version only, as the inventory and own
	// observation tell.
	SourceOnly Source = "only-version"
)

// Origin is what is known of the software that began a stream.
type Origin struct {
	Software site.Software
	Source   Source
	// HeldBy is the ingress that held the memo.
	HeldBy string
	// Evidence is not set where a memo was found.
	Evidence Evidence
	// MayBeHeld is set if an ingress that did not answer may know the origin.
	MayBeHeld bool
}

// Evidence is what a lookup without a memo rests on.
type Evidence struct {
	// Age is the time since the store last answered, RecordsAge for how long the records may have lacked a change.
	Age, RecordsAge time.Duration
	// Inventory is the revision of the inventory; zero: there was none.
	Inventory site.Revision
}

// Find returns the software that began a stream. Attempt is the attempt that brought its first event;
// empty: the caller did not state it. Services are those of the stream's route, first the one at which that attempt
// begins streams. Find waits for a short time for the store if its news are old.
func (o *Registry) Find(ctx context.Context, attempt string, services []string) Origin {
	finding := recall.Finding{}
	if attempt != "" {
		finding = o.options.Memos.Find(ctx, MemoPrefix+attempt)
	}
	if finding.Found {
		software, err := decodeSoftware(finding.Memo)
		if err == nil {
			return Origin{Software: software, Source: SourceMemo, HeldBy: finding.HeldBy}
		}
		o.options.Log.Warn("origin-unreadable", zap.String("resumes", attempt), zap.String("ingress", finding.HeldBy), logs.Err(err))
	}
	if attempt == "" && len(services) > 1 {
		return Origin{MayBeHeld: true} // each of them may have begun it
	}
	found := o.findOnlyVersion(services[0])
	if found.Source == SourceNone && o.awaitNews(ctx) {
		found = o.findOnlyVersion(services[0])
	}
	if found.Source == SourceNone {
		found.MayBeHeld = found.MayBeHeld || !finding.Conclusive
	}
	return found
}

// awaitNews waits until the store has confirmed the records within a lease. It returns false if it had before, or if
// that takes too long.
func (o *Registry) awaitNews(ctx context.Context) bool {
	if o.options.News.RecordsAge() <= Lease {
		return false
	}
	for range newsWait / newsInterval {
		if !pauses.Wait(ctx, newsInterval) {
			return false
		}
		if o.options.News.RecordsAge() <= Lease {
			return true
		}
	}
	return false
}

// findOnlyVersion returns the software of a service if streams can have begun at one version only. MayBeHeld is set if the
// records are not complete, or too old to tell.
func (o *Registry) findOnlyVersion(service string) Origin {
	now := uptime.Now() // before the age: the process may be stopped between the two
	found := Origin{Evidence: Evidence{Age: o.options.News.Age(), RecordsAge: o.options.News.RecordsAge()}}
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.view.Inventory != nil {
		found.Evidence.Inventory = o.view.Inventory.Revision
	}
	found.MayBeHeld = !o.view.IsComplete || found.Evidence.RecordsAge > Lease
	o.confirmAt(now.Add(-found.Evidence.RecordsAge))
	version, known := o.history.Sole(now, service)
	if !known {
		return found
	}
	return Origin{Software: site.Software{Service: service, Version: version}, Source: SourceOnly, Evidence: found.Evidence}
}

// confirmAt records that the view contains each change that the store had made at the given time. The caller holds the
// lock, and has read the time before it took it.
func (o *Registry) confirmAt(at time.Time) {
	if o.view.IsComplete {
		o.history.Confirm(at, o.view.Era)
	}
}

// Select selects the memos that are kept in the store: those of streams of services that have, or had lately, several
// versions. Of the others the only version tells enough.
func (o *Registry) Select() recall.Selection {
	o.lock.Lock()
	defer o.lock.Unlock()
	mixed := o.history.ListMixed(uptime.Now())
	return recall.Selection{
		IsKnown: o.view.IsComplete, Name: strings.Join(mixed, "\n"), Life: o.history.Retention(),
		Keeps: func(m memo.Memo) bool {
			software, err := decodeSoftware(m)
			return strings.HasPrefix(m.Key, MemoPrefix) && err == nil && slices.Contains(mixed, software.Service)
		},
	}
}
