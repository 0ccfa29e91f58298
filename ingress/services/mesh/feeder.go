package mesh

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/feed"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
)

// planInterval is the interval at which the choice of the ingress to follow is reviewed.
const planInterval = 100 * time.Millisecond

// FeederOptions are the settings of a Feeder.
type FeederOptions struct {
	Mesh   *Mesh
	Book   *state.Book
	Reader *state.Reader
	Puller *Puller
	// Self is this ingress, and Regions maps each failure domain to its region.
	Self    site.Ingress
	Regions map[string]string
	// LeaseTTL is the duration of this ingress's lease.
	LeaseTTL time.Duration
	// IsLeaving reports whether this process is stopping.
	IsLeaving func() bool
	Log       *zap.Logger
}

// Feeder receives the store's changes from the ingress that reads the store for this failure
// domain, pushes changes to the ingresses that follow this one, and starts the Reader if this
// ingress must read the store directly. feed.Chooser makes these decisions.
type Feeder struct {
	options FeederOptions
	// wake makes the loop run its next step at once.
	wake chan struct{}

	lock    sync.Mutex
	chooser *feed.Chooser
	// source is the subscription to the followed ingress; nil: none.
	source    *subscription
	followers int
	// reading is set if the Reader was last set to read the store.
	reading bool
	// membersSeen is one more than the change count of the mesh at which the chooser last
	// received the members; 0: never. peersDiscovered is set once the other ingresses are known.
	membersSeen     uint64
	peersDiscovered bool
	// sourceMessageAt is when the first part of the message that is arriving from the followed
	// ingress was received; zero: none is arriving.
	sourceMessageAt time.Time

	encodeLock sync.Mutex
	// lastEncoded is the delta that was encoded last.
	lastEncoded encodedDelta
}

// subscription is a stream of changes from one ingress.
type subscription struct {
	name   string
	cancel context.CancelFunc
}

// NewFeeder returns a feeder that follows no ingress.
func NewFeeder(options FeederOptions) *Feeder {
	f := &Feeder{options: options, wake: make(chan struct{}, 1)}
	f.chooser = feed.NewChooser(f.describe(options.Self), time.Now())
	return f
}

// describe returns an ingress as the chooser sees it.
func (f *Feeder) describe(i site.Ingress) feed.Member {
	return feed.Member{Name: i.Name, Domain: i.Domain, Region: f.options.Regions[i.Domain], Weight: weigh(i).Weight}
}

// Start follows other ingresses, as the chooser decides, until the context ends.
func (f *Feeder) Start(ctx context.Context) {
	go f.runDiscovery(ctx)
	go f.loop(ctx)
}

// runDiscovery finds out which other ingresses are registered.
func (f *Feeder) runDiscovery(ctx context.Context) {
	f.options.Reader.DiscoverPeers(ctx, func() bool { return f.options.Mesh.countKnown() > 0 })
	f.lock.Lock()
	f.peersDiscovered = true
	f.lock.Unlock()
	f.wakeLoop()
}

