// Package site holds what an ingress receives from its deployment: the configuration, the
// registered backend servers, and what callers state about their requests. The types do not
// depend on a platform's format; an adapter for each platform fills them in.
package site

import (
	"net/netip"
	"time"
)

// Kind determines whether a route's requests may be retried.
type Kind string

// The kinds.
const (
	// KindIdempotent requests may run any number of times.
	KindIdempotent Kind = "idempotent"
	// KindOnce requests run at most once for each attempt of a caller.
	KindOnce Kind = "once"
	// KindStream requests are answered with server-sent events and run at most once, unless
	// the route is resumable.
	KindStream Kind = "stream"
)

// Config is one version of the operators' configuration.
type Config struct {
	// Version increases with each accepted change, not always by one.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team
}

// Route sends the requests for a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time from a request's arrival to its final answer.
	Timeout time.Duration
	// LatencyTarget is the latency objective; for a stream, the time to its first event.
	LatencyTarget time.Duration
	// GapTarget is the objective for the longest pause between two events of a stream.
	GapTarget time.Duration
	// CallerIdleTimeout is how long callers of a stream wait for the next event, including
	// the first, before they disconnect; 0: as long as they wait for the complete answer.
	CallerIdleTimeout time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Backends are the services with their weights. There is at least one.
	Backends []Backend
	// MaxAttempts limits how many backend servers run one attempt of a caller; at least 1.
	MaxAttempts int
	// Stages run before the request itself. A stage's number is its index in the list.
	Stages []Stage
	// Public routes accept requests without a team's key.
	Public bool
	// Resumable streams may continue at another backend server after the last event received.
	Resumable bool
	// AllowedRegions are the regions in which the requests may be served; empty: all.
	AllowedRegions []string
}

// FirstEventDeadline returns when the caller of a stream disconnects if it has received no
// event; deadline is that of the whole request.
//
// Without it a request may be held, or its results produced, for a caller that has
// disconnected: callers wait 20 s for a long answer, but 7 s for its first event.
func (r *Route) FirstEventDeadline(arrived, deadline time.Time) time.Time {
	if r.CallerIdleTimeout == 0 {
		return deadline
	}
	disconnects := arrived.Add(r.CallerIdleTimeout)
	if deadline.Before(disconnects) {
		return deadline
	}
	return disconnects
}

// Backend is one service of a route. It gets a share of the requests in proportion to Weight.
type Backend struct {
	Service string
	Weight  int
}

// Stage is a step that produces results for the request or for a later stage.
type Stage struct {
	Service string
	// After lists the stages whose results this one takes, each once. No stage takes results of itself,
	// directly or through others; the numbers have no order.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Engine is set for services that generate tokens.
	Engine *Engine
	// Pool is set for services that produce results of stages.
	Pool *Pool
	// ColdTime is how long a backend server is cold after its start. ColdRate is how many
	// requests per second a cold server takes; 0: no limit is known.
	ColdTime time.Duration
	ColdRate float64
}

// Engine describes each engine of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the cache capacity in tokens, shared by running requests and cached
	// prompt parts.
	CacheTokens int
	// TokenBytes is the cache memory of one token, LinkRate the bytes per second that one
	// engine sends to another; 0: unknown.
	TokenBytes int64
	LinkRate   float64
	// EventTokens is how many output tokens an event of a stream holds; 0: unknown.
	EventTokens int
	// MaxCacheWaits is how many calls for changes of its cache an engine keeps waiting, for all callers
	// together; 0: it does not report them.
	MaxCacheWaits int
	// Moves is set if a running stream can be moved to another engine, Backups if its memory can be
	// copied to another engine while it runs. CopyTTL is how long such a copy is kept unused.
	Moves   bool
	Backups bool
	CopyTTL time.Duration
	// HoldTime is the longest time for which a slot and memory can be reserved at an engine, PinTime the
	// longest for which the prompt of an ended request is kept; 0: not possible.
	HoldTime time.Duration
	PinTime  time.Duration
}

// CanFetch reports whether an engine can fetch prompt parts from another one.
func (e *Engine) CanFetch() bool { return e.TokenBytes > 0 && e.LinkRate > 0 }

// FetchTime estimates how long an engine takes to fetch a number of tokens from another one.
func (e *Engine) FetchTime(tokens float64) time.Duration {
	if !e.CanFetch() {
		return 0
	}
	return time.Duration(tokens * float64(e.TokenBytes) / e.LinkRate * float64(time.Second))
}

// Pool describes each backend server of a service that produces results in batches.
type Pool struct {
	// Slots is how many calls run at once, QueueLimit how many more may wait.
	Slots      int
	QueueLimit int
	// MaxBatch is the maximum number of items in one call.
	MaxBatch int
	// CallTime is the approximate fixed time of a call, ItemTime the time added by each item.
	CallTime time.Duration
	ItemTime time.Duration
	// ResultMemoryBytes limits the total size of the results held at the same time.
	ResultMemoryBytes int64
	// ResultTTL is how long a result is held unless it is released.
	ResultTTL time.Duration
	// LinkRate is the bytes per second that a server's link carries; 0: unknown.
	LinkRate float64
}

// Limits holds the limits on what callers may send and how long they may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a group of callers.
type Team struct {
	Name string
	Keys []string
	// Priority, if set, takes precedence over that of the route.
	Priority *int
	// AllowedRegions are the regions in which the team's requests may be served; empty: all.
	AllowedRegions []string
}

// ServerState is whether a backend server takes new work.
type ServerState string

// The states.
const (
	ServerReady    ServerState = "ready"
	ServerDraining ServerState = "draining"
)

// Server is one backend server as registered in the store.
type Server struct {
	// ID usually differs between two starts of the server. Incarnation distinguishes two
	// starts under the same ID.
	ID          string
	Incarnation int64
	// Sequence increases with what one start of the server states of itself; 0: not stated.
	Sequence uint64
	Service  string
	Address  netip.AddrPort
	Domain   string
	// Version is the version of its software.
	Version string
	Slots   int
	State   ServerState
	// ColdRemaining is how long the server was to remain cold when it wrote its registration.
	ColdRemaining time.Duration
	// ColdUntil is when the server is warm, by the clock of the process that read the
	// registration; zero: it is not cold.
	ColdUntil time.Time
}

// Software returns the software that the server runs.
func (s *Server) Software() Software { return Software{Service: s.Service, Version: s.Version} }

// IsCold reports whether the server is still warming up and takes only a few requests per second.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// Quarantine keeps a request that crashes backend servers from reaching more of them.
type Quarantine struct {
	Service string
	// Servers are the servers that the request crashed, Versions their software versions.
	Servers  []string
	Versions []string
	// Trials counts how often the request was admitted to test whether it still crashes servers.
	Trials int
	// Revision is the revision of the quarantine's record in the store.
	Revision Revision
}

// Ingress is one process that accepts callers' requests, as registered in the store.
type Ingress struct {
	Name string
	// Address is where the other ingresses reach it.
	Address netip.AddrPort
	Domain  string
	// Capacity is the processor capacity of the process in cores. Work that ingresses do for
	// each other is assigned in proportion to it.
	Capacity float64
	// Ended is set if it has stopped. Its registration then remains until the lease ends, so that its
	// next run knows of this one.
	Ended bool
}
