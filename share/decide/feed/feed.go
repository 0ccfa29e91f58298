// Package feed decides from which source an ingress gets updates of the platform's store.
//
// One ingress of each failure domain reads the store directly. The others follow it, and it
// pushes each change to them. The number of calls to the store thus grows with the number of
// failure domains and changes, and not with the number of ingresses. There is no leader election:
// each ingress ranks the ingresses that it can reach by rendezvous hashing and follows the first,
// and an ingress that is followed reads the store. If two ingresses read it for one failure
// domain, the only cost is a few more calls.
//
// The input is the set of reachable ingresses, the status that they report of their own
// connection to the store, and the state of the stream from the followed ingress. The output is
// which ingress to follow, whose reported revisions to compare with those reached here, and whether
// to read the store directly.
package feed

import (
	"time"

	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/modules/rhash"
)

const (
	// maxSourceAge is how long ago the store may last have answered a followed ingress. An
	// ingress that reads the store probes it every ProbeEvery, so at this age it has missed
	// four answers, or the store takes a second for each.
	maxSourceAge = 1500 * time.Millisecond
	// maxPlanInterval is longer than the time between two calls of Plan.
	maxPlanInterval = 300 * time.Millisecond
	// openTimeout is the time from the request to follow an ingress until its first message
	// and a fresh status: opening a session between regions takes three one-way trips, and
	// the followed ingress may have to ask the store first.
	openTimeout = 900 * time.Millisecond
	// suspectTime is how long an ingress that failed as the source is not chosen again.
	suspectTime = 3 * time.Second
	// settleTime is how long a higher-ranked ingress must be known before it is followed in
	// place of a healthy source.
	//
	// Without it a whole failure domain would switch from one source to the next while the
	// ingresses start, and to an ingress that has just started and must itself catch up.
	settleTime = 3 * time.Second
	// noSourceDelay is how long an ingress without a source waits before it reads the store
	// directly. noSourceJitter limits the additional delay, which depends on the ingress's
	// name.
	//
	// The jitter prevents a thundering herd: a whole failure domain loses its source at the
	// same time, and one ingress that reads the store is enough for the others.
	noSourceDelay  = 600 * time.Millisecond
	noSourceJitter = 500 * time.Millisecond
	// initialDelay is how long a starting ingress waits for its first snapshot, in addition to
	// noSourceTimeout, before it reads the store directly. initialDelayWithSource applies
	// instead if it follows a healthy source, which must first read the snapshot itself.
	//
	// The delays limit the load when many ingresses start at once: if each of them read a full
	// listing, the store could not send them all within seconds.
	initialDelay           = time.Second
	initialDelayWithSource = 5 * time.Second
	// readLinger is how long an ingress continues to read the store when it no longer needs
	// to, since starting again costs a call. Within settleTime of its own start an ingress
	// stops at once, because many others may have started to read at the same time.
	readLinger = 2 * time.Second
	// gapTimeout is how long another ingress may be known to be ahead before it is asked for
	// the missing records. Meanwhile pushed records may arrive.
	gapTimeout = 250 * time.Millisecond
	// partTimeout is how long after one part of a message the next is expected.
	partTimeout = 700 * time.Millisecond
)

// ProbeEvery is how often an ingress that reads the store checks that the store answers.
const ProbeEvery = 300 * time.Millisecond

// Member is a reachable ingress.
type Member struct {
	Name   string
	Domain string
	Region string
	// Weight is above 0. Ingresses with a higher weight are more likely to be followed.
	Weight float64
}

// StoreStatus is what an ingress reports of its own connection to the store.
type StoreStatus struct {
	// Direct is set if the ingress reads the store directly.
	Direct bool
	// Age is the time since the ingress last had a confirmation from the store.
	Age time.Duration
}

// Plan is what an ingress must do now.
type Plan struct {
	// Follow is the ingress to receive pushed changes from; empty: none.
	Follow string
	// Check is an ingress of another failure domain whose reported revisions are compared with
	// those reached here; empty: none.
	Check string
	// Read is set if this ingress must read the store directly.
	Read bool
}

