package limits_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"verbenaroad.example/ingress/services/limits"
	"verbenaroad.example/share/models/site"
)

// sendCounter counts the requests to servers with a rate limit.
type sendCounter struct{ count int }

func (c *sendCounter) CountLimitedSend(string) { c.count++ }

func newAnswer(status int, signed bool, limit site.RateLimit) site.Answer {
	return site.Answer{Status: status, Signed: signed, RateLimit: limit}
}

// Guards against a limit that is taken from an answer of another server, or that is withdrawn by an
// answer that something in front of the server has given.
func TestOnlyAnswersOfTheServerChangeItsLimit(t *testing.T) {
	is := is.New(t)
	core, logged := observer.New(zap.InfoLevel)
	meter := &sendCounter{}
	registry := limits.NewRegistry(meter, zap.New(core))
	server := site.Server{ID: "i-1"}
	isLimited := func() bool {
		before := meter.count
		registry.ObserveSend(server, "a")
		return meter.count > before
	}
	one := site.RateLimit{State: site.RateLimited, PerSecond: 1}
	registry.ObserveAnswer(server, newAnswer(http.StatusMisdirectedRequest, false, one))
	is.True(!isLimited())
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
