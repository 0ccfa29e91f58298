// Package feed decides from whom an ingress hears what the platform's store says.
//
// One ingress of each failure domain watches the store; the others follow it, and it
// pushes each change to them. So the calls to the store go by failure domains and
// changes and not by ingresses. There is no election: each ingress ranks the ones that it can
// reach by rendezvous hashing, and whoever is followed watches. Two that watch for one
// domain cost a few calls and nothing else.
//
// In: the ingresses that can be reached, what they say of their own reading, the
// state of the stream by which one is followed. Out: whom to follow, whose digests
// to compare, and whether to read the store oneself.
package feed

import (
	"time"

	"verbenaroad.example/share/modules/rhash"
)

const (
	// maxAge is how old a followed ingress's word of the store may be. One that watches
	// confirms it each ProbeEvery, so it has missed four answers by then, or the store
	// takes a second for each.
	maxAge = 1500 * time.Millisecond
	// maxOwnAge is the same for an ingress that does not watch: its lease is renewed each
	// two seconds, and sooner after a renewal that failed.
	maxOwnAge = 3500 * time.Millisecond
	// tickTime is longer than the time between two plans.
	tickTime = 300 * time.Millisecond
	// openTimeout is the time from asking to follow until the first answer and a fresh
	// word: a session between regions needs three ways, and the one that is followed
	// may have to ask the store first.
	openTimeout = 900 * time.Millisecond
	// doubtTime is how long one that failed is passed over.
	doubtTime = 3 * time.Second
	// settleTime is how long a better ranked ingress is known before it is followed in
	// place of one that does well.
	//
	// Guards against a whole domain that runs from one to the next while a fleet
	// starts, and onto an ingress that has just started and has to catch up itself.
	settleTime = 3 * time.Second
	// aloneAfter is how long an ingress without a source waits before it reads for itself,
	// and aloneSpread what is added to it, by the ingress's name.
	//
	// Guards against a herd: a source that is lost is lost to its whole domain, and one
	// of them that reads is enough for the others.
	aloneAfter  = 600 * time.Millisecond
	aloneSpread = 500 * time.Millisecond
	// firstAfter is how much longer a starting ingress waits for its first picture, and
	// firstBound the same where the one that it follows does well and has to read it itself.
	//
	// Guards against a fleet that starts at once, of which each reads whole listings: together
	// they are more than the store can send in seconds.
	firstAfter = time.Second
	firstBound = 5 * time.Second
	// keepReading is how long an ingress reads on that need not any more: beginning anew
	// costs a call. One that has just started gives up at once, as many others do.
	keepReading = 2 * time.Second
	// gapTime is how long another ingress may be known to be ahead before it is asked for
	// what is missing: what is pushed is on its way meanwhile.
	gapTime = 250 * time.Millisecond
	// arrivalTime is how long after a part of a message the next one is expected.
	arrivalTime = 700 * time.Millisecond
)

// ProbeEvery is how often an ingress that watches has the store confirm that it answers.
const ProbeEvery = 300 * time.Millisecond

// Member is an ingress that can be reached.
type Member struct {
	Name   string
	Domain string
	Region string
	// Weight is above 0; the heavier are followed more often.
	Weight float64
}

// Word is what an ingress says of its own reading.
type Word struct {
	// Direct: it watches the store itself.
	Direct bool
	// Age is the time since the store confirmed anything to it.
	Age time.Duration
}

// Plan is what is to be done now.
type Plan struct {
	// Follow is the ingress whose pushes are taken; empty: none.
	Follow string
	// Check is another one, of another failure domain, whose digests are compared.
	Check string
	// Read: this ingress watches the store itself.
	Read bool
}

// Chooser decides for one ingress; its caller guards it.
type Chooser struct {
	self Member
	// startedAt is when this ingress began.
	startedAt time.Time
	// members are the others that can be reached, by name, and domains their names by failure
	// domain. checks are the other failure domains in the order in which they are picked for digests.
	members map[string]member
	domains map[string][]string
	checks  []string
	// follow is whom this ingress follows, or asks to; askedAt since when.
	follow  string
	askedAt time.Time
	// opened tells whether the stream of follow has brought its first answer.
	opened bool
	// doubted are passed over until a time.
	doubted map[string]time.Time
	// badSince is when the last good source was lost; zero while there is one.
	badSince time.Time
	// neededAt is when this ingress last had to read for itself; reading is the last plan's word.
	neededAt  time.Time
	reading   bool
	followers int
	// knowsMembers is set once it is known who else there is, listed once the first picture
	// of everything is there.
	knowsMembers bool
	listed       bool
	leaving      bool
	// gaps holds by name where others are that are ahead of this ingress.
	gaps map[string]gap
	// askedGapAt is when another ingress was last asked for what is missing; zero once it has answered.
	askedGapAt time.Time
	// arrivedAt is when a part of a message of records last arrived that is not whole yet,
	// from any ingress, and fedAt the same from the followed one; zero where there is none.
	arrivedAt, fedAt time.Time
}

// member is an ingress that has been reachable since a time; word is what it said last, at heardAt.
type member struct {
	Member
	since   time.Time
	word    Word
	heardAt time.Time
}

