// Package follow keeps the configuration of a process up to date. It carries out the decisions of
// package gossip with the key-value service and the sessions to peers. From the heads, the
// heartbeats of peers and the list of instances it derives the snapshot under which requests are
// decided.
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
	// tickInterval is the period of gossip.Tick events.
	tickInterval = 200 * time.Millisecond
	// watchTimeout is how long the key-value service keeps a watch request open if the head does not
	// change. A watch can stop returning changes for good, so a watcher also polls.
	watchTimeout = 20 * time.Second
	// watchRetryDelay is the delay before the next watch request after one that failed or found no
	// head.
	watchRetryDelay = 500 * time.Millisecond
	// confirmTimeout limits how long a request waits for the configuration to be confirmed.
	confirmTimeout = 2500 * time.Millisecond
	eventsBuffer   = 256
)

// Store reads configurations from the key-value service. *store.Reader implements it.
type Store interface {
	ReadHead(ctx context.Context) (store.HeadAnswer, error)
	WatchHead(ctx context.Context, index uint64, wait time.Duration) (store.HeadAnswer, error)
	Load(ctx context.Context, old *config.Loaded, version config.Version) (*config.Loaded, error)
}

// Peers fetches configuration from other processes over the sessions to them.
type Peers interface {
	FetchChunks(ctx context.Context, peer string, fetch *wire.Fetch) (*wire.Chunks, error)
}

// Options are the settings of a Follower.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Domain is the failure domain of this instance.
	Domain   string
	Settings gossip.Settings
	Pick     gossip.Pick
	Store    Store
	Peers    Peers
	Log      *zap.Logger
}

// Counts are the figures of a Follower since its creation.
type Counts struct {
	// Published counts the configurations put in force. FetchedPeer and FetchedStore count the
	// fetches that succeeded.
	Published     uint64
	FetchedPeer   uint64
	FetchedStore  uint64
	FailedFetches uint64
	// FailedReads counts the failed reads of the head, by polls and watches.
	FailedReads uint64
	// ControlBusy is the time that the control loop spent on handling events, without the I/O that
	// follows from them.
	ControlBusy time.Duration
	// Adopting is the time spent on decoding configurations from peers, without fetching them.
	Adopting time.Duration
	// HeartbeatsSent and HeartbeatsReceived count heartbeats. ListReads counts the reads of the list
	// of instances.
	HeartbeatsSent     uint64
	HeartbeatsReceived uint64
	ListReads          uint64
	// FetchedBytes counts the bytes of chunks and manifests received from peers, ServedBytes those
	// sent to peers.
	FetchedBytes uint64
	ServedBytes  uint64
}

// Follower holds the configuration of a process and keeps it up to date.
type Follower struct {
	options Options
	events  chan gossip.Event

	lock sync.RWMutex
	// state is changed only by loop, under lock.
	state *gossip.State
	// loaded is nil until the first publish; its revision only increases.
	loaded *config.Loaded
	// changed is closed and replaced after each event.
	changed chan struct{}
	counts  Counts
	// stopWatch ends the last watch that was started; nil before the first. Only loop uses it.
	stopWatch context.CancelFunc
	// received holds the chunks of the configuration that is being fetched from peers.
	received chunkCache
	meter    meter
}

// NewFollower returns a Follower that has no configuration.
func NewFollower(options Options) *Follower {
	return &Follower{
		options: options,
		events:  make(chan gossip.Event, eventsBuffer),
		state:   gossip.New(options.Self, options.Settings, options.Pick),
		changed: make(chan struct{}),
	}
}

// Start runs the control loop until ctx ends.
func (f *Follower) Start(ctx context.Context) {
	go f.loop(ctx)
}

