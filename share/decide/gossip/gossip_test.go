package gossip_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/gossip"
	"verbenaroad.example/share/models/config"
)

const tick = 250 * time.Millisecond

func start() time.Time {
	return time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
}

// pickFirst replaces rendezvous hashing by the alphabetical order.
func pickFirst(_ string, names []string, n int) []string {
	sorted := slices.Sorted(slices.Values(names))
	return sorted[:min(n, len(sorted))]
}

func newState() *gossip.State {
	return gossip.New("self", gossip.DefaultSettings(), pickFirst)
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

// newServing returns the state of a process that has revision 1 in force, confirmed at now.
func newServing(now time.Time, staleAfter time.Duration) *gossip.State {
	s := newState()
	s.Handle(gossip.Tick{}, now)
	s.Handle(gossip.HeadObserved{Head: newHead(1), RequestedAt: now}, now)
	s.Handle(gossip.FetchDone{Loaded: newLoaded(1, staleAfter)}, now)
	return s
}

// runTicks advances the time by d in ticks. If fail is set, every read fails at once; otherwise
// none is answered.
func runTicks(s *gossip.State, from time.Time, d time.Duration, fail bool) time.Time {
	now := from
	for now.Before(from.Add(d)) {
		now = now.Add(tick)
		for _, action := range s.Handle(gossip.Tick{Random: 0.5}, now) {
			if _, ok := action.(gossip.PollStore); ok && fail {
				s.Handle(gossip.ReadFailed{RequestedAt: now}, now)
			}
		}
	}
	return now
}

func TestStartPollsAndPublishes(t *testing.T) {
	is := is.New(t)
	now := start()
	s := newState()
	is.Equal(s.Status(now), gossip.StatusNone)
	is.Equal(s.Handle(gossip.Tick{}, now), []gossip.Action{gossip.PollStore{}})
	is.Equal(s.Handle(gossip.HeadObserved{Head: newHead(4), RequestedAt: now}, now), []gossip.Action{gossip.FetchFromStore{}})
	loaded := newLoaded(4, 0)
	is.Equal(s.Handle(gossip.FetchDone{Loaded: loaded}, now), []gossip.Action{gossip.Publish{Loaded: loaded}})
	is.Equal(s.Status(now), gossip.StatusServing)
	is.Equal(s.Revision(), uint64(4))
}

func TestFetchTriesPeersBeforeTheStore(t *testing.T) {
	is := is.New(t)
	now := start()
	s := newServing(now, 0)
	beat := gossip.PeerReport{Peer: "b", Revision: 2, ConfirmedAge: 0, NotBefore: now}
	is.Equal(s.Handle(beat, now), []gossip.Action{gossip.FetchFromPeer{Peer: "b", Revision: 2}})
	is.Equal(s.Status(now), gossip.StatusUnconfirmed)
	is.Equal(s.Handle(gossip.FetchFailed{}, now), []gossip.Action{gossip.FetchFromStore{}})
	is.Equal(len(s.Handle(gossip.FetchFailed{}, now)), 1) // from the same peer
	is.Equal(len(s.Handle(gossip.FetchFailed{}, now)), 0) // the store is not retried yet
	s.Handle(gossip.Tick{}, now.Add(tick))
	is.Equal(s.Revision(), uint64(1))
}

func TestLowerRevisionIsNeverAdopted(t *testing.T) {
	is := is.New(t)
	now := start()
	s := newServing(now, 0)
	s.Handle(gossip.FetchDone{Loaded: newLoaded(3, 0)}, now)
	is.Equal(s.Revision(), uint64(3))
	is.Equal(len(s.Handle(gossip.FetchDone{Loaded: newLoaded(2, 0)}, now)), 0)
	is.Equal(len(s.Handle(gossip.FetchDone{Loaded: newLoaded(3, 0)}, now)), 0)
	s.Handle(gossip.HeadObserved{Head: newHead(1), RequestedAt: now.Add(-time.Second)}, now)
	is.Equal(s.Revision(), uint64(3))
	is.Equal(s.ConfirmedAge(now), -time.Nanosecond)
}

// Guards against a process that was frozen for a minute while a rule was replaced and then decides
// on the old rule, because its socket buffer holds a peer's heartbeat that claims a fresh
// confirmation. That heartbeat echoes one sent before the freeze and therefore confirms nothing.
func TestFrozenProcessMustConfirmBeforeServing(t *testing.T) {
	is := is.New(t)
	frozen := start()
	s := newServing(frozen, 0)
	now := frozen.Add(time.Minute)
	is.Equal(s.Status(now), gossip.StatusUnconfirmed)
	s.Handle(gossip.PeerReport{Peer: "b", Revision: 1, ConfirmedAge: time.Millisecond, NotBefore: frozen}, now)
	is.Equal(s.Status(now), gossip.StatusUnconfirmed)
	// A read sent before the freeze fails only now, which shows nothing about the time since.
	s.Handle(gossip.ReadFailed{RequestedAt: frozen}, now)
	is.Equal(s.Status(now), gossip.StatusUnconfirmed)
	is.Equal(s.Handle(gossip.Tick{}, now), []gossip.Action{gossip.PollStore{}})
	is.Equal(s.Status(now), gossip.StatusUnconfirmed)
	s.Handle(gossip.HeadObserved{Head: newHead(1), RequestedAt: now}, now)
	is.Equal(s.Status(now), gossip.StatusServing)
}

// Guards against processes that stop serving while the store is down. With stale-after 0 they serve
// without a time limit once a read has failed, here for ten minutes.
func TestServingContinuesDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	s := newServing(start(), 0)
	now := runTicks(s, start(), 10*time.Minute, true)
	is.Equal(s.Status(now), gossip.StatusServing)
}

