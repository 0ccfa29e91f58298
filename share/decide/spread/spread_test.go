package spread_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/spread"
	"verbenaroad.example/share/models/config"
)

const tick = 250 * time.Millisecond

func start() time.Time {
	return time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
}

// pickFirst stands in for the rendezvous hash.
func pickFirst(_ string, names []string, n int) []string {
	sorted := slices.Sorted(slices.Values(names))
	return sorted[:min(n, len(sorted))]
}

func newState() *spread.State {
	return spread.New("self", spread.DefaultSettings(), pickFirst)
}

func newLoaded(revision uint64, staleAfter time.Duration) *config.Loaded {
	limits := config.Limits{Name: "deployment", StaleAfter: config.Duration(staleAfter)}
	loaded, err := config.LoadSet(config.Version{Revision: revision}, config.Set{Limits: []config.Limits{limits}})
	if err != nil {
		panic(err)
	}
	return loaded
}

func newHead(revision uint64) config.Head {
	return config.Head{Version: config.Version{Revision: revision}}
}

// newServing returns a process with revision 1 confirmed at now.
func newServing(now time.Time, staleAfter time.Duration) *spread.State {
	s := newState()
	s.Handle(spread.Tick{}, now)
	s.Handle(spread.HeadSeen{Head: newHead(1), AskedAt: now}, now)
	s.Handle(spread.FetchDone{Loaded: newLoaded(1, staleAfter)}, now)
	return s
}

// runTicks passes time with every read failing where fail is set.
func runTicks(s *spread.State, from time.Time, d time.Duration, fail bool) time.Time {
	now := from
	for now.Before(from.Add(d)) {
		now = now.Add(tick)
		for _, action := range s.Handle(spread.Tick{Random: 0.5}, now) {
			if _, ok := action.(spread.PollStore); ok && fail {
				s.Handle(spread.ReadFailed{AskedAt: now}, now)
			}
		}
	}
	return now
}

func TestStartPollsAndPublishes(t *testing.T) {
	is := is.New(t)
	now := start()
	s := newState()
	is.Equal(s.Usable(now), spread.UseNone)
	is.Equal(s.Handle(spread.Tick{}, now), []spread.Action{spread.PollStore{}})
	is.Equal(s.Handle(spread.HeadSeen{Head: newHead(4), AskedAt: now}, now), []spread.Action{spread.FetchFromStore{}})
	loaded := newLoaded(4, 0)
	is.Equal(s.Handle(spread.FetchDone{Loaded: loaded}, now), []spread.Action{spread.Publish{Loaded: loaded}})
	is.Equal(s.Usable(now), spread.UseServing)
	is.Equal(s.Revision(), uint64(4))
}

func TestHigherPeerIsAskedFirstAndTheStoreLast(t *testing.T) {
	is := is.New(t)
	now := start()
	s := newServing(now, 0)
	beat := spread.PeerBeat{Peer: "b", Revision: 2, ConfirmedAge: 0, NotBefore: now}
	is.Equal(s.Handle(beat, now), []spread.Action{spread.FetchFromPeer{Peer: "b", Revision: 2}})
	is.Equal(s.Usable(now), spread.UseConfirm)
	is.Equal(s.Handle(spread.FetchFailed{}, now), []spread.Action{spread.FetchFromStore{}})
	is.Equal(len(s.Handle(spread.FetchFailed{}, now)), 1) // the peer again
	is.Equal(len(s.Handle(spread.FetchFailed{}, now)), 0) // not the service before its wait
	s.Handle(spread.Tick{}, now.Add(tick))
	is.Equal(s.Revision(), uint64(1))
}

func TestLowerRevisionIsNeverAdopted(t *testing.T) {
	is := is.New(t)
	now := start()
	s := newServing(now, 0)
	s.Handle(spread.FetchDone{Loaded: newLoaded(3, 0)}, now)
	is.Equal(s.Revision(), uint64(3))
	is.Equal(len(s.Handle(spread.FetchDone{Loaded: newLoaded(2, 0)}, now)), 0)
	is.Equal(len(s.Handle(spread.FetchDone{Loaded: newLoaded(3, 0)}, now)), 0)
	s.Handle(spread.HeadSeen{Head: newHead(1), AskedAt: now.Add(-time.Second)}, now)
	is.Equal(s.Revision(), uint64(3))
	is.Equal(s.ConfirmedAge(now), -time.Nanosecond)
}

