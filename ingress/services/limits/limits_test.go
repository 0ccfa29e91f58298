package limits_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"verbenaroad.example/ingress/services/limits"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/models/site"
)

// sendCounter counts the requests to servers with a rate limit.
type sendCounter struct {
	count int
	// closedCounts is how often the closed servers were counted.
	closedCounts int
}

func (c *sendCounter) CountLimitedSend(string) { c.count++ }

func (*sendCounter) SetLimitedServers(int) {}

func (c *sendCounter) SetClosedServers(int, int) { c.closedCounts++ }

func newAnswer(status int, signed bool, limit site.RateLimit) site.Answer {
	return site.Answer{Status: status, Signed: signed, RateLimit: limit}
}

// Guards against a limit that is taken from an answer of another server, or that is withdrawn by an
// answer that something in front of the server has given.
func TestOnlyAnswersOfTheServerChangeItsLimit(t *testing.T) {
	is := is.New(t)
	core, logged := observer.New(zap.InfoLevel)
	meter := &sendCounter{}
	registry := limits.NewRegistry(limits.Options{Meter: meter, Log: zap.New(core)})
	server := site.Server{ID: "i-1"}
	isLimited := func() bool {
		before := meter.count
		registry.ObserveSend(server, "a")
		return meter.count > before
	}
	one := site.RateLimit{State: site.RateLimited, PerSecond: 1}
	registry.ObserveAnswer(server, newAnswer(http.StatusMisdirectedRequest, false, one))
	is.True(!isLimited())
	registry.ObserveAnswer(site.Server{}, newAnswer(http.StatusOK, true, one)) // only its address is known
	is.Equal(len(registry.Statements()), 0)
	refusal := newAnswer(http.StatusServiceUnavailable, false, one)
	refusal.NotRun = true
	registry.ObserveAnswer(server, refusal)
	is.True(isLimited())
	refusal.RateLimit = site.RateLimit{}
	registry.ObserveAnswer(server, refusal)
	registry.ObserveAnswer(server, newAnswer(http.StatusBadGateway, false, site.RateLimit{}))
	registry.ObserveAnswer(server, newAnswer(http.StatusOK, true, site.RateLimit{State: site.RateUnreadable}))
	is.True(isLimited())
	registry.ObserveAnswer(server, newAnswer(http.StatusInternalServerError, true, site.RateLimit{}))
	is.True(!isLimited())
	is.Equal(logged.FilterMessage("server-limit").Len(), 2) // stated and withdrawn
	is.Equal(logged.FilterMessage("server-limit-unreadable").Len(), 1)
}

// newRegistryWith returns a registry whose view has n servers, i-0 and so on.
func newRegistryWith(n int) *limits.Registry {
	r := limits.NewRegistry(limits.Options{Meter: &sendCounter{}, Log: zap.NewNop()})
	servers := []site.Server{}
	for i := range n {
		servers = append(servers, site.Server{ID: fmt.Sprintf("i-%d", i)})
	}
	r.SetView(&state.View{Servers: map[string][]site.Server{"engines": servers}})
	return r
}

// Guards against a limit that reaches no other ingress, and against limits of servers that left and
// are passed on between the ingresses for ever: one that does not know the server takes none.
func TestStatementsReachAnotherIngress(t *testing.T) {
	is := is.New(t)
	first, second := newRegistryWith(1), newRegistryWith(1)
	server := site.Server{ID: "i-0"}
	first.ObserveAnswer(server, newAnswer(http.StatusOK, true, site.RateLimit{State: site.RateLimited, PerSecond: 2.5}))
	second.Merge("first", first.Statements())
	perSecond, limited := second.Find(&server)
	is.True(limited)
	is.Equal(perSecond, 2.5)
	third := newRegistryWith(0)
	third.Merge("first", first.Statements())
	is.Equal(len(third.Statements()), 0)
}

// Guards against heartbeats that grow with the number of servers.
func TestHeartbeatCarriesALimitedNumberOfStatements(t *testing.T) {
	is := is.New(t)
	first, second := newRegistryWith(500), newRegistryWith(500)
	for i := range 500 {
		first.ObserveAnswer(site.Server{ID: fmt.Sprintf("i-%d", i)}, newAnswer(http.StatusOK, true, site.RateLimit{State: site.RateLimited, PerSecond: 1}))
	}
	for range 200 {
		statements := first.Statements()
		is.True(len(statements) <= 64)
		second.Merge("first", statements)
	}
	is.Equal(len(second.Statements()), 64)
	known := 0
	for i := range 500 {
		if _, limited := second.Find(&site.Server{ID: fmt.Sprintf("i-%d", i)}); limited {
			known++
		}
	}
	is.Equal(known, 500)
}

// Guards against a line for each answer with a header that is not read, and against lines without bound.
func TestUnreadHeadersAreReportedOnce(t *testing.T) {
	is := is.New(t)
	core, logged := observer.New(zap.InfoLevel)
	r := limits.NewRegistry(limits.Options{Meter: &sendCounter{}, Log: zap.New(core)})
	for i := range 1000 {
		name := fmt.Sprintf("Server-Mood-%d", i%100)
		r.ObserveAnswer(site.Server{ID: "i-1"}, site.Answer{Status: http.StatusOK, Header: http.Header{name: {"poor"}}, Unread: []string{name}})
	}
	is.Equal(logged.FilterMessage("answer-header-unread").Len(), 32)
}
