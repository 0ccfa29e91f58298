package mesh

import (
	"context"
	"net"
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

// feedEvery is how often the choice of whom to follow is looked at again.
const feedEvery = 100 * time.Millisecond

// FeederOptions are the settings of a Feeder.
type FeederOptions struct {
	Mesh   *Mesh
	Book   *state.Book
	Reader *state.Reader
	Puller *Puller
	// Self is this ingress, and Regions maps each failure domain to its region.
	Self    site.Ingress
	Regions map[string]string
	// IsLeaving tells whether this process is stopping.
	IsLeaving func() bool
	Log       *zap.Logger
}

// Feeder hears of the store's changes from the ingress that watches it for this failure
// domain, tells them to those that follow this one, and has the store read here where that
// is needed. The choice is made by feed.Chooser.
type Feeder struct {
	options FeederOptions
	// wake has the loop look again before its time.
	wake chan struct{}

	lock    sync.Mutex
	chooser *feed.Chooser
	// current is the feed that is taken; nil: none.
	current   *subscription
	followers int
	// reading is what was last told to the Reader.
	reading bool
	// members is one more than the mesh's count of changes at which the chooser was last told
	// of them, 0 before; scouted is set once it is known who else there is.
	members uint64
	scouted bool
	// fedSince is when the message that arrives from the followed ingress began; zero: there is none.
	fedSince time.Time

	collectLock sync.Mutex
	// collected is what was told last.
	collected collected
}

// subscription is a feed from one ingress.
type subscription struct {
	name   string
	cancel context.CancelFunc
}

// NewFeeder returns a feeder that follows nobody.
func NewFeeder(options FeederOptions) *Feeder {
	f := &Feeder{options: options, wake: make(chan struct{}, 1)}
	f.chooser = feed.NewChooser(f.describe(options.Self), time.Now())
	return f
}

func (f *Feeder) describe(i site.Ingress) feed.Member {
	return feed.Member{Name: i.Name, Domain: i.Domain, Region: f.options.Regions[i.Domain], Weight: weigh(i).Weight}
}

// Start follows until the context ends.
func (f *Feeder) Start(ctx context.Context) {
	go f.runScout(ctx)
	go f.loop(ctx)
}

// runScout finds out who else there is.
func (f *Feeder) runScout(ctx context.Context) {
	f.options.Reader.DiscoverPeers(ctx, func() bool { return f.options.Mesh.countKnown() > 0 })
	f.lock.Lock()
	f.scouted = true
	f.lock.Unlock()
	f.hurry()
}

// hurry has the loop look again at once.
func (f *Feeder) hurry() {
	select {
	case f.wake <- struct{}{}:
	default: // it is about to look
	}
}

func (f *Feeder) loop(ctx context.Context) {
	ticker := time.NewTicker(feedEvery)
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

// step does what the chooser wants.
func (f *Feeder) step(ctx context.Context, now time.Time) {
	f.lock.Lock()
	f.tell(now)
	plan := f.chooser.Plan(now)
	f.subscribe(ctx, plan.Follow)
	if plan.Read != f.reading {
		f.reading = plan.Read
		f.options.Log.Info("store-reading", zap.Bool("direct", plan.Read), zap.String("source", plan.Follow),
			zap.Int("followers", f.followers), zap.Duration("age", f.options.Book.Age()))
	}
	f.lock.Unlock()
	f.options.Reader.SetWatching(ctx, plan.Read)
	if plan.Check != "" && !f.options.Mesh.isOpen(plan.Check) {
		go f.runReach(ctx, plan.Check)
	}
}

// tell tells the chooser what has changed; called under the lock.
func (f *Feeder) tell(now time.Time) {
	if changes := f.options.Mesh.countChanges(); f.scouted && changes+1 != f.members {
		reachable, at := f.options.Mesh.listReachable()
		members := make([]feed.Member, 0, len(reachable))
		for _, i := range reachable {
			members = append(members, f.describe(i))
		}
		f.chooser.SetMembers(now, members)
		f.members = at + 1
	}
	f.chooser.ObserveOwnAge(now, f.options.Book.OwnSilence())
	f.chooser.SetFollowers(f.followers)
	if f.options.Book.IsListed() {
		f.chooser.MarkListed()
	}
	if f.options.IsLeaving() {
		f.chooser.MarkLeaving()
	}
}

// subscribe follows an ingress in place of the one before; called under the lock.
func (f *Feeder) subscribe(ctx context.Context, name string) {
	if f.current != nil && f.current.name == name || f.current == nil && name == "" {
		return
	}
	if f.current != nil {
		f.current.cancel()
		f.current = nil
	}
	if name == "" {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	f.current = &subscription{name: name, cancel: cancel}
	go f.runFeed(ctx, f.current)
}

// runFeed takes what the followed ingress sends until it or the context ends.
func (f *Feeder) runFeed(ctx context.Context, s *subscription) {
	defer f.hurry()
	defer s.cancel()
	err := f.take(ctx, s)
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.current != s {
		return // it was given up here
	}
	f.current = nil
	f.chooser.ObserveStreamEnded(time.Now(), s.name)
	f.options.Log.Info("source-lost", zap.String("ingress", s.name), logs.Err(err))
}

func (f *Feeder) take(ctx context.Context, s *subscription) error {
	stream, err := f.options.Mesh.Follow(ctx, s.name, &wire.Follow{At: f.options.Book.CompleteRevision()}, f.noteFed)
	if err != nil {
		return err
	}
	defer stream.Close()
	defer func() { f.noteFedWhole() }()
	for opened := false; ; opened = true {
		told, err := stream.Next()
		if err != nil {
			return err
		}
		delta, err := DecodeDelta(told)
		if err != nil {
			return err
		}
		f.options.Book.ApplyDelta(delta)
		logLarge(f.options.Log, s.name, told, f.noteFedWhole())
		if !opened {
			f.noteOpened(s)
		}
	}
}

// noteFed notes a part of a message of the followed ingress.
func (f *Feeder) noteFed() {
	f.lock.Lock()
	defer f.lock.Unlock()
	now := time.Now()
	f.chooser.ObserveMessagePart(now, true)
	if f.fedSince.IsZero() {
		f.fedSince = now
	}
}

// noteFedWhole notes the end of such a message and returns how long it took to arrive.
func (f *Feeder) noteFedWhole() time.Duration {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.chooser.ObserveMessageEnd(true)
	took := time.Since(f.fedSince)
	f.fedSince = time.Time{}
	return took
}

// logLarge tells of records whose way over a slow link takes its time.
func logLarge(log *zap.Logger, name string, told *wire.Records, took time.Duration) {
	if size := proto.Size(told); size >= packFromBytes {
		log.Info("records-received", zap.String("ingress", name), zap.Int("bytes", size), zap.Duration("took", took))
	}
}

// NoteArrival notes a part of a message of records that this ingress asked for.
func (f *Feeder) NoteArrival() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.chooser.ObserveMessagePart(time.Now(), false)
}

// NoteWhole notes the end of such a message.
func (f *Feeder) NoteWhole() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.chooser.ObserveMessageEnd(false)
}

// IsReceiving tells whether records are on their way here.
func (f *Feeder) IsReceiving() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.chooser.IsReceiving(time.Now())
}