// Guards against a process that ignores stale-after, here 30 s, when it reaches neither the store
// nor its peers: it must refuse requests after that time and not before, and serve again once a
// peer confirms its revision.
func TestIsolatedProcessRefusesAfterStaleAfter(t *testing.T) {
	is := is.New(t)
	s := newServing(start(), 30*time.Second)
	now := runTicks(s, start(), 20*time.Second, true)
	is.Equal(s.Status(now), gossip.StatusServing)
	now = runTicks(s, now, 15*time.Second, true)
	is.Equal(s.Status(now), gossip.StatusStale)
	s.Handle(gossip.PeerReport{Peer: "b", Revision: 1, ConfirmedAge: time.Second, NotBefore: now}, now)
	is.Equal(s.Status(now), gossip.StatusServing)
}

// Guards against a process that falls back to an older revision or stops serving after the store
// lost its data or was restored to an older state.
func TestStoreDataLossKeepsRevisionInForce(t *testing.T) {
	is := is.New(t)
	s := newServing(start(), 0)
	now := start()
	for range 80 {
		now = now.Add(tick)
		for _, action := range s.Handle(gossip.Tick{Random: 0.5}, now) {
			if _, ok := action.(gossip.PollStore); ok {
				s.Handle(gossip.HeadObserved{Head: newHead(0), RequestedAt: now}, now)
			}
		}
	}
	is.Equal(s.Revision(), uint64(1))
	is.Equal(s.Status(now), gossip.StatusServing)
}

func TestOnlyPickedInstancesWatch(t *testing.T) {
	is := is.New(t)
	s := newState()
	is.Equal(s.Handle(gossip.InstancesListed{DomainInstances: []string{"a", "self", "z"}}, start()), []gossip.Action{gossip.StartWatch{}})
	is.Equal(len(s.Handle(gossip.InstancesListed{DomainInstances: []string{"self", "z"}}, start())), 0)
	is.Equal(s.Handle(gossip.InstancesListed{DomainInstances: []string{"a", "b", "self"}}, start()), []gossip.Action{gossip.StopWatch{}})
}

// fleet simulates several processes and one store.
type fleet struct {
	now time.Time
	// acceptedAt[i] is when revision i+1 was accepted.
	acceptedAt []time.Time
	processes  []*process
	storeDown  bool
}

type process struct {
	name   string
	state  *gossip.State
	frozen bool
	// reading is set while a read of the head is in flight. The read was sent at readAt and will
	// return readRevision, or fail if that is 0.
	reading      bool
	readAt       time.Time
	readRevision uint64
	// fetchPeer is the peer of the fetch in flight; empty: the store.
	fetchPeer string
	fetching  bool
	// highestRevision is the highest revision that has been in force.
	highestRevision uint64
	// readFailed is set if the last read failed and the process has not been frozen since.
	readFailed bool
	lastStep   time.Time
	// reports holds the reports of peers that have arrived but are not handled yet.
	reports []gossip.PeerReport
	// heartbeatAt is when this process last sent a heartbeat; the reports of all others echo it.
	heartbeatAt time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{now: start(), acceptedAt: []time.Time{start()}}
	for i := range n {
		name := fmt.Sprint("p", i)
		f.processes = append(f.processes, &process{name: name, state: gossip.New(name, gossip.DefaultSettings(), pickFirst)})
	}
	return f
}

// revision is the revision of the head in the store.
func (f *fleet) revision() uint64 { return uint64(len(f.acceptedAt)) }

func (f *fleet) handle(p *process, event gossip.Event) {
	for _, action := range p.state.Handle(event, f.now) {
		switch a := action.(type) {
		case gossip.PollStore:
			p.reading = true
			p.readAt = f.now
			p.readRevision = f.revision()
			if f.storeDown {
				p.readRevision = 0
			}
		case gossip.FetchFromStore:
			p.fetching = true
			p.fetchPeer = ""
		case gossip.FetchFromPeer:
			p.fetching = true
			p.fetchPeer = a.Peer
		}
	}
}

