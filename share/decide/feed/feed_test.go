package feed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/feed"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
)

var start = time.Unix(1000, 0) //nolint:gochecknoglobals // a constant in all but syntax

func after(d time.Duration) time.Time { return start.Add(d) }

func newMember(name, domain string) feed.Member {
	return feed.Member{Name: name, Domain: domain, Region: domain[:1], Weight: 1}
}

// healthy returns the status of an ingress that reads the store and gets answers.
func healthy() feed.StoreStatus { return feed.StoreStatus{Direct: true, Age: 100 * time.Millisecond} }

// newFollower returns a chooser that follows the member "a", whose weight is far higher than that
// of the others.
func newFollower(others ...feed.Member) *feed.Chooser {
	heavy := newMember("a", "x1")
	heavy.Weight = 1e9
	c := feed.NewChooser(newMember("self", "x1"), start)
	c.MarkListed()
	c.SetMembers(start, append([]feed.Member{heavy}, others...))
	c.Plan(start)
	c.ObserveStreamOpened("a")
	c.ObserveStatus(start, "a", healthy())
	return c
}

func TestOnlyIngressOfDomainReads(t *testing.T) {
	is := is.New(t)
	c := feed.NewChooser(newMember("self", "x1"), start)
	is.Equal(c.Plan(start), feed.Plan{})
	c.SetMembers(start, []feed.Member{newMember("b", "x2"), newMember("c", "y1")})
	is.Equal(c.Plan(start), feed.Plan{Read: true, Check: "b"}) // there is no other ingress in its failure domain
}

// A process starts while the store does not answer it, so it does not discover the other
// ingresses. It must soon start to read the store directly.
func TestStartWithoutKnownMembersReads(t *testing.T) {
	is := is.New(t)
	c := feed.NewChooser(newMember("self", "x1"), start)
	is.Equal(c.Plan(after(500*time.Millisecond)).Read, false)
	is.Equal(c.Plan(after(1200*time.Millisecond)).Read, true)
}

// Guards against many readers of the store at a first start: the store answers slowly, so an ingress learns of the
// others later than one that gets no answer begins to read.
func TestStartDoesNotReadWhileTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	c := feed.NewChooser(newMember("self", "x1"), start)
	c.ObserveOwnAge(after(500*time.Millisecond), 0, time.Minute)
	c.ObserveOwnAge(after(1200*time.Millisecond), 700*time.Millisecond, time.Minute)
	is.Equal(c.Plan(after(1050*time.Millisecond)).Read, false)
	is.Equal(c.Plan(after(1700*time.Millisecond)).Read, true) // it has stopped answering
}

func TestFollowerDoesNotRead(t *testing.T) {
	is := is.New(t)
	c := newFollower()
	is.Equal(c.Plan(start), feed.Plan{Follow: "a"})
	is.True(c.IsSourceFresh(start))
}

// The ingress that reads the store for a failure domain loses its connection to it, and reports
// a growing age in its heartbeats. Its followers must switch to another source well before a
// draining server may refuse the requests that are still sent to it.
func TestStaleSourceIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newFollower(newMember("b", "x1"))
	for at := time.Duration(0); at < 1200*time.Millisecond; at += 300 * time.Millisecond {
		c.ObserveStatus(after(at), "a", feed.StoreStatus{Direct: true, Age: 100*time.Millisecond + at})
	}
	is.Equal(c.Plan(after(1200*time.Millisecond)).Follow, "a")
	plan := c.Plan(after(1600 * time.Millisecond))
	is.True(plan.Follow != "a")
	is.True(plan.Follow == "b" || plan.Read) // the next in rank, which may be this ingress
}

// The source is killed and its stream ends. The next ingress in rank must be followed at once.
func TestLostSourceIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newFollower(newMember("b", "x1"))
	c.ObserveStreamEnded(after(time.Second), "a")
	c.SetMembers(after(time.Second), []feed.Member{newMember("b", "x1")})
	plan := c.Plan(after(time.Second))
	is.True(plan.Follow == "b" || plan.Read)
}