// Chooser decides for one ingress. It is not safe for concurrent use.
type Chooser struct {
	self Member
	// startedAt is when this ingress started.
	startedAt time.Time
	// members are the other reachable ingresses by name, and domains their names by failure
	// domain. checks are the other failure domains in the order in which they are considered
	// for Plan.Check.
	members map[string]member
	domains map[string][]string
	checks  []string
	// follow is the source: the ingress that this one follows or asks to follow. followedAt is
	// when it was chosen.
	follow     string
	followedAt time.Time
	// opened is set once the stream of the source has delivered its first message.
	opened bool
	// suspectedUntil holds by name the ingresses that are not chosen until a time.
	suspectedUntil map[string]time.Time
	// noSourceSince is the time since which this ingress has had no healthy source; zero while
	// it has one. It is not before the store's last answer while the other ingresses are not known.
	noSourceSince time.Time
	// neededAt is when this ingress last needed to read the store directly. reading is Read of
	// the last plan.
	neededAt  time.Time
	reading   bool
	followers int
	// knowsMembers is set once the other ingresses are known, listed once a first snapshot of
	// all records is complete.
	knowsMembers bool
	listed       bool
	leaving      bool
	// gaps holds by name the extents with which other ingresses are ahead of this one.
	gaps map[string]gap
	// gapRequestedAt is when another ingress was last asked for missing records; zero once it
	// has answered.
	gapRequestedAt time.Time
	// partAt is when the last part of an incomplete message of records arrived from any
	// ingress, sourcePartAt the same for the source; zero if there is no such message.
	partAt, sourcePartAt time.Time
}

// member is an ingress that has been reachable since the given time. status is its last reported
// status, received at reportedAt.
type member struct {
	Member
	reachableSince time.Time
	status         StoreStatus
	reportedAt     time.Time
}

// gap is the extent with which another ingress was ahead of this one at the given time.
type gap struct {
	extent mirror.Extent
	since  time.Time
}

// NewChooser returns a chooser that knows no other ingresses.
func NewChooser(self Member, now time.Time) *Chooser {
	return &Chooser{
		self: self, startedAt: now, noSourceSince: now,
		members: map[string]member{}, suspectedUntil: map[string]time.Time{}, gaps: map[string]gap{},
	}
}

// SetMembers sets the reachable ingresses, excluding this one.
func (c *Chooser) SetMembers(now time.Time, members []Member) {
	if !c.knowsMembers {
		c.knowsMembers = true
		c.noSourceSince = now
	}
	known := c.members
	c.members = make(map[string]member, len(members))
	for _, m := range members {
		old, wasKnown := known[m.Name]
		if !wasKnown {
			old.reachableSince = now
		}
		old.Member = m
		c.members[m.Name] = old
	}
	c.groupByDomain()
	if _, isMember := c.members[c.follow]; !isMember {
		c.unfollow()
	}
	for name, until := range c.suspectedUntil {
		if !now.Before(until) {
			delete(c.suspectedUntil, name)
		}
	}
}

// groupByDomain groups the members by failure domain and orders the domains for checks: those of
// the same region come first, and all ingresses of a failure domain use the same order.
func (c *Chooser) groupByDomain() {
	c.domains = map[string][]string{}
	sameRegion, otherRegions := []string{}, []string{}
	for name, m := range c.members {
		if c.domains[m.Domain] == nil && m.Domain != c.self.Domain {
			if m.Region == c.self.Region {
				sameRegion = append(sameRegion, m.Domain)
			} else {
				otherRegions = append(otherRegions, m.Domain)
			}
		}
		c.domains[m.Domain] = append(c.domains[m.Domain], name)
	}
	key := "check/" + c.self.Domain
	c.checks = append(rhash.Pick(key, sameRegion, len(sameRegion)), rhash.Pick(key, otherRegions, len(otherRegions))...)
}

// ObserveOwnAge processes the time since the store last answered this ingress itself, which renews its
// lease at the given interval while it does not read the store. If the time is too long, and this
// ingress has a first snapshot, it is not a candidate for the reader of its
// failure domain in the next plan, unless there is no other candidate. Until the other ingresses are
// known, the time without a source counts from that answer.
func (c *Chooser) ObserveOwnAge(now time.Time, age, renewalInterval time.Duration) {
	limit := maxSourceAge
	if !c.reading {
		limit += renewalInterval // this ingress asks the store less often
	}
	if c.listed && age > limit {
		c.suspectedUntil[c.self.Name] = now.Add(maxPlanInterval)
	}
	if answeredAt := now.Add(-age); !c.knowsMembers && answeredAt.After(c.noSourceSince) {
		c.noSourceSince = answeredAt
	}
}

