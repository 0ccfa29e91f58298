// Package follow keeps a process's configuration in force: it runs the
// decisions of share/decide/gossip against the key-value service and the
// sessions to peers. In: heads, heartbeats, the list of instances. Out: the
// snapshot that traffic decides under.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"verbenaroad.example/share/decide/gossip"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/store"
)

// ErrFollow is the class of errors of this package.
var ErrFollow = errs.Class("follow") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	tickEvery = 200 * time.Millisecond
	// watchWait is how long the service holds a watch open; a watch can go
	// silent for good, so a watcher polls beside it.
	watchWait  = 20 * time.Second
	watchPause = 500 * time.Millisecond
	// confirmWait bounds how long a request waits for the configuration to be confirmed.
	confirmWait  = 2500 * time.Millisecond
	eventsBuffer = 256
)

// Store reads configurations from the key-value service; *store.Reader is one.
type Store interface {
	ReadHead(ctx context.Context) (store.HeadAnswer, error)
	WatchHead(ctx context.Context, index uint64, wait time.Duration) (store.HeadAnswer, error)
	Load(ctx context.Context, old *config.Loaded, place config.Version) (*config.Loaded, error)
}

// Peers asks another process for configuration over the session to it.
type Peers interface {
	FetchChunks(ctx context.Context, peer string, fetch *wire.Fetch) (*wire.Chunks, error)
}

// Options are the settings of a Follower.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Domain is its failure domain.
	Domain   string
	Settings gossip.Settings
	Pick     gossip.Pick
	Store    Store
	Peers    Peers
	Log      *zap.Logger
}

// Counts are what the follower did since the start.
type Counts struct {
	Published     uint64
	FetchedPeer   uint64
	FetchedStore  uint64
	FailedFetches uint64
	FailedReads   uint64
	// Busy is the processor-bound time that the control loop spent on events.
	Busy time.Duration
	// Adopting is the processor-bound time spent on decoding configurations from peers.
	Adopting time.Duration
	// BeatsSent and BeatsReceived count heartbeats, Lists the reads of the list of instances.
	BeatsSent     uint64
	BeatsReceived uint64
	Lists         uint64
	// FetchedBytes counts chunks and manifests received from peers, ServedBytes those given to peers.
	FetchedBytes uint64
	ServedBytes  uint64
}

// Follower owns the configuration of one process.
type Follower struct {
	options Options
	events  chan gossip.Event

	lock sync.RWMutex
	// state is changed by loop only, under lock.
	state *gossip.State
	// loaded is nil until the first publish; its revision only rises.
	loaded *config.Loaded
	// changed is closed and replaced after each event.
	changed chan struct{}
	counts  Counts
	// stopWatch is set while a watch is held; owned by loop.
	stopWatch context.CancelFunc
	meter     meter
}

// NewFollower returns a follower without a configuration.
func NewFollower(options Options) *Follower {
	return &Follower{
		options: options,
		events:  make(chan gossip.Event, eventsBuffer),
		state:   gossip.New(options.Self, options.Settings, options.Pick),
		changed: make(chan struct{}),
	}
}

// Start follows until the context ends.
func (f *Follower) Start(ctx context.Context) {
	go f.loop(ctx)
}

// Tell hands an event to the control loop; it is dropped when the loop is far behind, as heartbeats repeat.
func (f *Follower) Tell(event gossip.Event) {
	select {
	case f.events <- event:
	default:
	}
}

// GetLoaded returns the configuration in force, or nil.
func (f *Follower) GetLoaded() *config.Loaded {
	f.lock.RLock()
	defer f.lock.RUnlock()
	return f.loaded
}

// GetRevision returns the revision in force, and the age of its confirmation; negative: never.
func (f *Follower) GetRevision(now time.Time) (uint64, time.Duration) {
	f.lock.RLock()
	defer f.lock.RUnlock()
	return f.state.Revision(), f.state.ConfirmedAge(now)
}

// GetCounts returns what the follower did so far.
func (f *Follower) GetCounts() Counts {
	f.lock.RLock()
	defer f.lock.RUnlock()
	return f.meter.addTo(f.counts)
}

// GetUsable returns the snapshot to decide under, or why there is none now. A
// process that was frozen finds its confirmation expired and waits here for a
// fresh one, so that it cannot act on a rule that was replaced meanwhile.
func (f *Follower) GetUsable(ctx context.Context) (*config.Snapshot, *codes.Result) {
	limit := time.Now().Add(confirmWait)
	for {
		use, snapshot, changed := f.look()
		switch use {
		case gossip.StatusServing:
			return snapshot, nil
		case gossip.StatusStale:
			return nil, codes.NewResult(codes.StaleConfig, "no contact for longer than stale-after").WithRetryAfter(confirmWait)
		}
		left := time.Until(limit)
		if left <= 0 {
			return nil, codes.NewResult(codes.NotReady, "no confirmed configuration yet").WithRetryAfter(confirmWait)
		}
		if err := waitChange(ctx, changed, left); err != nil {
			return nil, refuseEnded(ctx)
		}
	}
}