// completeRequests ends the read and the fetch that the process has in flight.
func (f *fleet) completeRequests(p *process) {
	if p.reading {
		p.reading = false
		if p.readRevision == 0 {
			p.readFailed = true
			f.handle(p, gossip.ReadFailed{RequestedAt: p.readAt})
		} else {
			p.readFailed = false
			f.handle(p, gossip.HeadObserved{Head: newHead(p.readRevision), RequestedAt: p.readAt})
		}
	}
	if !p.fetching {
		return
	}
	p.fetching = false
	revision := f.revision()
	if p.fetchPeer != "" {
		revision = f.find(p.fetchPeer).state.Revision()
	}
	if revision == 0 || (p.fetchPeer == "" && f.storeDown) {
		f.handle(p, gossip.FetchFailed{})
		return
	}
	f.handle(p, gossip.FetchDone{Loaded: newLoaded(revision, 0)})
}

func (f *fleet) find(name string) *process {
	for _, p := range f.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// sendHeartbeats adds a report of one process to the pending reports of all others.
func (f *fleet) sendHeartbeats(from *process) {
	for _, p := range f.processes {
		if p == from {
			continue
		}
		report := gossip.PeerReport{Peer: from.name, Revision: from.state.Revision(), ConfirmedAge: from.state.ConfirmedAge(f.now), NotBefore: p.heartbeatAt}
		p.reports = append(p.reports, report)
	}
	from.heartbeatAt = f.now
}

// step lets a process handle everything that has arrived, then a tick, and send its heartbeats.
func (f *fleet) step(p *process) {
	if p.frozen {
		return
	}
	p.readFailed = p.readFailed && !f.hasBeenFrozen(p)
	p.lastStep = f.now
	for _, report := range p.reports {
		f.handle(p, report)
	}
	p.reports = nil
	f.completeRequests(p)
	f.handle(p, gossip.Tick{Random: 0.3})
	f.sendHeartbeats(p)
}

func (f *fleet) hasBeenFrozen(p *process) bool {
	return f.now.Sub(p.lastStep) > gossip.DefaultSettings().FreezeThreshold
}

// check verifies that no process goes back to a lower revision, and that a process which serves
// without a failed read has a configuration that was replaced at most ConfirmationTTL ago.
func (f *fleet) check(t *rapid.T) {
	for _, p := range f.processes {
		if p.state.Revision() < p.highestRevision {
			t.Fatalf("%s went back from revision %d to %d", p.name, p.highestRevision, p.state.Revision())
		}
		p.highestRevision = p.state.Revision()
		if p.state.Status(f.now) != gossip.StatusServing || p.readFailed && !f.hasBeenFrozen(p) {
			continue
		}
		next := int(p.state.Revision())
		if next < len(f.acceptedAt) && f.now.Sub(f.acceptedAt[next]) > gossip.DefaultSettings().ConfirmationTTL {
			t.Fatalf("%s serves revision %d, which was replaced %s ago", p.name, next, f.now.Sub(f.acceptedAt[next]))
		}
	}
}

// Guards against a process that goes back to an older revision, serves an outdated one or misses
// the newest, while processes freeze and the store fails and recovers.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "move") {
			case 0:
				if !f.storeDown {
					f.acceptedAt = append(f.acceptedAt, f.now)
				}
			case 1:
				f.storeDown = !f.storeDown
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
		f.checkConvergence(t)
	})
}

// checkConvergence ends all faults and verifies that every process serves the newest revision
// within 8 s.
func (f *fleet) checkConvergence(t *rapid.T) {
	f.storeDown = false
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
		if p.state.Revision() != f.revision() || p.state.Status(f.now) != gossip.StatusServing {
			t.Fatalf("%s has revision %d instead of %d, status %s", p.name, p.state.Revision(), f.revision(), p.state.Status(f.now))
		}
	}
}

// Guards against a large configuration that never arrives over a slow link because its fetch times out as a
// whole, and against a fetch that never times out because parts of an earlier one still arrive.
func TestFetchLastsAsLongAsPartsArrive(t *testing.T) {
	is := is.New(t)
	now := start()
	s := newServing(now, 0)
	report := func(peer string) []gossip.Action { return s.Handle(gossip.PeerReport{Peer: peer, Revision: 2}, now) }
	is.Equal(report("a"), []gossip.Action{gossip.FetchFromPeer{Peer: "a", Revision: 2}})
	report("b")
	timeout := gossip.DefaultSettings().ReadTimeout
	for range 10 {
		now = now.Add(timeout - tick)
		is.Equal(countFetches(s.Handle(gossip.Tick{}, now)), 0)
		s.Handle(gossip.FetchProgress{Peer: "a"}, now)
	}
	now = now.Add(timeout + tick)
	is.Equal(countFetches(s.Handle(gossip.Tick{}, now)), 1) // it has timed out, and b is asked
	now = now.Add(timeout - tick)
	s.Handle(gossip.FetchProgress{Peer: "a"}, now)
	now = now.Add(2 * tick)
	is.Equal(countFetches(s.Handle(gossip.Tick{}, now)), 1) // so has the fetch from b
}

func countFetches(actions []gossip.Action) int {
	count := 0
	for _, action := range actions {
		switch action.(type) {
		case gossip.FetchFromPeer, gossip.FetchFromStore:
			count++
		}
	}
	return count
}