// Send passes an event to the control loop. It drops the event if the loop's buffer is full:
// heartbeats are repeated, and a read or fetch whose result is lost times out and is retried.
func (f *Follower) Send(event gossip.Event) {
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

// GetRevision returns the revision in force and the age of its confirmation; negative: never
// confirmed.
func (f *Follower) GetRevision(now time.Time) (uint64, time.Duration) {
	f.lock.RLock()
	defer f.lock.RUnlock()
	return f.state.Revision(), f.state.ConfirmedAge(now)
}

// GetCounts returns the figures since the creation of the follower.
func (f *Follower) GetCounts() Counts {
	f.lock.RLock()
	defer f.lock.RUnlock()
	return f.meter.fillIn(f.counts)
}

// GetUsable returns the snapshot under which requests may be decided now, or the reason for
// refusing them. While there is no configuration or it is unconfirmed, it waits up to
// confirmTimeout. A process that was frozen finds its confirmation expired and waits here for a new
// one, so that it does not apply a rule that was replaced in the meantime.
func (f *Follower) GetUsable(ctx context.Context) (*config.Snapshot, *codes.Result) {
	deadline := time.Now().Add(confirmTimeout)
	for {
		status, snapshot, changed := f.readState()
		switch status {
		case gossip.StatusServing:
			return snapshot, nil
		case gossip.StatusStale:
			return nil, codes.NewResult(codes.StaleConfig, "no contact for longer than stale-after").WithRetryAfter(confirmTimeout)
		}
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return nil, codes.NewResult(codes.NotReady, "no confirmed configuration yet").WithRetryAfter(confirmTimeout)
		}
		if err := waitChange(ctx, changed, remaining); err != nil {
			return nil, newContextResult(ctx)
		}
	}
}

// newContextResult returns the result of a request whose context ended during the wait for a
// confirmed configuration. It distinguishes a passed deadline from a caller that went away.
func newContextResult(ctx context.Context) *codes.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return codes.NewResult(codes.DeadlineExceeded, "the deadline passed before the configuration was confirmed").WithOutcome(codes.OutcomeNotRun)
	}
	return codes.NewResult(codes.Canceled, "caller went away").WithOutcome(codes.OutcomeNotRun)
}

// readState returns the status, the snapshot in force, which may be nil, and a channel that is
// closed after the next event.
func (f *Follower) readState() (gossip.Status, *config.Snapshot, <-chan struct{}) {
	f.lock.RLock()
	defer f.lock.RUnlock()
	status := f.state.Status(time.Now())
	if f.loaded == nil {
		return status, nil, f.changed
	}
	return status, f.loaded.Snapshot, f.changed
}

// waitChange waits until changed is closed or the timeout has passed, but at most tickInterval. It
// returns an error only if ctx ended first.
func waitChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) error {
	timer := time.NewTimer(min(timeout, tickInterval))
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
		if err := waitChange(ctx, changed, tickInterval); err != nil {
			return ErrFollow.Wrap(err)
		}
	}
}

// AnswerFetch answers a peer's fetch from the configuration in force: with the manifest if the
// fetch names no hashes, and otherwise with the named chunks that this process has.
func (f *Follower) AnswerFetch(fetch *wire.Fetch) *wire.Chunks {
	loaded := f.GetLoaded()
	if loaded == nil {
		return &wire.Chunks{}
	}
	answer := &wire.Chunks{Revision: loaded.Version.Revision}
	if len(fetch.GetHashes()) == 0 {
		answer.Chunks = []*wire.Chunk{{Hash: string(loaded.Version.ManifestHash), Data: loaded.Manifest.Encode()}}
		f.meter.servedBytes.Add(chunkBytes(answer))
		return answer
	}
	hashes := make([]config.Hash, 0, len(fetch.GetHashes()))
	for _, hash := range fetch.GetHashes() {
		hashes = append(hashes, config.Hash(hash))
	}
	for _, chunk := range loaded.FindChunks(hashes) {
		answer.Chunks = append(answer.Chunks, &wire.Chunk{Hash: string(chunk.Hash), Data: chunk.Data})
	}
	f.meter.servedBytes.Add(chunkBytes(answer))
	return answer
}

// loop is the control loop. Only it changes the state.
func (f *Follower) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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

// handle applies an event to the state, puts a published configuration in force and carries out the
// other actions.
func (f *Follower) handle(ctx context.Context, event gossip.Event) {
	startedAt := time.Now()
	f.lock.Lock()
	actions := f.state.Handle(event, startedAt)
	for _, action := range actions {
		if publish, ok := action.(gossip.Publish); ok {
			f.loaded = publish.Loaded
			f.counts.Published++
			f.options.Log.Info("configuration-in-force", zap.Uint64("revision", publish.Loaded.Version.Revision))
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
	f.counts.ControlBusy += time.Since(startedAt)
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
		watchCtx, cancel := context.WithCancel(ctx)
		f.stopWatch = cancel
		go f.loopWatch(watchCtx)
	case gossip.StopWatch:
		if f.stopWatch != nil {
			f.stopWatch()
		}
	}
}

// Snapshot returns the snapshot of the configuration in force, or nil while there is none.
func (f *Follower) Snapshot() *config.Snapshot {
	loaded := f.GetLoaded()
	if loaded == nil {
		return nil
	}
	return loaded.Snapshot
}
