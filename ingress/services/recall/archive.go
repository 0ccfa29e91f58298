package recall

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
)

const (
	// readers is how many ingresses read the segments of a group of holders.
	readers = copies + 1
	// readWait limits how long a lookup waits for the segments to be read.
	readWait = 250 * time.Millisecond
)

// ArchiveStore reads and writes records.
type ArchiveStore interface {
	Grant(ctx context.Context, ttl time.Duration) (site.Lease, error)
	PutAll(ctx context.Context, values map[string][]byte, lease site.Lease) (site.Revision, error)
	List(ctx context.Context, prefix string) (records []site.Record, revision site.Revision, err error)
}

// ArchiveCodec names the segments.
type ArchiveCodec interface {
	SegmentPrefix(s memo.Shard) string
	SegmentKey(s memo.Shard, process string, number uint64) string
}

// Selection states which memos are kept in the store.
type Selection struct {
	// IsKnown is not set before it can be told.
	IsKnown bool
	// Name differs between two selections of different memos; empty: none are kept.
	Name string
	// Keeps reports whether a memo is kept.
	Keeps func(m memo.Memo) bool
	// Life is how long after it was written a memo may be of use.
	Life time.Duration
}

// ArchiveOptions are the settings of an Archive.
type ArchiveOptions struct {
	Store ArchiveStore
	Codec ArchiveCodec
	// Select returns the present selection.
	Select func() Selection
	// Age returns the time since the store last confirmed the view.
	Age func() time.Duration
	// LeaseGone is the error of the store for a lease that has ended, with the records under it.
	LeaseGone error
	// Prefix is the prefix of the keys of all memos that may be kept.
	Prefix string
	// Process differs between two starts of an ingress.
	Process string
}

// Archive keeps selected memos in the store, so that they outlive all ingresses. One ingress of each group of holders
// writes them, in segments under a lease; a few of the group read them once after their start. It is safe for
// concurrent use.
type Archive struct {
	registry *Registry
	options  ArchiveOptions

	lock sync.Mutex
	// facts holds what was read, by group. A group that is missing was not read.
	facts map[memo.Shard]readFacts
	// changed is closed and replaced when a group was read.
	changed chan struct{}

	// The following are used by the goroutine that writes only.

	queues  map[memo.Shard]*writeQueue
	name    string
	era     uint64
	lease   site.Lease
	leaseAt time.Time
	number  uint64
}

// readFacts are the values of memos by the digests of their keys.
type readFacts struct {
	values map[memo.Digest][]byte
	// expiresAt is when none of them is of use any more.
	expiresAt time.Time
}

// SetArchive has memos kept in the store. It is called before Start.
func (r *Registry) SetArchive(options ArchiveOptions) {
	r.archive = &Archive{
		registry: r, options: options, facts: map[memo.Shard]readFacts{}, changed: make(chan struct{}),
		queues: map[memo.Shard]*writeQueue{},
	}
}

// mayHold reports whether the memo of a key may be kept in the store.
func (a *Archive) mayHold(key string) bool { return strings.HasPrefix(key, a.options.Prefix) }

// find looks up a memo among those that were read. It waits for a short time if this ingress is to read them and has
// not; if they are still not read then, isRead is false.
func (a *Archive) find(ctx context.Context, key string) (m memo.Memo, found, isRead bool) {
	timeout := time.NewTimer(readWait)
	defer timeout.Stop()
	shard := memo.ShardOf(key)
	for {
		m, found, isRead, changed := a.look(time.Now(), shard, key)
		if isRead {
			return m, found, true
		}
		if selection := a.options.Select(); selection.IsKnown && (selection.Name == "" || !a.isReader(shard)) {
			return memo.Memo{}, false, true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return memo.Memo{}, false, false
		case <-ctx.Done():
			return memo.Memo{}, false, false
		}
	}
}

func (a *Archive) look(now time.Time, shard memo.Shard, key string) (m memo.Memo, found, isRead bool, changed <-chan struct{}) {
	a.lock.Lock()
	defer a.lock.Unlock()
	facts, isRead := a.facts[shard]
	value, found := facts.values[memo.DigestOf(key)]
	if !found || !now.Before(facts.expiresAt) {
		return memo.Memo{}, false, isRead, a.changed
	}
	return memo.Memo{Key: key, Value: value, ExpiresAt: facts.expiresAt}, true, true, a.changed
}

// isReader reports whether this ingress is one of those that read the segments of a group.
func (a *Archive) isReader(shard memo.Shard) bool {
	place := slices.Index(a.registry.orderMembers(shard), a.registry.options.Peers.Self())
	return place >= 0 && place < readers
}

// setRead records what was read of a group.
func (a *Archive) setRead(shard memo.Shard, values map[memo.Digest][]byte, expiresAt time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.facts[shard] = readFacts{values: values, expiresAt: expiresAt}
	close(a.changed)
	a.changed = make(chan struct{})
}

// listUnread returns the groups that this ingress is to read, and forgets what is of no use any more.
func (a *Archive) listUnread(now time.Time) []memo.Shard {
	a.lock.Lock()
	unread := []memo.Shard{}
	for _, shard := range memo.ListShards() {
		facts, isRead := a.facts[shard]
		if !isRead {
			unread = append(unread, shard)
		} else if facts.values != nil && !now.Before(facts.expiresAt) {
			a.facts[shard] = readFacts{}
		}
	}
	a.lock.Unlock()
	return slices.DeleteFunc(unread, func(s memo.Shard) bool { return !a.isReader(s) })
}

// loopRead reads the segments of the groups that this ingress is to read.
func (a *Archive) loopRead(ctx context.Context) {
	for pause := startInterval; pauses.Wait(ctx, pause); {
		selection := a.options.Select()
		if !selection.IsKnown {
			continue
		}
		pause = readInterval
		if selection.Name == "" {
			continue
		}
		for _, shard := range a.listUnread(time.Now()) {
			_ = a.read(ctx, shard, selection.Life) // logged there, and repeated after the pause
		}
	}
}

func (a *Archive) read(ctx context.Context, shard memo.Shard, life time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	records, revision, err := a.options.Store.List(ctx, a.options.Codec.SegmentPrefix(shard))
	if err != nil {
		a.registry.options.Log.Warn("memos-not-read", zap.Uint32("group", uint32(shard)), logs.Err(err))
		return err
	}
	values := map[memo.Digest][]byte{}
	for _, r := range records {
		a.addSegment(values, r)
	}
	a.setRead(shard, values, time.Now().Add(life))
	a.registry.options.Log.Info("memos-read", zap.Uint32("group", uint32(shard)), zap.Int("segments", len(records)),
		zap.Int("memos", len(values)), zap.Stringer("revision", revision), zap.Duration("took", time.Since(began)))
	return nil
}

// addSegment adds the memos of a segment. One that cannot be read is left out: the others hold.
func (a *Archive) addSegment(values map[memo.Digest][]byte, r site.Record) {
	segment, err := memo.DecodeSegment(r.Value)
	if err != nil {
		a.registry.options.Log.Warn("memos-unreadable", zap.String("key", r.Key), logs.Err(err))
		return
	}
	for digest, value := range segment {
		if len(values) < maxMemos {
			values[digest] = value
		}
	}
}

const (
	// readInterval is how often it is checked whether segments must be read, startInterval the same until the view
	// of the deployment is complete.
	readInterval  = time.Second
	startInterval = 50 * time.Millisecond
	// readTimeout limits the reading of the segments of one group.
	readTimeout = 5 * time.Second
)