// gap is a revision that another ingress knows and this one did not at a time.
type gap struct {
	revision uint64
	since    time.Time
}

// NewChooser returns a chooser that knows nobody.
func NewChooser(self Member, now time.Time) *Chooser {
	return &Chooser{
		self: self, startedAt: now, badSince: now,
		members: map[string]member{}, doubted: map[string]time.Time{}, gaps: map[string]gap{},
	}
}

// TakeMembers takes the ingresses that can be reached, without this one.
func (c *Chooser) TakeMembers(now time.Time, members []Member) {
	if !c.knowsMembers {
		c.knowsMembers = true
		c.badSince = now
	}
	known := c.members
	c.members = make(map[string]member, len(members))
	for _, m := range members {
		old, was := known[m.Name]
		if !was {
			old.since = now
		}
		old.Member = m
		c.members[m.Name] = old
	}
	c.orderDomains()
	if _, is := c.members[c.follow]; !is {
		c.drop()
	}
	for name, until := range c.doubted {
		if !now.Before(until) {
			delete(c.doubted, name)
		}
	}
}

// orderDomains sorts the members by failure domain. The domains of the own region are
// checked first, and all ingresses of a domain have the same order.
func (c *Chooser) orderDomains() {
	c.domains = map[string][]string{}
	near, far := []string{}, []string{}
	for name, m := range c.members {
		if c.domains[m.Domain] == nil && m.Domain != c.self.Domain {
			if m.Region == c.self.Region {
				near = append(near, m.Domain)
			} else {
				far = append(far, m.Domain)
			}
		}
		c.domains[m.Domain] = append(c.domains[m.Domain], name)
	}
	key := "check/" + c.self.Domain
	c.checks = append(rhash.Pick(key, near, len(near)), rhash.Pick(key, far, len(far))...)
}

// TakeOwn takes how long the store has not answered this ingress itself.
func (c *Chooser) TakeOwn(now time.Time, silence time.Duration) {
	bound := maxAge
	if !c.reading {
		bound = maxOwnAge // it asks less often
	}
	if c.listed && silence > bound {
		c.doubted[c.self.Name] = now.Add(tickTime)
	}
}

// TakeWord takes what another ingress says of its reading.
func (c *Chooser) TakeWord(now time.Time, name string, w Word) {
	m, is := c.members[name]
	if !is {
		return
	}
	m.word = w
	m.heardAt = now
	c.members[name] = m
}

// TakeOpened notes that the stream of the followed ingress brought its first answer.
func (c *Chooser) TakeOpened(name string) {
	if name == c.follow {
		c.opened = true
	}
}

// TakeEnded notes that the stream of an ingress ended.
func (c *Chooser) TakeEnded(now time.Time, name string) {
	if name != c.follow {
		return
	}
	c.doubt(now, name)
}

// TakeFollowers notes how many others follow this ingress.
func (c *Chooser) TakeFollowers(n int) { c.followers = n }

// TakeListed notes that this ingress has a first picture of everything.
func (c *Chooser) TakeListed() { c.listed = true }

// TakeLeaving notes that this ingress stops.
func (c *Chooser) TakeLeaving() { c.leaving = true }

// TakeArrival notes a part of a message of records, from the followed ingress or from one that was asked.
func (c *Chooser) TakeArrival(now time.Time, fed bool) {
	c.arrivedAt = now
	if fed {
		c.fedAt = now
	}
}

// TakeWhole notes that such a message is whole and taken, or was given up.
func (c *Chooser) TakeWhole(fed bool) {
	c.arrivedAt = time.Time{}
	if fed {
		c.fedAt = time.Time{}
		return
	}
	c.askedGapAt = time.Time{}
}

// IsReceiving tells whether records are on their way here already.
//
// Guards against a congested link: each copy that is asked for delays those under way.
func (c *Chooser) IsReceiving(now time.Time) bool {
	return now.Sub(c.arrivedAt) < arrivalTime || now.Sub(c.askedGapAt) < arrivalTime
}

// isFed tells whether records are on their way from the followed ingress.
func (c *Chooser) isFed(now time.Time) bool {
	return c.follow != "" && now.Sub(c.fedAt) < arrivalTime
}

// NoteGap notes up to which revision another ingress and this one know the store, and
// tells whether the other is to be asked: this one has not come up in gapTime to where the other was,
// and nothing is on its way.
func (c *Chooser) NoteGap(now time.Time, name string, theirs, own uint64) (ask bool) {
	g, noted := c.gaps[name]
	switch {
	case theirs <= own:
		delete(c.gaps, name)
	case !noted || g.revision <= own:
		c.gaps[name] = gap{revision: theirs, since: now}
	case now.Sub(g.since) >= gapTime && !c.IsReceiving(now):
		delete(c.gaps, name)
		c.askedGapAt = now
		return true
	}
	return false
}

// IsGood tells whether the followed ingress knows the store well.
func (c *Chooser) IsGood(now time.Time) bool {
	m, is := c.members[c.follow]
	return is && c.opened && isFresh(now, m)
}