// A process stands still for a minute while a rule is replaced. On waking it
// finds a peer's heartbeat in its socket buffer, written before the change and
// marked as freshly confirmed. It must not decide on the old rule: the beat
// echoes one of its own from before the pause and so confirms nothing.
func TestFrozenProcessFindsItsConfigurationExpired(t *testing.T) {
	is := is.New(t)
	frozen := start()
	s := newServing(frozen, 0)
	now := frozen.Add(time.Minute)
	is.Equal(s.Usable(now), spread.UseConfirm)
	s.Handle(spread.PeerBeat{Peer: "b", Revision: 1, ConfirmedAge: time.Millisecond, NotBefore: frozen}, now)
	is.Equal(s.Usable(now), spread.UseConfirm)
	// A read from before the pause fails only now; it says nothing of the time since.
	s.Handle(spread.ReadFailed{AskedAt: frozen}, now)
	is.Equal(s.Usable(now), spread.UseConfirm)
	is.Equal(s.Handle(spread.Tick{}, now), []spread.Action{spread.PollStore{}})
	is.Equal(s.Usable(now), spread.UseConfirm)
	s.Handle(spread.HeadSeen{Head: newHead(1), AskedAt: now}, now)
	is.Equal(s.Usable(now), spread.UseServing)
}

// The key-value service is down for ten minutes. Callers go on being served,
// as stale-after is 0, since reads fail and peers know of nothing newer.
func TestOutageServesOn(t *testing.T) {
	is := is.New(t)
	s := newServing(start(), 0)
	now := runTicks(s, start(), 10*time.Minute, true)
	is.Equal(s.Usable(now), spread.UseServing)
}

// A failure domain is cut off from the service and from peers. The operators
// chose stale-after 30s, so callers are refused after that and not before.
func TestCutOffRefusesAfterStaleAfter(t *testing.T) {
	is := is.New(t)
	s := newServing(start(), 30*time.Second)
	now := runTicks(s, start(), 20*time.Second, true)
	is.Equal(s.Usable(now), spread.UseServing)
	now = runTicks(s, now, 15*time.Second, true)
	is.Equal(s.Usable(now), spread.UseRefuse)
	s.Handle(spread.PeerBeat{Peer: "b", Revision: 1, ConfirmedAge: time.Second, NotBefore: now}, now)
	is.Equal(s.Usable(now), spread.UseServing)
}

// The service was put back to an older state. Processes must neither fall
// back to it nor stop serving.
func TestServiceThatLostItsDataConfirmsNothing(t *testing.T) {
	is := is.New(t)
	s := newServing(start(), 0)
	now := start()
	for range 80 {
		now = now.Add(tick)
		for _, action := range s.Handle(spread.Tick{Random: 0.5}, now) {
			if _, ok := action.(spread.PollStore); ok {
				s.Handle(spread.HeadSeen{Head: newHead(0), AskedAt: now}, now)
			}
		}
	}
	is.Equal(s.Revision(), uint64(1))
	is.Equal(s.Usable(now), spread.UseServing)
}

func TestOnlyTheLowestFewWatch(t *testing.T) {
	is := is.New(t)
	s := newState()
	is.Equal(s.Handle(spread.Listed{Domain: []string{"a", "self", "z"}}, start()), []spread.Action{spread.StartWatch{}})
	is.Equal(len(s.Handle(spread.Listed{Domain: []string{"self", "z"}}, start())), 0)
	is.Equal(s.Handle(spread.Listed{Domain: []string{"a", "b", "self"}}, start()), []spread.Action{spread.StopWatch{}})
}

// fleet is a few processes beside one key-value service.
type fleet struct {
	now       time.Time
	heads     []time.Time // heads[i] is when revision i+1 was accepted
	processes []*process
	down      bool
}

type process struct {
	name   string
	state  *spread.State
	frozen bool
	// read is a read of the head in flight: when it was sent and what it will show.
	reading  bool
	askedAt  time.Time
	readHead uint64
	fetch    string
	fetching bool
	highest  uint64
	// failed is set while the last read failed and no pause came since.
	failed   bool
	lastStep time.Time
	// beats are those that lie in the process's buffer.
	beats []spread.PeerBeat
	// sent is when this process last wrote a beat that all others echo.
	sent time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{now: start(), heads: []time.Time{start()}}
	for i := range n {
		name := fmt.Sprint("p", i)
		f.processes = append(f.processes, &process{name: name, state: spread.New(name, spread.DefaultSettings(), pickFirst)})
	}
	return f
}

