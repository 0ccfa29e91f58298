package feed_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/feed"
)

const (
	// tick is the step of the virtual time.
	tick = 50 * time.Millisecond
	// heartbeatTicks is the interval of heartbeats, linkTimeoutTicks how long a silent link is
	// kept.
	heartbeatTicks   = 6
	linkTimeoutTicks = 21
	// probeTicks is the interval in which the store answers an ingress that reads it, renewTicks
	// the interval for one that does not.
	probeTicks = 6
	renewTicks = 40
	// registerTicks is the time from a node's start until the others can reach it,
	// discoverTicks until it knows the others.
	registerTicks = 2
	discoverTicks = 3
	// settleTicks is long enough for a fleet to reach a steady state.
	settleTicks = 80
	// watchTicks is how long a watch waits if nothing changes.
	watchTicks = 80
	// prefixes is the number of watches of an ingress that reads the store.
	prefixes = 3
)

// fleet simulates a deployment in virtual time: a store with one revision, ingresses that read
// it or follow others, and heartbeats. Links have no delay; what a node sends in one tick is
// received in the next.
type fleet struct {
	now      time.Time
	ticks    int
	revision int
	nodes    []*node
	byName   map[string]*node
	// calls counts the calls to the store.
	calls int
	// reachable are the nodes that the others can reach; memberChanges counts how often this
	// list changed.
	reachable     []feed.Member
	memberChanges int
}

// node is one ingress.
type node struct {
	feed.Member
	chooser *feed.Chooser
	plan    feed.Plan
	// known is the newest revision that the node has.
	known int
	// confirmed is when the store last answered the node; watchTick is the tick of its last
	// watch.
	confirmed time.Time
	watchTick int
	// killed and frozen nodes do nothing, but the others consider a frozen node reachable until
	// its links time out. A disconnected node cannot reach the store. startTick is when the
	// node started.
	killed, frozen, disconnected bool
	startTick                    int
	// lastSeenTick is the tick at which the others last received anything from the node.
	lastSeenTick int
	followers    int
	// seenChanges is the fleet's memberChanges when the chooser's members were last set.
	seenChanges int
}

func newFleet(size, domains int) *fleet {
	f := &fleet{now: start, revision: 1, byName: map[string]*node{}}
	for i := range size {
		weight := 0.003
		if i/domains < 3 {
			weight = 0.512
		}
		domain := i % domains
		n := &node{Member: feed.Member{
			Name: fmt.Sprintf("n%d", i), Domain: fmt.Sprintf("d%d", domain), Region: fmt.Sprintf("r%d", domain%3), Weight: weight,
		}}
		f.nodes = append(f.nodes, n)
		f.byName[n.Name] = n
		f.start(n)
	}
	return f
}

// start starts or restarts a node.
func (f *fleet) start(n *node) {
	n.chooser = feed.NewChooser(n.Member, f.now)
	n.plan = feed.Plan{}
	n.known, n.killed, n.frozen = 0, false, false
	n.confirmed = time.Time{}
	n.startTick = f.ticks
	n.lastSeenTick = f.ticks
	n.seenChanges = -1
}

// isReachable reports whether the others consider a node reachable.
func (f *fleet) isReachable(n *node) bool {
	return f.ticks-n.startTick >= registerTicks && !n.killed && (!n.frozen || f.ticks-n.lastSeenTick < linkTimeoutTicks)
}

func (f *fleet) step() {
	f.ticks++
	f.now = f.now.Add(tick)
	reachable := make([]feed.Member, 0, len(f.nodes))
	for _, n := range f.nodes {
		if !n.frozen {
			n.lastSeenTick = f.ticks
		}
		if f.isReachable(n) {
			reachable = append(reachable, n.Member)
		}
		n.followers = 0
	}
	if !slices.Equal(reachable, f.reachable) {
		f.reachable = reachable
		f.memberChanges++
	}
	for _, n := range f.nodes {
		if source := f.byName[n.plan.Follow]; source != nil && !n.killed && !n.frozen {
			source.followers++
		}
	}
	for _, n := range f.nodes {
		if !n.killed && !n.frozen {
			f.stepNode(n)
		}
	}
}

func (f *fleet) stepNode(n *node) {
	if f.ticks-n.startTick == discoverTicks {
		f.calls++
	}
	if f.ticks-n.startTick >= discoverTicks && n.seenChanges != f.memberChanges {
		others := slices.DeleteFunc(slices.Clone(f.reachable), func(m feed.Member) bool { return m.Name == n.Name })
		n.chooser.SetMembers(f.now, others)
		n.seenChanges = f.memberChanges
	}
	if !n.disconnected && f.ticks%renewTicks == 0 {
		n.confirmed = f.now
	}
	n.chooser.ObserveOwnAge(f.now, f.now.Sub(n.confirmed), renewTicks*tick)
	n.chooser.SetFollowers(n.followers)
	f.follow(n)
	f.check(n)
	wasReading := n.plan.Read
	n.plan = n.chooser.Plan(f.now)
	if n.plan.Read && !n.disconnected {
		f.read(n, !wasReading)
	}
}