// ObserveStatus processes the status that another ingress reports.
func (c *Chooser) ObserveStatus(now time.Time, name string, status StoreStatus) {
	m, isMember := c.members[name]
	if !isMember {
		return
	}
	m.status = status
	m.reportedAt = now
	c.members[name] = m
}

// ObserveStreamOpened records that the stream of the source delivered its first message.
func (c *Chooser) ObserveStreamOpened(name string) {
	if name == c.follow {
		c.opened = true
	}
}

// ObserveStreamEnded records that the stream of an ingress ended.
func (c *Chooser) ObserveStreamEnded(now time.Time, name string) {
	if name != c.follow {
		return
	}
	c.suspect(now, name)
}

// SetFollowers sets how many other ingresses follow this one.
func (c *Chooser) SetFollowers(n int) { c.followers = n }

// MarkListed records that this ingress has a first snapshot of all records.
func (c *Chooser) MarkListed() { c.listed = true }

// MarkLeaving records that this ingress is shutting down.
func (c *Chooser) MarkLeaving() { c.leaving = true }

// ObserveMessagePart records that a part of a message of records arrived, either from the source
// or from an ingress that was asked for missing records.
func (c *Chooser) ObserveMessagePart(now time.Time, fromSource bool) {
	c.partAt = now
	if fromSource {
		c.sourcePartAt = now
	}
}

// ObserveMessageEnd records that a message of records was received completely and applied, or was
// abandoned.
func (c *Chooser) ObserveMessageEnd(fromSource bool) {
	c.partAt = time.Time{}
	if fromSource {
		c.sourcePartAt = time.Time{}
		return
	}
	c.gapRequestedAt = time.Time{}
}

// IsReceiving reports whether this ingress is already receiving records or waiting for requested
// ones.
//
// On a congested link, each additional copy that is requested delays those in flight.
func (c *Chooser) IsReceiving(now time.Time) bool {
	return now.Sub(c.partAt) < partTimeout || now.Sub(c.gapRequestedAt) < partTimeout
}

// isReceivingFromSource reports whether a message of records from the source is in flight.
func (c *Chooser) isReceivingFromSource(now time.Time) bool {
	return c.follow != "" && now.Sub(c.sourcePartAt) < partTimeout
}

// ObserveGap processes the extents of the records of another ingress and of this one. It returns
// true if the other must be asked for the missing records: within gapTimeout this ingress has
// not received what the other one had, and no records are in flight.
func (c *Chooser) ObserveGap(now time.Time, name string, theirs, own mirror.Extent) (ask bool) {
	g, known := c.gaps[name]
	switch {
	case !theirs.IsAheadOf(own):
		delete(c.gaps, name)
	case !known || !g.extent.IsAheadOf(own):
		c.gaps[name] = gap{extent: theirs, since: now}
	case now.Sub(g.since) >= gapTimeout && !c.IsReceiving(now):
		delete(c.gaps, name)
		c.gapRequestedAt = now
		return true
	}
	return false
}

// IsSourceFresh reports whether the source delivers and is itself up to date with the store.
func (c *Chooser) IsSourceFresh(now time.Time) bool {
	m, isMember := c.members[c.follow]
	return isMember && c.opened && isFresh(now, m)
}

func isFresh(now time.Time, m member) bool {
	return !m.reportedAt.IsZero() && m.status.Direct && m.status.Age+now.Sub(m.reportedAt) <= maxSourceAge
}

// Plan decides what this ingress must do. Until the other ingresses are known it follows none and
// does not read the store, unless it has waited too long: when many ingresses start at once, each
// of them would read it.
func (c *Chooser) Plan(now time.Time) Plan {
	c.checkSource(now)
	if c.knowsMembers {
		c.chooseSource(now)
	}
	c.reading = c.mustRead(now)
	return Plan{Follow: c.follow, Check: c.pickCheck(now), Read: c.reading}
}

// checkSource suspects a source that is not up to date with the store. A source whose records are
// arriving is not suspected, because its heartbeats may be queued behind them.
func (c *Chooser) checkSource(now time.Time) {
	if c.follow == "" || c.IsSourceFresh(now) || c.isReceivingFromSource(now) {
		return
	}
	if now.Sub(c.followedAt) >= openTimeout {
		c.suspect(now, c.follow)
	}
}

func (c *Chooser) suspect(now time.Time, name string) {
	c.suspectedUntil[name] = now.Add(suspectTime)
	if name == c.follow {
		c.unfollow()
	}
}