// No source of a failure domain is healthy. Each ingress must soon read the store directly, but
// not all of them at the same time.
func TestIngressesWithoutSourceReadAfterJitter(t *testing.T) {
	is := is.New(t)
	readTimes := map[time.Duration]bool{}
	for _, name := range []string{"k", "l", "m", "n", "o"} {
		heavy := newMember("a", "x1")
		heavy.Weight = 1e9
		c := feed.NewChooser(newMember(name, "x1"), start)
		c.MarkListed()
		c.SetMembers(start, []feed.Member{heavy})
		at := time.Duration(0)
		for !c.Plan(after(at)).Read && at < 5*time.Second {
			at += 10 * time.Millisecond
		}
		is.True(at >= 500*time.Millisecond)
		is.True(at <= 1200*time.Millisecond)
		readTimes[at] = true
	}
	is.True(len(readTimes) > 1)
}

// An ingress with a high weight joins. Its whole failure domain must not follow it before it has
// had time to catch up.
func TestNewMemberIsFollowedAfterSettleTime(t *testing.T) {
	is := is.New(t)
	c := newFollower()
	huge := newMember("huge", "x1")
	huge.Weight = 1e18
	heavy := newMember("a", "x1")
	heavy.Weight = 1e9
	for at := time.Second; at < 6*time.Second; at += 100 * time.Millisecond {
		c.SetMembers(after(at), []feed.Member{heavy, huge})
		c.ObserveStatus(after(at), "a", healthy())
		plan := c.Plan(after(at))
		is.Equal(plan.Read, false)
		is.Equal(plan.Follow == "huge", at >= 4*time.Second)
		c.ObserveStreamOpened("huge")
		c.ObserveStatus(after(at), "huge", healthy())
	}
}

// Other ingresses follow this one and expect it to read the store. It must do so, although it
// follows a source itself.
func TestFollowedIngressReads(t *testing.T) {
	is := is.New(t)
	c := newFollower()
	c.SetFollowers(1)
	is.Equal(c.Plan(start), feed.Plan{Follow: "a", Read: true})
	c.SetFollowers(0)
	c.ObserveStatus(after(4*time.Second), "a", healthy())
	is.Equal(c.Plan(after(4*time.Second)).Read, false)
}

// reached returns the extent of a copy that has reached a revision of the first era.
func reached(number uint64) mirror.Extent {
	revision := site.Revision{Number: number}
	return mirror.Extent{NewestRevision: revision, CompleteRevision: revision}
}

// A heartbeat reports a change whose record is already in flight. Records must be requested only
// if they are still missing after gapTimeout.
func TestPersistentGapIsRequested(t *testing.T) {
	is := is.New(t)
	c := newFollower()
	is.True(!c.ObserveGap(start, "b", reached(7), reached(5)))
	is.True(!c.ObserveGap(after(100*time.Millisecond), "b", reached(7), reached(7)))
	is.True(!c.ObserveGap(after(200*time.Millisecond), "b", reached(8), reached(7)))
	is.True(c.ObserveGap(after(500*time.Millisecond), "b", reached(8), reached(7)))
}

// Servers change continuously: each heartbeat reports a change that has not arrived yet, while the
// one reported before has. Nothing is missing, so nothing must be requested.
func TestSteadyChangesAreNoGap(t *testing.T) {
	is := is.New(t)
	c := newFollower()
	for heartbeat := range 20 {
		at := time.Duration(heartbeat) * 300 * time.Millisecond
		is.True(!c.ObserveGap(after(at), "b", reached(uint64(heartbeat)+2), reached(uint64(heartbeat)+1))) //nolint:gosec // a small number
	}
}

// An ingress that shuts down must leave reading the store to another one if there is one.
func TestLeavingIngressDoesNotChooseItself(t *testing.T) {
	is := is.New(t)
	c := feed.NewChooser(feed.Member{Name: "self", Domain: "x1", Region: "x", Weight: 1e9}, start)
	c.MarkListed()
	c.SetMembers(start, []feed.Member{newMember("b", "x1")})
	is.Equal(c.Plan(start).Follow, "")
	c.MarkLeaving()
	is.Equal(c.Plan(start).Follow, "b")
}