// refuseEnded says why the wait for a configuration ended: a caller whose deadline passed has not gone away.
func refuseEnded(ctx context.Context) *codes.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return codes.NewResult(codes.DeadlineExceeded, "the deadline passed before the configuration was confirmed").WithOutcome(codes.OutcomeNotRun)
	}
	return codes.NewResult(codes.Canceled, "caller went away").WithOutcome(codes.OutcomeNotRun)
}

func (f *Follower) look() (gossip.Status, *config.Snapshot, <-chan struct{}) {
	f.lock.RLock()
	defer f.lock.RUnlock()
	use := f.state.Status(time.Now())
	if f.loaded == nil {
		return use, nil, f.changed
	}
	return use, f.loaded.Snapshot, f.changed
}

func waitChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) error {
	timer := time.NewTimer(min(limit, tickEvery))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// WaitRevision waits until the revision in force is at least the given one.
func (f *Follower) WaitRevision(ctx context.Context, revision uint64) error {
	for {
		f.lock.RLock()
		reached := f.state.Revision() >= revision
		changed := f.changed
		f.lock.RUnlock()
		if reached {
			return nil
		}
		if err := waitChange(ctx, changed, tickEvery); err != nil {
			return ErrFollow.Wrap(err)
		}
	}
}

// AnswerFetch serves a peer's fetch from the configuration in force.
func (f *Follower) AnswerFetch(fetch *wire.Fetch) *wire.Chunks {
	loaded := f.GetLoaded()
	if loaded == nil {
		return &wire.Chunks{}
	}
	answer := &wire.Chunks{Revision: loaded.Version.Revision}
	if len(fetch.GetHashes()) == 0 {
		answer.Chunks = []*wire.Chunk{{Hash: string(loaded.Version.ManifestHash), Data: loaded.Manifest.Encode()}}
		f.meter.served.Add(sizeOf(answer))
		return answer
	}
	hashes := make([]config.Hash, 0, len(fetch.GetHashes()))
	for _, h := range fetch.GetHashes() {
		hashes = append(hashes, config.Hash(h))
	}
	for _, chunk := range loaded.FindChunks(hashes) {
		answer.Chunks = append(answer.Chunks, &wire.Chunk{Hash: string(chunk.Hash), Data: chunk.Data})
	}
	f.meter.served.Add(sizeOf(answer))
	return answer
}

// loop is the control thread: it alone changes the state.
func (f *Follower) loop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	f.handle(ctx, gossip.Tick{Random: rand.Float64()}) //nolint:gosec // jitter need not be unguessable
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-f.events:
			f.handle(ctx, event)
		case <-ticker.C:
			f.handle(ctx, gossip.Tick{Random: rand.Float64()}) //nolint:gosec // jitter need not be unguessable
		}
	}
}

func (f *Follower) handle(ctx context.Context, event gossip.Event) {
	started := time.Now()
	f.lock.Lock()
	actions := f.state.Handle(event, started)
	for _, action := range actions {
		if publish, ok := action.(gossip.Publish); ok {
			f.loaded = publish.Loaded
			f.counts.Published++
			f.options.Log.Info("configuration-in-force", zap.Uint64("revision", publish.Loaded.Version.Revision))
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
	f.counts.Busy += time.Since(started)
	f.lock.Unlock()
	for _, action := range actions {
		f.act(ctx, action)
	}
}

func (f *Follower) act(ctx context.Context, action gossip.Action) {
	switch a := action.(type) {
	case gossip.PollStore:
		go f.runPoll(ctx)
	case gossip.FetchFromStore:
		go f.runFetchStore(ctx)
	case gossip.FetchFromPeer:
		go f.runFetchPeer(ctx, a.Peer)
	case gossip.StartWatch:
		watch, cancel := context.WithCancel(ctx)
		f.stopWatch = cancel
		go f.loopWatch(watch)
	case gossip.StopWatch:
		if f.stopWatch != nil {
			f.stopWatch()
		}
	}
}

// Snapshot returns the configuration in force, or nil while there is none.
func (f *Follower) Snapshot() *config.Snapshot {
	loaded := f.GetLoaded()
	if loaded == nil {
		return nil
	}
	return loaded.Snapshot
}