// wakeLoop makes the loop run its next step at once.
func (f *Feeder) wakeLoop() {
	select {
	case f.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

func (f *Feeder) loop(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		f.step(ctx, time.Now())
		select {
		case <-ticker.C:
		case <-f.wake:
		case <-ctx.Done():
			return
		}
	}
}

// step updates the chooser and carries out its plan.
func (f *Feeder) step(ctx context.Context, now time.Time) {
	f.lock.Lock()
	f.updateChooser(now)
	plan := f.chooser.Plan(now)
	f.subscribe(ctx, plan.Follow)
	if plan.Read != f.reading {
		f.reading = plan.Read
		f.options.Log.Info("store-reading", zap.Bool("direct", plan.Read), zap.String("source", plan.Follow),
			zap.Int("followers", f.followers), zap.Duration("age", f.options.Book.Age()))
	}
	f.lock.Unlock()
	f.options.Reader.SetWatching(ctx, plan.Read)
	if plan.Check != "" && !f.options.Mesh.hasSession(plan.Check) {
		go f.runConnect(ctx, plan.Check)
	}
}

// updateChooser passes the current state to the chooser. The caller holds the lock.
func (f *Feeder) updateChooser(now time.Time) {
	if changes := f.options.Mesh.countChanges(); f.knowsPeers() && changes+1 != f.membersSeen {
		reachable, at := f.options.Mesh.listReachable()
		members := make([]feed.Member, 0, len(reachable))
		for _, i := range reachable {
			members = append(members, f.describe(i))
		}
		f.chooser.SetMembers(now, members)
		f.membersSeen = at + 1
	}
	renewalInterval := feed.RenewalInterval(f.options.Mesh.countKnown()+1, f.options.LeaseTTL)
	f.chooser.ObserveOwnAge(now, f.options.Book.OwnSilence(), renewalInterval)
	f.chooser.SetFollowers(f.followers)
	if f.options.Book.IsListed() {
		f.chooser.MarkListed()
	}
	if f.options.IsLeaving() {
		f.chooser.MarkLeaving()
	}
}

// knowsPeers reports whether the other ingresses are known, or at least one of them while the rest may be
// about to register. The caller holds the lock.
func (f *Feeder) knowsPeers() bool {
	if f.peersDiscovered {
		return true
	}
	return f.options.Mesh.countKnown() > 0 && (f.options.Book.HasLooked() || f.options.Book.IsListed())
}

// subscribe follows an ingress in place of the previous one; an empty name: none. The caller holds
// the lock.
func (f *Feeder) subscribe(ctx context.Context, name string) {
	if f.source != nil && f.source.name == name || f.source == nil && name == "" {
		return
	}
	if f.source != nil {
		f.source.cancel()
		f.source = nil
	}
	if name == "" {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	f.source = &subscription{name: name, cancel: cancel}
	go f.runFeed(ctx, f.source)
}

// runFeed applies what the followed ingress sends until its stream or the context ends.
func (f *Feeder) runFeed(ctx context.Context, s *subscription) {
	defer f.wakeLoop()
	defer s.cancel()
	err := f.receive(ctx, s)
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.source != s {
		return // this ingress ended the subscription itself
	}
	f.source = nil
	f.chooser.ObserveStreamEnded(time.Now(), s.name)
	f.options.Log.Info("source-lost", zap.String("ingress", s.name), logs.Err(err))
}

// receive opens the stream of the followed ingress and applies its messages until it fails.
func (f *Feeder) receive(ctx context.Context, s *subscription) error {
	stream, err := f.options.Mesh.Follow(ctx, s.name, newFollow(f.options.Book.Extent()), f.observeSourcePart)
	if err != nil {
		return err
	}
	defer stream.Close()
	defer func() { f.observeSourceEnd() }()
	for opened := false; ; opened = true {
		records, err := stream.Next()
		if err != nil {
			return err
		}
		delta, err := DecodeDelta(records)
		if err != nil {
			return err
		}
		f.options.Book.ApplyDelta(delta)
		logLarge(f.options.Log, s.name, records, f.observeSourceEnd())
		if !opened {
			f.observeSourceOpened(s)
		}
	}
}

// observeSourcePart records that a part of a message from the followed ingress arrived.
func (f *Feeder) observeSourcePart() {
	f.lock.Lock()
	defer f.lock.Unlock()
	now := time.Now()
	f.chooser.ObserveMessagePart(now, true)
	if f.sourceMessageAt.IsZero() {
		f.sourceMessageAt = now
	}
}

// observeSourceEnd records that a message from the followed ingress ended, and returns how long its
// transfer took.
func (f *Feeder) observeSourceEnd() time.Duration {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.chooser.ObserveMessageEnd(true)
	took := time.Since(f.sourceMessageAt)
	f.sourceMessageAt = time.Time{}
	return took
}

// logLarge logs records that are large enough to take a noticeable time on a slow link.
func logLarge(log *zap.Logger, name string, records *wire.Records, took time.Duration) {
	if size := proto.Size(records); size >= compressMinBytes {
		log.Info("records-received", zap.String("ingress", name), zap.Int("bytes", size), zap.Duration("took", took))
	}
}

// ObserveMessagePart records that a part of a message of records that a Puller requested arrived.
func (f *Feeder) ObserveMessagePart() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.chooser.ObserveMessagePart(time.Now(), false)
}

// ObserveMessageEnd records that a requested message was received and applied, or abandoned.
func (f *Feeder) ObserveMessageEnd() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.chooser.ObserveMessageEnd(false)
}

// IsReceiving reports whether records are in flight to this ingress or were just requested.
func (f *Feeder) IsReceiving() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.chooser.IsReceiving(time.Now())
}

// observeSourceOpened records that the first message of a subscription was applied.
func (f *Feeder) observeSourceOpened(s *subscription) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.source != s {
		return
	}
	f.chooser.ObserveStreamOpened(s.name)
	f.options.Log.Info("source-followed", zap.String("ingress", s.name))
}

// ObserveStoreStatus processes the store status in a heartbeat of another ingress, which is not older than the given
// time, a result of uptime.Now; zero: not known.
//
// A status of the fresh source confirms the records here if they are complete up to its newest
// change. If another ingress stays ahead of the records here, it is asked for the missing ones.
func (f *Feeder) ObserveStoreStatus(name string, reading *wire.Reading, notBefore time.Time) {
	now := time.Now()
	theirs := decodeExtent(reading)
	f.options.Book.Advance(theirs)
	own := f.options.Book.Extent()
	// Records that are complete up to another ingress's revision are confirmed by what confirmed those.
	if age := reading.GetRecordsAgeNanos(); age > 0 && !notBefore.IsZero() && !theirs.CompleteRevision.IsZero() && !theirs.CompleteRevision.IsAfter(own.CompleteRevision) {
		f.options.Book.ConfirmRecords(notBefore.Add(-time.Duration(age)))
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	status := decodeStatus(reading)
	f.chooser.ObserveStatus(now, name, status)
	if f.source != nil && f.source.name == name && f.chooser.IsSourceFresh(now) && !theirs.NewestRevision.IsAfter(own.CompleteRevision) {
		f.options.Book.ObserveSourceAnswer(now.Add(-status.Age))
	}
	if own.CompleteRevision.IsZero() {
		return // the first snapshot comes from the followed ingress, the store or a Puller
	}
	if f.chooser.ObserveGap(now, name, theirs, own) {
		f.options.Log.Info("records-missing", zap.String("ahead", name), zap.Stringer("newest", theirs.NewestRevision),
			zap.Stringer("complete", own.CompleteRevision))
		go f.options.Puller.runPull(name, theirs)
	}
}

// runConnect opens a session to an ingress, so that the revisions in its heartbeats can be compared
// with those reached here.
func (f *Feeder) runConnect(ctx context.Context, name string) {
	if err := f.options.Mesh.Connect(ctx, name); err != nil {
		f.options.Log.Debug("check-peer-unreachable", zap.String("ingress", name), logs.Err(err))
	}
}

// IsFollowing reports whether this ingress follows another one.
func (f *Feeder) IsFollowing() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.source != nil
}
