package quota_test

import (
	"fmt"
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
	server := site.Server{ID: "i-1", Incarnation: 7}
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
	before, after := site.Server{ID: "i-1", Incarnation: 7}, site.Server{ID: "i-1", Incarnation: 8}
	table := quota.NewTable()
	table.Observe(now, before, limitOf(1))
	_, limited := table.Find(after)
	is.True(!limited)
	is.True(table.Observe(now, after, limitOf(1)))
	_, limited = table.Find(after)
	is.True(limited)
}

func TestTableForgetsTheOldestServer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	table := quota.NewTable()
	for n := range 5000 {
		table.Observe(now.Add(time.Duration(n)*time.Millisecond), site.Server{ID: fmt.Sprint(n)}, limitOf(1))
	}
	_, limited := table.Find(site.Server{ID: "0"})
	is.True(!limited)
	_, limited = table.Find(site.Server{ID: "4999"})
	is.True(limited)
}