func isFresh(now time.Time, m member) bool {
	return !m.heardAt.IsZero() && m.word.Direct && m.word.Age+now.Sub(m.heardAt) <= maxAge
}

// Plan decides. Before it is known who else there is nobody is followed, and the store
// is not read: a fleet that starts at once would read it as often as there are ingresses.
func (c *Chooser) Plan(now time.Time) Plan {
	c.judge(now)
	if c.knowsMembers {
		c.choose(now)
	}
	c.reading = c.mustRead(now)
	return Plan{Follow: c.follow, Check: c.pickCheck(now), Read: c.reading}
}

// judge doubts a followed ingress that does not know the store well. One whose records are
// arriving is left its time: its heartbeats may wait behind them.
func (c *Chooser) judge(now time.Time) {
	if c.follow == "" || c.IsGood(now) || c.isFed(now) {
		return
	}
	if now.Sub(c.askedAt) >= openTimeout {
		c.doubt(now, c.follow)
	}
}

func (c *Chooser) doubt(now time.Time, name string) {
	c.doubted[name] = now.Add(doubtTime)
	if name == c.follow {
		c.drop()
	}
}

func (c *Chooser) drop() {
	c.follow = ""
	c.opened = false
}

func (c *Chooser) isDoubted(now time.Time, name string) bool {
	return now.Before(c.doubted[name])
}

// choose follows the first by rank that is not doubted; where that is this ingress it follows nobody.
func (c *Chooser) choose(now time.Time) {
	best := c.rankFirst(now)
	if best == c.follow {
		return
	}
	if c.isServed(now) && !c.isBetter(now, best) {
		return
	}
	c.drop()
	if best == c.self.Name {
		return
	}
	c.follow = best
	c.askedAt = now
}

// isServed tells whether the present choice can stay for a while: who is followed does
// well, or this ingress reads for itself and has done so for some time.
func (c *Chooser) isServed(now time.Time) bool {
	if c.follow == "" {
		return c.listed && now.Sub(c.startedAt) >= settleTime
	}
	return c.IsGood(now)
}

// isBetter tells whether an ingress of better rank may be followed in place of one that
// does well: it has been reachable for a while, and if it said anything of its reading,
// that was good.
//
// Guards against a domain that goes back again and again to an ingress that is cut off
// from the store.
func (c *Chooser) isBetter(now time.Time, name string) bool {
	m, is := c.members[name]
	if !is {
		return true // this ingress itself
	}
	return now.Sub(m.since) >= settleTime && (m.heardAt.IsZero() || isFresh(now, m))
}

// rankFirst returns who watches for this failure domain, as far as this ingress knows.
func (c *Chooser) rankFirst(now time.Time) string {
	candidates := c.listDomain(now, c.self.Domain)
	if !c.leaving && !c.isDoubted(now, c.self.Name) || len(candidates) == 0 {
		candidates = append(candidates, rhash.Weighted{Name: c.self.Name, Weight: c.self.Weight})
	}
	return first(c.self.Domain, candidates)
}

// listDomain returns the reachable members of a domain that are not doubted.
func (c *Chooser) listDomain(now time.Time, domain string) []rhash.Weighted {
	list := []rhash.Weighted{}
	for _, name := range c.domains[domain] {
		if !c.isDoubted(now, name) {
			list = append(list, rhash.Weighted{Name: name, Weight: c.members[name].Weight})
		}
	}
	return list
}

func first(domain string, candidates []rhash.Weighted) string {
	return rhash.FirstWeighted("store/"+domain, candidates)
}

// pickCheck returns who watches for another failure domain.
func (c *Chooser) pickCheck(now time.Time) string {
	for _, domain := range c.checks {
		if name := first(domain, c.listDomain(now, domain)); name != "" {
			return name
		}
	}
	return ""
}

// mustRead tells whether this ingress watches the store itself.
func (c *Chooser) mustRead(now time.Time) bool {
	if c.IsGood(now) || c.isFed(now) {
		c.badSince = time.Time{}
	} else if c.badSince.IsZero() {
		c.badSince = now
	}
	alone := c.knowsMembers && c.follow == "" || !c.badSince.IsZero() && now.Sub(c.badSince) >= c.patience()
	if alone || c.isLate(now) || c.followers > 0 {
		c.neededAt = now
	}
	if now.Sub(c.startedAt) < settleTime {
		return c.neededAt.Equal(now)
	}
	return now.Sub(c.neededAt) < keepReading
}

// isLate tells whether the first picture should have been there by now.
func (c *Chooser) isLate(now time.Time) bool {
	if c.listed {
		return false
	}
	bound := firstAfter
	if c.IsGood(now) {
		bound = firstBound
	}
	return now.Sub(c.startedAt) >= bound+c.patience()
}

// patience is how long this ingress goes without a source before it reads for itself.
func (c *Chooser) patience() time.Duration {
	part := float64(rhash.Score("patience", c.self.Name)>>scoreShift) / (1 << scoreBits)
	return aloneAfter + time.Duration(part*float64(aloneSpread))
}

const (
	// scoreBits is how much of a hash score a float64 holds exactly.
	scoreBits  = 53
	scoreShift = 64 - scoreBits
)
