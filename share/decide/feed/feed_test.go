package feed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/feed"
)

var begin = time.Unix(1000, 0) //nolint:gochecknoglobals // a constant in all but syntax

func after(d time.Duration) time.Time { return begin.Add(d) }

func newMember(name, domain string) feed.Member {
	return feed.Member{Name: name, Domain: domain, Region: domain[:1], Weight: 1}
}

// well is the word of an ingress whose store answers.
func well() feed.Word { return feed.Word{Direct: true, Age: 100 * time.Millisecond} }

// follower returns a chooser that follows the member "a", which is far heavier than the others.
func newFollower(others ...feed.Member) *feed.Chooser {
	heavy := newMember("a", "x1")
	heavy.Weight = 1e9
	c := feed.NewChooser(newMember("self", "x1"), begin)
	c.TakeListed()
	c.TakeMembers(begin, append([]feed.Member{heavy}, others...))
	c.Plan(begin)
	c.TakeOpened("a")
	c.TakeWord(begin, "a", well())
	return c
}

func TestAloneReadsForItself(t *testing.T) {
	is := is.New(t)
	c := feed.NewChooser(newMember("self", "x1"), begin)
	is.Equal(c.Plan(begin), feed.Plan{})
	c.TakeMembers(begin, []feed.Member{newMember("b", "x2"), newMember("c", "y1")})
	is.Equal(c.Plan(begin), feed.Plan{Read: true, Check: "b"}) // nobody else in its failure domain
}

// A process starts while the store does not answer it, so that it does not learn who
// else there is. It must go on trying by itself before long.
func TestStartWithoutNeighboursReads(t *testing.T) {
	is := is.New(t)
	c := feed.NewChooser(newMember("self", "x1"), begin)
	is.Equal(c.Plan(after(500*time.Millisecond)).Read, false)
	is.Equal(c.Plan(after(1200*time.Millisecond)).Read, true)
}

func TestFollowerDoesNotRead(t *testing.T) {
	is := is.New(t)
	c := newFollower()
	is.Equal(c.Plan(begin), feed.Plan{Follow: "a"})
	is.True(c.IsGood(begin))
}

// The ingress that watches for a failure domain is cut off from the store, and says in its
// heartbeats that the store confirmed nothing for some time. Its followers must go on to
// another one long before a leaving server may refuse what is sent to it.
func TestSourceThatIsCutOffIsPassedOver(t *testing.T) {
	is := is.New(t)
	c := newFollower(newMember("b", "x1"))
	for at := time.Duration(0); at < 1200*time.Millisecond; at += 300 * time.Millisecond {
		c.TakeWord(after(at), "a", feed.Word{Direct: true, Age: 100*time.Millisecond + at})
	}
	is.Equal(c.Plan(after(1200*time.Millisecond)).Follow, "a")
	plan := c.Plan(after(1600 * time.Millisecond))
	is.True(plan.Follow != "a")
	is.True(plan.Follow == "b" || plan.Read) // the next by rank, which may be this one
}

// The stream of the followed ingress breaks off as it is killed. The next one is followed at once.
func TestLostSourceIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newFollower(newMember("b", "x1"))
	c.TakeEnded(after(time.Second), "a")
	c.TakeMembers(after(time.Second), []feed.Member{newMember("b", "x1")})
	plan := c.Plan(after(time.Second))
	is.True(plan.Follow == "b" || plan.Read)
}

// Every ingress of a failure domain says that the store is silent. Each of the others
// must read for itself before long, but not all of them at the same moment.
func TestWithoutSourceEachReadsInItsTime(t *testing.T) {
	is := is.New(t)
	begins := map[time.Duration]bool{}
	for _, name := range []string{"k", "l", "m", "n", "o"} {
		heavy := newMember("a", "x1")
		heavy.Weight = 1e9
		c := feed.NewChooser(newMember(name, "x1"), begin)
		c.TakeListed()
		c.TakeMembers(begin, []feed.Member{heavy})
		at := time.Duration(0)
		for !c.Plan(after(at)).Read && at < 5*time.Second {
			at += 10 * time.Millisecond
		}
		is.True(at >= 500*time.Millisecond)
		is.True(at <= 1200*time.Millisecond)
		begins[at] = true
	}
	is.True(len(begins) > 1)
}

// A large ingress joins. It must not be followed by its whole failure domain before it had
// the time to catch up.
func TestNewcomerIsFollowedLater(t *testing.T) {
	is := is.New(t)
	c := newFollower()
	huge := newMember("huge", "x1")
	huge.Weight = 1e18
	heavy := newMember("a", "x1")
	heavy.Weight = 1e9
	for at := time.Second; at < 6*time.Second; at += 100 * time.Millisecond {
		c.TakeMembers(after(at), []feed.Member{heavy, huge})
		c.TakeWord(after(at), "a", well())
		plan := c.Plan(after(at))
		is.Equal(plan.Read, false)
		is.Equal(plan.Follow == "huge", at >= 4*time.Second)
		c.TakeOpened("huge")
		c.TakeWord(after(at), "huge", well())
	}
}

