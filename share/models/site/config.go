// Package site holds what a deployment gives an ingress from outside: its
// configuration, its backend servers, and what a caller says of a request.
// The types use the project's words; the adapter of a platform fills them in.
package site

import (
	"net/netip"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds.
const (
	// KindIdempotent requests may run any number of times.
	KindIdempotent Kind = "idempotent"
	// KindOnce requests run at most once for each attempt of a caller.
	KindOnce Kind = "once"
	// KindStream requests answer with server-sent events and run at most once, unless the route is resumable.
	KindStream Kind = "stream"
)

// Config is one version of the operators' configuration.
type Config struct {
	// Version rises with each accepted change, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team
}

// Route sends the requests of a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be without its final answer.
	Timeout time.Duration
	// Target is the latency objective; of a stream, up to its first event.
	Target time.Duration
	// MaxGap is the longest pause between two events of an answer that is on time.
	MaxGap time.Duration
	// MaxSilence is for how long callers of a stream wait for its next event, the first
	// one too, before they leave; 0: as long as for the answer.
	MaxSilence time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Backends are the services with their shares; there is at least one.
	Backends []Backend
	// MaxAttempts bounds the backend servers that run one attempt of a caller; at least 1.
	MaxAttempts int
	// Stages come before the request itself, in the order of their numbers.
	Stages []Stage
	// Public routes take requests without a team's key.
	Public bool
	// Resumable streams may go on at another backend server after the last event that arrived.
	Resumable bool
	// AllowedRegions are those in which the requests may be served; empty: all.
	AllowedRegions []string
}

// FirstEventBy is when the caller of a stream leaves if it has seen no event; ends is
// when its request must have ended.
//
// Guards against a request that is held, or whose results are made, for a caller that
// has left: callers wait for a long answer for 20 s, and for its first event for 7 s.
func (r *Route) FirstEventBy(arrived, ends time.Time) time.Time {
	if r.MaxSilence == 0 {
		return ends
	}
	leaves := arrived.Add(r.MaxSilence)
	if ends.Before(leaves) {
		return ends
	}
	return leaves
}

// Backend is one service of a route with its share of the requests.
type Backend struct {
	Service string
	Weight  int
}

// Stage is work whose results a request or a later stage needs.
type Stage struct {
	Service string
	// After lists the stages whose results this one takes; each number is below its own.
	After []int
	// ResultBytes is about the size of one result.
	ResultBytes int64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Engine is set for services that generate tokens.
	Engine *Engine
	// Pool is set for services that make results of stages.
	Pool *Pool
	// ColdTime is how long a backend server is cold after its start, ColdRate how many
	// requests a second one takes meanwhile; 0: no bound is known.
	ColdTime time.Duration
	ColdRate float64
}

// Engine describes each engine of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the memory for running requests and cached prompt parts together.
	CacheTokens int
	// TokenBytes is the size of the memory of one token, LinkRate how many bytes of it a
	// second an engine sends to another one; 0: not known.
	TokenBytes int64
	LinkRate   float64
}

// CanFetch tells whether an engine can take prompt parts from another one.
func (e *Engine) CanFetch() bool { return e.TokenBytes > 0 && e.LinkRate > 0 }

// FetchTime is how long an engine takes to fetch a number of tokens from another one.
func (e *Engine) FetchTime(tokens float64) time.Duration {
	if !e.CanFetch() {
		return 0
	}
	return time.Duration(tokens * float64(e.TokenBytes) / e.LinkRate * float64(time.Second))
}

// Pool describes each backend server of a service that makes results in batches.
type Pool struct {
	// Slots is how many calls are worked on at once, Queue how many more may wait.
	Slots int
	Queue int
	// Batch is the most items of one call.
	Batch int
	// CallTime and ItemTime are about the fixed and the added time of a call.
	CallTime time.Duration
	ItemTime time.Duration
	// RoomBytes bounds the results that are held at the same time.
	RoomBytes int64
	// KeepTime is how long a result is held unless it is released.
	KeepTime time.Duration
	// LinkRate is how many bytes a second a server's link carries; 0: not known.
	LinkRate float64
}

// Limits bound what callers may send.
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
	// Priority goes before that of the route where it is set.
	Priority *int
	// AllowedRegions are those in which the team's requests may be served; empty: all.
	AllowedRegions []string
}

// ServerState says whether a backend server takes new work.
type ServerState string

// The states.
const (
	ServerReady    ServerState = "ready"
	ServerDraining ServerState = "draining"
)

// Server is one backend server as it registered itself.
type Server struct {
	// ID names one start of the server, mostly; Born tells two starts under one ID apart.
	ID      string
	Born    int64
	Service string
	Address netip.AddrPort
	Domain  string
	// Version is that of its software.
	Version string
	Slots   int
	State   ServerState
	// ColdFor is how much longer the server was cold when it wrote its registration.
	ColdFor time.Duration
	// ColdUntil is when it is warm, by the clock of the process that read the
	// registration; zero: it is not cold.
	ColdUntil time.Time
}

// IsCold tells whether the server takes only a few requests a second.
func (s *Server) IsCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// Quarantine keeps a request that crashes backend servers from reaching any more of them.
type Quarantine struct {
	Service string
	// Servers are those that it crashed, Versions those of their software.
	Servers  []string
	Versions []string
	// Trials counts how often the request was let through to see whether it still does.
	Trials int
	// Revision is that of its record.
	Revision uint64
}

// Ingress is one process of the system that takes callers' requests, as it registered itself.
type Ingress struct {
	Name string
	// Address is where the other ingresses reach it.
	Address netip.AddrPort
	Domain  string
	// Capacity is its share of a processor core; work for the others goes to ingresses
	// in proportion.
	Capacity float64
	// Incarnation differs between two starts under one name.
	Incarnation string
}
