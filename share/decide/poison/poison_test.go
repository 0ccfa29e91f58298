package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
)

var start = time.Unix(1000, 0) //nolint:gochecknoglobals // a constant in all but syntax

func after(d time.Duration) time.Time { return start.Add(d) }

// newCrash returns a crash whose attempt broke 100 ms after it was sent.
func newCrash(server string, sent time.Duration) poison.Crash {
	return poison.Crash{Server: server, Version: "v1", SentAt: after(sent), BrokeAt: after(sent + 100*time.Millisecond)}
}

// Guards against two different requests sharing an ID, so that one is quarantined for the
// crashes of the other.
func TestIDsDistinguishRequests(t *testing.T) {
	is := is.New(t)
	id := poison.NewID("workshop", "kits.example", "/order/1", []byte("spruce"))
	is.Equal(id, poison.NewID("workshop", "kits.example", "/order/1", []byte("spruce")))
	for _, other := range []poison.ID{
		poison.NewID("agency", "kits.example", "/order/1", []byte("spruce")),
		poison.NewID("workshop", "kits.example", "/order/2", []byte("spruce")),
		poison.NewID("workshop", "kits.example", "/order/1", []byte("maple")),
		poison.NewID("workshop", "kits.example/order", "/1", []byte("spruce")),
	} {
		is.True(id != other)
	}
}

// Guards against a request that crashes one server after another and is never quarantined.
func TestRequestThatCrashesServersInSequenceIsPoison(t *testing.T) {
	is := is.New(t)
	c := poison.NewCrashCounter(3)
	is.True(!c.IsPoison(c.Record(start, "a", newCrash("s1", 0))))
	is.True(!c.IsPoison(c.Record(start, "a", newCrash("s2", time.Second))))
	s := c.Record(start, "a", newCrash("s3", 2*time.Second))
	is.True(c.IsPoison(s))
	is.Equal(s.Servers, []string{"s1", "s2", "s3"})
	is.Equal(s.Versions, []string{"v1"})
	is.True(!c.IsPoison(c.Record(start, "b", newCrash("s3", 2*time.Second))))
}

// Guards against a harmless request being quarantined because all servers of a failure domain
// crashed at once.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	is := is.New(t)
	c := poison.NewCrashCounter(3)
	for n := range 10 {
		is.True(!c.IsPoison(c.Record(start, "a", newCrash(fmt.Sprint("s", n), time.Duration(n)*5*time.Millisecond))))
	}
}

// Guards against a request that crashes servers and is sent at several of them at once, again and again, so that each
// time counts as one crash; and against a bystander of two crashes of a few servers each.
func TestRequestThatCrashesServersInGroupsIsPoison(t *testing.T) {
	is := is.New(t)
	c := poison.NewCrashCounter(3)
	suspect := poison.Suspect{}
	for _, n := range []int{0, 1, 2} {
		suspect = c.Record(start, "a", newCrash(fmt.Sprint("s", n), 0))
		is.True(!c.IsPoison(suspect))
		is.True(!c.IsPoison(c.Record(start, "b", newCrash(fmt.Sprint("s", n%2), 0))))
	}
	for _, n := range []int{3, 4} {
		suspect = c.Record(start, "a", newCrash(fmt.Sprint("s", n), 5*time.Second))
		is.True(!c.IsPoison(c.Record(start, "b", newCrash(fmt.Sprint("s", 2+n%2), 5*time.Second))))
	}
	is.True(c.IsPoison(suspect))
}

// Guards against crashes not being counted because their reports arrived out of order.
func TestCrashReportsMayArriveOutOfOrder(t *testing.T) {
	is := is.New(t)
	c := poison.NewCrashCounter(3)
	c.Record(start, "a", newCrash("s3", 2*time.Second))
	c.Record(start, "a", newCrash("s1", 0))
	is.True(c.IsPoison(c.Record(start, "a", newCrash("s2", time.Second))))
}

// Guards against a harmless request being quarantined because it was sent repeatedly to the same
// server while that was down.
func TestCrashesOfOneServerCountOnce(t *testing.T) {
	is := is.New(t)
	c := poison.NewCrashCounter(3)
	for n := range 10 {
		is.True(!c.IsPoison(c.Record(start, "a", newCrash("s1", time.Duration(n)*time.Second))))
	}
}