func (c *Chooser) unfollow() {
	c.follow = ""
	c.opened = false
}

func (c *Chooser) isSuspected(now time.Time, name string) bool {
	return now.Before(c.suspectedUntil[name])
}

// chooseSource follows the highest-ranked ingress that is not suspected. If that is this ingress,
// it follows none.
func (c *Chooser) chooseSource(now time.Time) {
	best := c.pickReader(now)
	if best == c.follow {
		return
	}
	if c.canKeepSource(now) && !c.mayReplaceSource(now, best) {
		return
	}
	c.unfollow()
	if best == c.self.Name {
		return
	}
	c.follow = best
	c.followedAt = now
}

// canKeepSource reports whether the present choice can stay for a while: the source is fresh, or
// this ingress follows none, has all records and started at least settleTime ago.
func (c *Chooser) canKeepSource(now time.Time) bool {
	if c.follow == "" {
		return c.listed && now.Sub(c.startedAt) >= settleTime
	}
	return c.IsSourceFresh(now)
}

// mayReplaceSource reports whether a higher-ranked ingress may be followed in place of a healthy
// choice: it must have been reachable for settleTime and, if it reported a status, be fresh.
//
// Without this a failure domain would return again and again to an ingress that cannot reach the
// store.
func (c *Chooser) mayReplaceSource(now time.Time, name string) bool {
	m, isMember := c.members[name]
	if !isMember {
		return true // this ingress itself
	}
	return now.Sub(m.reachableSince) >= settleTime && (m.reportedAt.IsZero() || isFresh(now, m))
}

// pickReader returns the ingress that should read the store for this failure domain. This ingress
// itself is a candidate unless it is leaving or suspected, or if there is no other candidate.
func (c *Chooser) pickReader(now time.Time) string {
	candidates := c.listCandidates(now, c.self.Domain)
	if !c.leaving && !c.isSuspected(now, c.self.Name) || len(candidates) == 0 {
		candidates = append(candidates, rhash.Weighted{Name: c.self.Name, Weight: c.self.Weight})
	}
	return pickFirst(c.self.Domain, candidates)
}

// listCandidates returns the reachable members of a failure domain that are not suspected.
func (c *Chooser) listCandidates(now time.Time, domain string) []rhash.Weighted {
	list := []rhash.Weighted{}
	for _, name := range c.domains[domain] {
		if !c.isSuspected(now, name) {
			list = append(list, rhash.Weighted{Name: name, Weight: c.members[name].Weight})
		}
	}
	return list
}

func pickFirst(domain string, candidates []rhash.Weighted) string {
	return rhash.FirstWeighted("store/"+domain, candidates)
}

// pickCheck returns the ingress that should read the store for another failure domain.
func (c *Chooser) pickCheck(now time.Time) string {
	for _, domain := range c.checks {
		if name := pickFirst(domain, c.listCandidates(now, domain)); name != "" {
			return name
		}
	}
	return ""
}

// mustRead reports whether this ingress must read the store directly.
func (c *Chooser) mustRead(now time.Time) bool {
	if c.IsSourceFresh(now) || c.isReceivingFromSource(now) {
		c.noSourceSince = time.Time{}
	} else if c.noSourceSince.IsZero() {
		c.noSourceSince = now
	}
	noSource := c.knowsMembers && c.follow == "" || !c.noSourceSince.IsZero() && now.Sub(c.noSourceSince) >= c.noSourceTimeout()
	if noSource || c.isSnapshotOverdue(now) || c.followers > 0 {
		c.neededAt = now
	}
	if now.Sub(c.startedAt) < settleTime || !c.reading {
		return c.neededAt.Equal(now)
	}
	return now.Sub(c.neededAt) < readLinger
}

// isSnapshotOverdue reports whether the first snapshot should have arrived by now.
func (c *Chooser) isSnapshotOverdue(now time.Time) bool {
	if c.listed {
		return false
	}
	delay := initialDelay
	if c.IsSourceFresh(now) {
		delay = initialDelayWithSource
	}
	return now.Sub(c.startedAt) >= delay+c.noSourceTimeout()
}

// noSourceTimeout returns how long this ingress waits without a source before it reads the store
// directly.
func (c *Chooser) noSourceTimeout() time.Duration {
	fraction := rhash.Fraction("patience", c.self.Name)
	return noSourceDelay + time.Duration(fraction*float64(noSourceJitter))
}
