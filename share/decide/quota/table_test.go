package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
)

func limitOf(perSecond float64) site.RateLimit {
	return site.RateLimit{State: site.RateLimited, PerSecond: perSecond}
}

func TestLimitAppliesUntilItIsWithdrawn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1", Incarnation: 7}
	table := quota.NewTable()
	is.True(!table.Observe(now, server, site.RateLimit{})) // it never stated one
	is.True(table.Observe(now, server, limitOf(2.5)))
	is.True(!table.Observe(now, server, limitOf(2.5)))
	is.True(table.Observe(now, server, limitOf(0)))
	perSecond, limited := table.Find(server)
	is.True(limited)
	is.Equal(perSecond, 0.0)
	is.True(!table.Observe(now, server, site.RateLimit{State: site.RateUnreadable}))
	_, limited = table.Find(server)
	is.True(limited) // an unreadable limit does not withdraw the known one
	is.True(table.Observe(now, server, site.RateLimit{}))
	_, limited = table.Find(server)
	is.True(!limited)
}

// Guards against a limit that outlives the server that stated it: one that starts again under the
// same ID knows nothing of it.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	before, after := &site.Server{ID: "i-1", Incarnation: 7}, &site.Server{ID: "i-1", Incarnation: 8}
	table := quota.NewTable()
	table.Observe(now, before, limitOf(1))
	_, limited := table.Find(after)
	is.True(!limited)
	is.True(table.Observe(now, after, limitOf(1)))
	_, limited = table.Find(after)
	is.True(limited)
}

// Guards against an ingress that keeps a limit for good because it missed the withdrawal, and against
// one that brings a withdrawn limit back.
func TestIngressesAgreeOnTheNewestStatement(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1", Incarnation: 7}
	first, second := quota.NewTable(), quota.NewTable()
	first.Observe(now, server, limitOf(3))
	is.True(second.Merge(now, first.Statements(now)[0]))
	perSecond, limited := second.Find(server)
	is.True(limited)
	is.Equal(perSecond, 3.0)
	stale := second.Statements(now)
	first.Observe(now, server, site.RateLimit{})
	later := now.Add(time.Minute) // the withdrawal is no longer passed on
	is.Equal(len(first.Statements(later)), 0)
	is.True(!first.Merge(later, stale[0]))
	_, limited = first.Find(server)
	is.True(!limited)
	is.True(second.Merge(later, first.Statements(later)[0])) // it is again, since the other one missed it
	_, limited = second.Find(server)
	is.True(!limited)
}

// Guards against two ingresses that each keep what they heard, if the server changed its rate while
// they were told different ones.
func TestStricterStatementHoldsIfVersionsAreEqual(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1", Incarnation: 7}
	first, second := quota.NewTable(), quota.NewTable()
	first.Observe(now, server, limitOf(3))
	second.Observe(now, server, limitOf(2))
	is.True(first.Merge(now, second.Statements(now)[0]))
	is.True(!second.Merge(now, quota.Statement{ServerID: "i-1", Incarnation: 7, Limited: true, PerSecond: 3, Version: 1}))
	for _, table := range []*quota.Table{first, second} {
		perSecond, limited := table.Find(server)
		is.True(limited)
		is.Equal(perSecond, 2.0)
	}
}

// Guards against statements about an earlier start of a server, and against rates that are no number.
func TestUnusableStatementsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	server := &site.Server{ID: "i-1", Incarnation: 7}
	table := quota.NewTable()
	table.Observe(now, server, limitOf(3))
	is.True(!table.Merge(now, quota.Statement{ServerID: "i-1", Incarnation: 6, Limited: true, PerSecond: 1, Version: 9}))
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1)} {
		is.True(!table.Merge(now, quota.Statement{ServerID: "i-1", Incarnation: 8, Limited: true, PerSecond: perSecond, Version: 9}))
	}
	perSecond, _ := table.Find(server)
	is.Equal(perSecond, 3.0)
}

// Guards against a server that comes back from an evacuation or a lapse of its registration and
// receives a burst, and against limits of servers that left for good.
func TestLimitOfAServerThatComesBackIsKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	limiter := quota.NewLimiter()
	for _, id := range []string{"a", "b"} {
		limiter.Observe(now, &site.Server{ID: id}, limitOf(1))
	}
	limiter.Retain(now, map[string]bool{"a": true})
	now = now.Add(30 * time.Second)
	limiter.Retain(now, map[string]bool{"a": true})
	limiter.Retain(now, map[string]bool{"a": true, "b": true})
	is.Equal(len(limiter.Statements(now)), 2)
	limiter.Retain(now, map[string]bool{"b": true})
	limiter.Retain(now.Add(time.Minute), map[string]bool{"b": true})
	statements := limiter.Statements(now)
	is.Equal(len(statements), 1)
	is.Equal(statements[0].ServerID, "b")
}