func (f *fleet) revision() uint64 { return uint64(len(f.heads)) }

func (f *fleet) handle(p *process, event spread.Event) {
	for _, action := range p.state.Handle(event, f.now) {
		switch a := action.(type) {
		case spread.PollStore:
			p.reading = true
			p.askedAt = f.now
			p.readHead = f.revision()
			if f.down {
				p.readHead = 0
			}
		case spread.FetchFromStore:
			p.fetching = true
			p.fetch = ""
		case spread.FetchFromPeer:
			p.fetching = true
			p.fetch = a.Peer
		}
	}
}

// deliver answers what is in flight.
func (f *fleet) deliver(p *process) {
	if p.reading {
		p.reading = false
		if p.readHead == 0 {
			p.failed = true
			f.handle(p, spread.ReadFailed{AskedAt: p.askedAt})
		} else {
			p.failed = false
			f.handle(p, spread.HeadSeen{Head: newHead(p.readHead), AskedAt: p.askedAt})
		}
	}
	if !p.fetching {
		return
	}
	p.fetching = false
	revision := f.revision()
	if p.fetch != "" {
		revision = f.find(p.fetch).state.Revision()
	}
	if revision == 0 || (p.fetch == "" && f.down) {
		f.handle(p, spread.FetchFailed{})
		return
	}
	f.handle(p, spread.FetchDone{Loaded: newLoaded(revision, 0)})
}

func (f *fleet) find(name string) *process {
	for _, p := range f.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// beat puts a beat of one process into the buffers of the others.
func (f *fleet) beat(from *process) {
	for _, p := range f.processes {
		if p == from {
			continue
		}
		b := spread.PeerBeat{Peer: from.name, Revision: from.state.Revision(), ConfirmedAge: from.state.ConfirmedAge(f.now), NotBefore: p.sent}
		p.beats = append(p.beats, b)
	}
	from.sent = f.now
}

func (f *fleet) step(p *process) {
	if p.frozen {
		return
	}
	p.failed = p.failed && !f.isPaused(p)
	p.lastStep = f.now
	for _, b := range p.beats {
		f.handle(p, b)
	}
	p.beats = nil
	f.deliver(p)
	f.handle(p, spread.Tick{Random: 0.3})
	f.beat(p)
}

func (f *fleet) isPaused(p *process) bool {
	return f.now.Sub(p.lastStep) > spread.DefaultSettings().Pause
}

// check holds that no revision falls and that a process which serves without a
// failed read has a configuration that was in force at most GoodFor ago.
func (f *fleet) check(t *rapid.T) {
	for _, p := range f.processes {
		if p.state.Revision() < p.highest {
			t.Fatalf("%s fell from %d to %d", p.name, p.highest, p.state.Revision())
		}
		p.highest = p.state.Revision()
		if p.state.Usable(f.now) != spread.UseServing || p.failed && !f.isPaused(p) {
			continue
		}
		next := int(p.state.Revision())
		if next < len(f.heads) && f.now.Sub(f.heads[next]) > spread.DefaultSettings().GoodFor {
			t.Fatalf("%s serves revision %d, replaced %s ago", p.name, next, f.now.Sub(f.heads[next]))
		}
	}
}

// Processes hear of changes from the service and from each other while some
// of them stand still and the service goes down and comes back.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "move") {
			case 0:
				if !f.down {
					f.heads = append(f.heads, f.now)
				}
			case 1:
				f.down = !f.down
			case 2:
				p := rapid.SampledFrom(f.processes).Draw(t, "freeze")
				p.frozen = !p.frozen
			case 3:
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 10000).Draw(t, "pause")) * time.Millisecond)
			default:
				f.now = f.now.Add(tick)
				for _, p := range f.processes {
					f.step(p)
					f.check(t)
				}
			}
			f.check(t)
		}
		f.settle(t)
	})
}

// settle holds that with the service back and all awake, everyone has the last revision within 8 s.
func (f *fleet) settle(t *rapid.T) {
	f.down = false
	for _, p := range f.processes {
		p.frozen = false
	}
	for range int(8 * time.Second / tick) {
		f.now = f.now.Add(tick)
		for _, p := range f.processes {
			f.step(p)
		}
	}
	for _, p := range f.processes {
		if p.state.Revision() != f.revision() || p.state.Usable(f.now) != spread.UseServing {
			t.Fatalf("%s has revision %d of %d, %s", p.name, p.state.Revision(), f.revision(), p.state.Usable(f.now))
		}
	}
}