func (f *Feeder) noteOpened(s *subscription) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.current != s {
		return
	}
	f.chooser.ObserveStreamOpened(s.name)
	f.options.Log.Info("source-followed", zap.String("ingress", s.name))
}

// TakeReading takes what the heartbeat of another ingress says of its reading.
func (f *Feeder) TakeReading(name string, told *wire.Reading) {
	now := time.Now()
	theirs := decodeExtent(told)
	f.options.Book.Advance(theirs)
	own := f.options.Book.CompleteRevision()
	f.lock.Lock()
	defer f.lock.Unlock()
	word := decodeWord(told)
	f.chooser.ObserveStatus(now, name, word)
	if f.current != nil && f.current.name == name && f.chooser.IsSourceFresh(now) && theirs.NewestRevision <= own {
		f.options.Book.ObserveSourceAnswer(now.Add(-word.Age))
	}
	if own == 0 {
		return // the first picture is on its way from elsewhere
	}
	if f.chooser.ObserveGap(now, name, theirs.NewestRevision, own) {
		f.options.Log.Info("records-missing", zap.String("ahead", name))
		go f.options.Puller.runPull(name, theirs.NewestRevision)
	}
}

// runReach opens a session whose heartbeats are wanted.
func (f *Feeder) runReach(ctx context.Context, name string) {
	if err := f.options.Mesh.Reach(ctx, name); err != nil {
		f.options.Log.Debug("check-not-reached", zap.String("ingress", name), logs.Err(err))
	}
}

// Serve sends a follower what its records lack that are complete up to a revision, now and
// after each change, until the context ends.
func (f *Feeder) Serve(ctx context.Context, stream net.Conn, at uint64) {
	f.addFollower(1)
	defer f.addFollower(-1)
	for first := true; ; first = false {
		changed := f.options.Book.Changed()
		records := f.collect(at)
		if first || hasContent(records) {
			if err := wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Records{Records: records}}); err != nil {
				f.options.Log.Info("follower-lost", logs.Err(err))
				return
			}
		}
		at = max(at, records.GetAt())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func hasContent(records *wire.Records) bool {
	return records.GetWhole() || len(records.GetRecords()) > 0 || len(records.GetPacked()) > 0
}

// collected is what was told to a follower whose copy was complete up to a revision, while
// the records here reached at least as far as extent.
type collected struct {
	from    uint64
	extent  state.Extent
	records *wire.Records
}

// collect returns what a copy lacks that is complete up to a revision. Followers mostly ask from
// the same one, and it is looked up and written once for all of them.
func (f *Feeder) collect(from uint64) *wire.Records {
	f.collectLock.Lock()
	defer f.collectLock.Unlock()
	extent := f.options.Book.Extent()
	c := f.collected
	if c.records == nil || c.from != from || c.extent != extent {
		c = collected{from: from, extent: extent, records: EncodeDelta(f.options.Book.Since(from))}
		f.collected = c
	}
	return c.records
}

// IsFollowing tells whether this ingress follows another one.
func (f *Feeder) IsFollowing() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.current != nil
}

func (f *Feeder) addFollower(n int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.followers += n
	f.hurry()
}