// Guards against a harmless request being quarantined although it was served between the
// crashes.
func TestServedRequestIsNoLongerSuspect(t *testing.T) {
	is := is.New(t)
	c := poison.NewCrashCounter(3)
	c.Record(start, "a", newCrash("s1", 0))
	c.Record(start, "a", newCrash("s2", time.Second))
	c.Clear("a")
	is.True(!c.IsPoison(c.Record(start, "a", newCrash("s3", 2*time.Second))))
}

// Guards against crashes being counted against a request forever.
func TestOldCrashesExpire(t *testing.T) {
	is := is.New(t)
	c := poison.NewCrashCounter(2)
	c.Record(start, "a", newCrash("s1", 0))
	is.True(!c.IsPoison(c.Record(after(time.Hour), "a", newCrash("s2", time.Hour))))
}

// Guards against a crash counter or a served set that grows without bound, for example with
// each crash of a busy server.
func TestCrashCounterAndServedSetAreBounded(t *testing.T) {
	is := is.New(t)
	c := poison.NewCrashCounter(3)
	s := poison.NewServedSet()
	for n := range 10_000 {
		id := poison.ID(fmt.Sprint(n))
		c.Record(after(time.Duration(n)*time.Millisecond), id, newCrash("s1", time.Duration(n)*time.Millisecond))
		s.Add(start, id, "v1")
	}
	is.True(c.Len() <= 4096)
	is.True(s.Has(start, "9999", "v1"))
	is.True(s.Has(start, "8500", "v1"))
	is.True(!s.Has(start, "100", "v1"))
}

// Guards against a quarantine that outlasts the software versions that the request crashes, and
// against one that ends while some server still runs such a version.
func TestQuarantineAppliesWhileACrashedVersionRuns(t *testing.T) {
	is := is.New(t)
	q := site.Quarantine{Versions: []string{"v1", "v2"}}
	is.True(poison.QuarantineApplies(q, nil))
	is.True(poison.QuarantineApplies(q, []site.Server{{Version: "v3"}, {Version: "v2"}}))
	is.True(!poison.QuarantineApplies(q, []site.Server{{Version: "v3"}}))
}

// Guards against the number of quarantines growing without bound, and against recent ones being
// ended before old ones.
func TestOldestQuarantinesAreExcess(t *testing.T) {
	is := is.New(t)
	quarantines := map[poison.ID]site.Quarantine{}
	for n := range poison.MaxQuarantines + 2 {
		quarantines[poison.ID(fmt.Sprint(n))] = site.Quarantine{Revision: site.Revision{Number: uint64(n)}} //nolint:gosec // a small number
	}
	is.Equal(poison.FindExcessQuarantines(quarantines), []poison.ID{"0", "1"})
}

// Guards against trials that come too early or too often and crash further servers.
func TestTrialsFollowTheSchedule(t *testing.T) {
	is := is.New(t)
	schedule := poison.DefaultTrialSchedule()
	is.True(!schedule.IsDue(after(29*time.Second), start, 0))
	is.True(schedule.IsDue(after(30*time.Second), start, 0))
	is.True(!schedule.IsDue(after(30*time.Second), start, 1))
	is.True(schedule.IsDue(after(time.Hour), start, 1))
	is.True(!schedule.IsDue(after(time.Hour), start, 2))
	is.True(!schedule.IsDue(after(time.Hour), time.Time{}, 0)) // the start of the quarantine is unknown
}

// Guards against a belief that a request crashes no servers which outlives the software that it was taken from, or which
// lasts for as long as few other requests are served.
func TestServedRequestIsKnownByVersionAndTime(t *testing.T) {
	is := is.New(t)
	s := poison.NewServedSet()
	s.Add(start, "a", "v1")
	is.True(s.Has(after(time.Second), "a", "v1"))
	is.True(s.Has(after(time.Second), "a", "v2", "v1"))
	is.True(!s.Has(after(time.Second), "a", "v2"))
	is.True(!s.Has(after(time.Second), "b", "v1"))
	is.True(!s.Has(after(poison.ServedTime+time.Second), "a", "v1"))
	is.True(s.IsTrusted(after(time.Second), "a", "v2"))
	is.True(!s.IsTrusted(after(10*time.Second), "a", "v2"))
	is.True(s.IsTrusted(after(10*time.Second), "a", "v1"))
	is.True(!s.IsTrusted(after(poison.ServedTime+time.Second), "a", "v1"))
	s.Add(after(20*time.Second), "a", "v2")
	is.True(!s.Has(after(21*time.Second), "a", "v1"))
	is.True(s.IsTrusted(after(21*time.Second), "a", "v1"))
}