// Others follow this ingress, which they believe watches the store. It must do so, whatever it thinks itself.
func TestFollowedIngressReads(t *testing.T) {
	is := is.New(t)
	c := newFollower()
	c.TakeFollowers(1)
	is.Equal(c.Plan(begin), feed.Plan{Follow: "a", Read: true})
	c.TakeFollowers(0)
	c.TakeWord(after(4*time.Second), "a", well())
	is.Equal(c.Plan(after(4*time.Second)).Read, false)
}

// A heartbeat tells of a change that is on its way here already. Only what is missing for longer is asked for.
func TestGapIsAskedForWhenItStays(t *testing.T) {
	is := is.New(t)
	c := newFollower()
	is.True(!c.NoteGap(begin, "b", 7, 5))
	is.True(!c.NoteGap(after(100*time.Millisecond), "b", 7, 7))
	is.True(!c.NoteGap(after(200*time.Millisecond), "b", 8, 7))
	is.True(c.NoteGap(after(500*time.Millisecond), "b", 8, 7))
}

// Servers change all the time, and each heartbeat tells of a change that is not here yet,
// while what the one before told of has come. Nothing is missing, and nobody is asked.
func TestSteadyChangesAreNoGap(t *testing.T) {
	is := is.New(t)
	c := newFollower()
	for beat := range 20 {
		at := time.Duration(beat) * 300 * time.Millisecond
		is.True(!c.NoteGap(after(at), "b", uint64(beat)+2, uint64(beat)+1)) //nolint:gosec // a small number
	}
}

// A stopping ingress leaves the watch to another one while there is one.
func TestLeavingIngressDoesNotChooseItself(t *testing.T) {
	is := is.New(t)
	c := feed.NewChooser(feed.Member{Name: "self", Domain: "x1", Region: "x", Weight: 1e9}, begin)
	c.TakeListed()
	c.TakeMembers(begin, []feed.Member{newMember("b", "x1")})
	is.Equal(c.Plan(begin).Follow, "")
	c.TakeLeaving()
	is.Equal(c.Plan(begin).Follow, "b")
}

// An ingress that watches for its failure domain is cut off from the store. It must follow
// another one, as everyone else there does; when all are cut off it goes on trying.
func TestCutOffIngressFollowsAnother(t *testing.T) {
	is := is.New(t)
	c := feed.NewChooser(feed.Member{Name: "self", Domain: "x1", Region: "x", Weight: 1e9}, begin)
	c.TakeListed()
	c.TakeMembers(begin, []feed.Member{newMember("b", "x1")})
	c.TakeOwn(after(5*time.Second), 400*time.Millisecond)
	is.Equal(c.Plan(after(5*time.Second)), feed.Plan{Read: true})
	c.TakeOwn(after(6500*time.Millisecond), 1900*time.Millisecond)
	is.Equal(c.Plan(after(6500*time.Millisecond)).Follow, "b")
	c.TakeOwn(after(7500*time.Millisecond), 2900*time.Millisecond)
	c.TakeEnded(after(7500*time.Millisecond), "b")
	is.Equal(c.Plan(after(7500*time.Millisecond)), feed.Plan{Read: true})
}

// Guards against a full link: each further copy of the records that is asked for delays those under way.
func TestNobodyIsAskedWhileRecordsArrive(t *testing.T) {
	is := is.New(t)
	c := newFollower(newMember("b", "x2"), newMember("d", "y1"))
	is.True(!c.NoteGap(begin, "b", 7, 6))
	is.True(!c.NoteGap(begin, "d", 7, 6))
	for at := time.Duration(0); at <= 3*time.Second; at += 300 * time.Millisecond {
		c.TakeArrival(after(at), true)
		is.True(!c.NoteGap(after(at), "b", 7, 6))
	}
	c.TakeWhole(true)
	is.True(c.NoteGap(after(3300*time.Millisecond), "b", 7, 6))  // it did not bring what is missing
	is.True(!c.NoteGap(after(3400*time.Millisecond), "d", 7, 6)) // the first one is to answer
	c.TakeWhole(false)
	is.True(c.NoteGap(after(3500*time.Millisecond), "d", 7, 6))
}

// Guards against a source that is given up in the middle of a large message, behind which its heartbeats wait.
func TestSourceWhoseRecordsArriveIsKept(t *testing.T) {
	is := is.New(t)
	c := newFollower(newMember("b", "x1"))
	for at := time.Duration(0); at <= 4*time.Second; at += 200 * time.Millisecond {
		c.TakeArrival(after(at), true)
		is.Equal(c.Plan(after(at)), feed.Plan{Follow: "a"})
	}
	is.True(c.Plan(after(5*time.Second)).Follow != "a") // nothing more came
}