// follow receives the records that the source pushed, and its heartbeats.
func (f *fleet) follow(n *node) {
	source := f.byName[n.plan.Follow]
	if source == nil {
		return
	}
	if source.killed {
		n.chooser.ObserveStreamEnded(f.now, source.Name)
		return
	}
	if source.frozen {
		return
	}
	n.chooser.ObserveStreamOpened(source.Name)
	n.known = max(n.known, source.known)
	if n.known > 0 {
		n.chooser.MarkListed()
	}
	if f.ticks%heartbeatTicks == 0 {
		n.chooser.ObserveStatus(f.now, source.Name, feed.StoreStatus{Direct: source.plan.Read, Age: f.now.Sub(source.confirmed)})
	}
}

// check compares the revision of n with that of a node of another failure domain.
func (f *fleet) check(n *node) {
	other := f.byName[n.plan.Check]
	if other == nil || other.killed || other.frozen || f.ticks%heartbeatTicks != 0 {
		return
	}
	if n.chooser.ObserveGap(f.now, other.Name, reached(uint64(other.known)), reached(uint64(n.known))) { //nolint:gosec // small numbers
		n.known = other.known
	}
}

// read lists the store, watches it and probes it.
func (f *fleet) read(n *node, begins bool) {
	if n.known == 0 {
		f.calls += prefixes
		n.chooser.MarkListed()
	}
	if begins || f.ticks-n.watchTick >= watchTicks {
		f.calls += prefixes
		n.watchTick = f.ticks
		n.confirmed = f.now
	}
	if f.ticks%probeTicks == 0 {
		n.confirmed = f.now
	}
	if n.known < f.revision {
		f.calls++
		n.known = f.revision
	}
}

// stepUntilSynced steps until all running nodes have the newest revision. It returns the time that
// this took, at most limit.
func (f *fleet) stepUntilSynced(limit time.Duration) time.Duration {
	for took := time.Duration(0); took < limit; took += tick {
		f.step()
		if f.isSynced() {
			return took + tick
		}
	}
	return limit
}

func (f *fleet) isSynced() bool {
	for _, n := range f.nodes {
		if !n.killed && !n.frozen && n.known < f.revision {
			return false
		}
	}
	return true
}

func (f *fleet) stepMany(ticks int) {
	for range ticks {
		f.step()
	}
}

func (f *fleet) countReaders() int {
	count := 0
	for _, n := range f.nodes {
		if n.plan.Read && !n.killed {
			count++
		}
	}
	return count
}

func (f *fleet) listReaders() []*node {
	list := []*node{}
	for _, n := range f.nodes {
		if n.plan.Read {
			list = append(list, n)
		}
	}
	return list
}

// Deployments of 6, 68 and 420 ingresses run in a steady state while the configuration and the
// list of servers change once a second. If each ingress read the store, each change would be sent
// to all of them: 420 calls a second in the largest deployment. The number of calls must depend
// only on the failure domains and changes.
func TestStoreCallsScaleWithDomains(t *testing.T) {
	for _, c := range []struct{ size, domains int }{{6, 3}, {68, 6}, {420, 7}} {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.size, c.domains)
			f.stepMany(settleTicks)
			is.Equal(f.countReaders(), c.domains)
			before := f.calls
			const seconds = 8
			for range seconds {
				f.revision++
				is.True(f.stepUntilSynced(time.Second) <= 500*time.Millisecond)
				f.stepMany(int(time.Second/tick) / 2)
			}
			// Each change costs one call per domain, and watches that time out cost some more.
			is.True(f.calls-before <= seconds*c.domains*2)
		})
	}
}

// Ingresses that read the store for others are killed, freeze or lose their connection to the
// store, one alone or one in each failure domain at the same time, just before a server leaves.
// Every other ingress must learn of this while the server still accepts the requests sent to it.
func TestLostSourcesAreReplacedInTime(t *testing.T) {
	const limit = 2200 * time.Millisecond // the shortest drain is 2.5 s
	for _, c := range []struct{ size, domains int }{{6, 3}, {68, 6}, {420, 7}} {
		for _, failure := range []string{"killed", "frozen", "disconnected"} {
			for _, count := range []int{1, c.domains} {
				if c.size > 100 && count == 1 {
					continue // the largest deployment runs once for each kind of failure
				}
				t.Run(fmt.Sprintf("%d %s %d", c.size, failure, count), func(t *testing.T) {
					is := is.New(t)
					f := newFleet(c.size, c.domains)
					f.stepMany(settleTicks)
					lost := f.listReaders()[:count]
					for _, n := range lost {
						n.killed = failure == "killed"
						n.frozen = failure == "frozen"
						n.disconnected = failure == "disconnected"
					}
					f.revision++
					is.True(f.stepUntilSynced(5*time.Second) <= limit)
					f.stepMany(settleTicks)
					is.True(f.countReaders() <= c.domains+count)
				})
			}
		}
	}
}

// All ingresses lose power and restart at the same time. One of each failure domain must read the
// listings for the others: the number of calls per start must not grow with the number of
// ingresses, and all must be up to date within a second.
func TestStoreCallsPerStartDoNotGrow(t *testing.T) {
	is := is.New(t)
	perStart := func(size, domains int) float64 {
		f := newFleet(size, domains)
		f.stepMany(settleTicks)
		before := f.calls
		for _, n := range f.nodes {
			f.start(n)
		}
		is.True(f.stepUntilSynced(3*time.Second) < time.Second)
		f.stepMany(settleTicks / 4)
		return float64(f.calls-before) / float64(size)
	}
	small := perStart(68, 7)
	is.True(small <= 3)
	is.True(perStart(420, 7) <= small)
}