// An ingress that reads the store for its failure domain loses its connection to it. It must
// follow another ingress, as the others do. If that one fails too, it must read the store again.
func TestDisconnectedReaderFollowsAnother(t *testing.T) {
	is := is.New(t)
	c := feed.NewChooser(feed.Member{Name: "self", Domain: "x1", Region: "x", Weight: 1e9}, start)
	c.MarkListed()
	c.SetMembers(start, []feed.Member{newMember("b", "x1")})
	c.ObserveOwnAge(after(5*time.Second), 400*time.Millisecond, 2*time.Second)
	is.Equal(c.Plan(after(5*time.Second)), feed.Plan{Read: true})
	c.ObserveOwnAge(after(6500*time.Millisecond), 1900*time.Millisecond, 2*time.Second)
	is.Equal(c.Plan(after(6500*time.Millisecond)).Follow, "b")
	c.ObserveOwnAge(after(7500*time.Millisecond), 2900*time.Millisecond, 2*time.Second)
	c.ObserveStreamEnded(after(7500*time.Millisecond), "b")
	is.Equal(c.Plan(after(7500*time.Millisecond)), feed.Plan{Read: true})
}

// Guards against overloading a congested link: each additional copy of the records that is
// requested delays those in flight.
func TestNoRequestWhileRecordsArrive(t *testing.T) {
	is := is.New(t)
	c := newFollower(newMember("b", "x2"), newMember("d", "y1"))
	is.True(!c.ObserveGap(start, "b", reached(7), reached(6)))
	is.True(!c.ObserveGap(start, "d", reached(7), reached(6)))
	for at := time.Duration(0); at <= 3*time.Second; at += 300 * time.Millisecond {
		c.ObserveMessagePart(after(at), true)
		is.True(!c.ObserveGap(after(at), "b", reached(7), reached(6)))
	}
	c.ObserveMessageEnd(true)
	is.True(c.ObserveGap(after(3300*time.Millisecond), "b", reached(7), reached(6)))  // the message did not contain the missing records
	is.True(!c.ObserveGap(after(3400*time.Millisecond), "d", reached(7), reached(6))) // the first request is not answered yet
	c.ObserveMessageEnd(false)
	is.True(c.ObserveGap(after(3500*time.Millisecond), "d", reached(7), reached(6)))
}

// Guards against abandoning a source in the middle of a large message, behind which its heartbeats
// are queued.
func TestSourceIsKeptWhileItsRecordsArrive(t *testing.T) {
	is := is.New(t)
	c := newFollower(newMember("b", "x1"))
	for at := time.Duration(0); at <= 4*time.Second; at += 200 * time.Millisecond {
		c.ObserveMessagePart(after(at), true)
		is.Equal(c.Plan(after(at)), feed.Plan{Follow: "a"})
	}
	is.True(c.Plan(after(5*time.Second)).Follow != "a") // nothing more has arrived
}

// Guards against a herd of readers three seconds after many ingresses have started together: one that read
// the store only until its source was found must not start to read again.
func TestReadingDoesNotResumeAfterTheStart(t *testing.T) {
	is := is.New(t)
	c := feed.NewChooser(newMember("self", "x1"), start)
	is.True(c.Plan(after(1200 * time.Millisecond)).Read)
	heavy := newMember("a", "x1")
	heavy.Weight = 1e9
	at := 1400 * time.Millisecond
	c.SetMembers(after(at), []feed.Member{heavy})
	is.Equal(c.Plan(after(at)).Follow, "a")
	c.ObserveStreamOpened("a")
	c.MarkListed()
	for ; at < 5*time.Second; at += 100 * time.Millisecond {
		c.ObserveStatus(after(at), "a", healthy())
		is.True(!c.Plan(after(at)).Read)
	}
}
