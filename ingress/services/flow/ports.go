package flow

import (
	"context"
	"net/netip"
	"time"

	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/origin"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/ingress/services/stages"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

// Views provides the current view of the deployment.
type Views interface {
	View() *state.View
}

// Sender sends requests to backend servers.
type Sender interface {
	// Send makes one attempt.
	Send(ctx context.Context, r reach.Request) (*reach.Reply, error)
	// Preconnect opens a connection in advance for the next attempt at a server.
	Preconnect(address netip.AddrPort)
	// HasGone reports whether a server is known to be down: connections are refused, or closed within the given time.
	HasGone(ctx context.Context, address netip.AddrPort, wait time.Duration) bool
}

// StageRunner produces the results of a request's stages.
type StageRunner interface {
	ProduceChain(ctx context.Context, c stages.Chain) (*stages.Results, *codes.Result)
}

// EnginePlacer chooses the engine for a request and reserves capacity there.
type EnginePlacer interface {
	// Place returns nil if no engine is eligible for the request and, if that is because of rate
	// limits, how long the caller is to wait.
	Place(ctx context.Context, service string, q place.Query) (r *assign.Reservation, retryAfter time.Duration)
}

// Origins knows which software began each stream. An attempt is the one that brings the first event.
type Origins interface {
	RecordBegun(attempt string, software site.Software, deadline time.Time)
	RecordComplete(attempt string)
	Find(ctx context.Context, attempt string, services []string) origin.Origin
	// FindWithheld returns which versions of a service no stream may begin at now.
	FindWithheld(service string, versions []string) origin.Withheld
}

// Statements holds what servers state about the requests that they take.
type Statements interface {
	// Find returns the requests per second that a server takes from all ingresses together.
	Find(server *site.Server) (perSecond float64, limited bool)
	// PausedUntil returns the end of the pause that a server asked this ingress for; zero if there is
	// none now. ListPaused returns the IDs of the paused servers of a service.
	PausedUntil(now time.Time, server *site.Server) time.Time
	ListPaused(now time.Time, service string) []string
}

// Admitter admits requests to plain servers that state a rate.
type Admitter interface {
	// Admit asks for one request that is sent at once. If it is not granted, Admit returns how long
	// to wait before the server is asked for again.
	Admit(ctx context.Context, server site.Server) (granted bool, retryAfter time.Duration)
}

// Peers lists the ingresses that can be reached.
type Peers interface {
	// Rank orders the names of the ingresses by their score for a key.
	Rank(key string) []string
	// Self returns the name of this ingress.
	Self() string
	// IsAlone reports whether no other ingress takes new requests.
	IsAlone() bool
}

// Screen quarantines requests that crash the servers that run them.
type Screen interface {
	// FindQuarantine returns the ID under which a request is quarantined. It returns false if the request
	// may be sent to servers.
	FindQuarantine(i poison.Identity) (poison.ID, bool)
	// TakeTrial reports whether a request that is quarantined under an ID is to be sent to a single server
	// as a trial. Each trial is granted once.
	TakeTrial(ctx context.Context, id poison.ID) bool
	// RecordCrash records an attempt that broke and may have crashed its server; isAnswered is set if it had
	// been answered for a while. RecordServed records a request that received a complete answer, which may be
	// an error, and RecordAnswered one that has been answered for a while, or completely without an error.
	RecordCrash(i poison.Identity, server site.Server, sent time.Time, isAnswered bool)
	RecordServed(id poison.ID, version string)
	RecordAnswered(i poison.Identity, software site.Software)
}

// Retries limits the retries of requests, by service.
type Retries interface {
	// CountRequest counts a new request, as opposed to a retry.
	CountRequest(service string)
	// TakeRetry takes one retry from the budget, unless it is exhausted. If it is granted, RecordSent
	// or ReturnRetry follows.
	TakeRetry(service string) budget.Decision
	// RecordSent records that a granted retry is sent now, ReturnRetry that it will not be sent.
	RecordSent(service string)
	ReturnRetry(service string)
}

// Meter records metrics of requests.
type Meter interface {
	CountAnswer(route, outcome string, took time.Duration)
	CountFirstEvent(route string, took time.Duration)
	CountRetry(service, reason string)
	// CountStreamRun counts a run of a stream at an engine by its end: the framing of a whole answer, or why it is not
	// whole.
	CountStreamRun(route, end string)
}
