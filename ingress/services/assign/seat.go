// Package assign gives each request to an engine a place there. One ingress
// places the requests of a service for all of them, so that bursts spread and
// prompt parts are read once; an ingress that cannot reach it places by what
// it knows itself.
package assign

import (
	"sync"
	"time"

	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/link"
)

// The states that an ingress tells of a request that another one placed, beside place.Result.
const (
	stateSent  = "sent"
	stateBegun = "begun"
)

// Seat is one request's place at an engine.
type Seat struct {
	server site.Server
	// By names the ingress that placed the request.
	By string
	// WasCold tells that the engine was cold when it was chosen, as this ingress knew it.
	WasCold bool
	// FetchFrom is the ID of the engine that holds more of the prompt; empty: none does.
	FetchFrom string
	// Wait predicts the time until the answer begins.
	Wait time.Duration
	// local or remote is set.
	local  *Placer
	id     uint64
	unit   *unit
	remote *link.Assignment
	once   sync.Once
}

// Server returns the engine.
func (s *Seat) Server() site.Server { return s.server }

// Sent notes that the request is sent.
func (s *Seat) Sent() {
	if s.remote != nil {
		s.remote.Tell(stateSent)
		return
	}
	s.local.step(func(now time.Time) { s.unit.engines.MarkSent(now, s.id) })
}

// Begun notes that the answer has begun.
func (s *Seat) Begun() {
	if s.remote != nil {
		s.remote.Tell(stateBegun)
		return
	}
	s.local.step(func(now time.Time) { s.unit.engines.MarkAnswering(now, s.id) })
}

// Ended notes how the request ended; further calls do nothing.
func (s *Seat) Ended(result place.Result) {
	s.once.Do(func() { s.end(result) })
}

func (s *Seat) end(result place.Result) {
	if s.remote != nil {
		s.remote.Tell(string(result))
		s.remote.Close()
		return
	}
	s.local.step(func(now time.Time) { s.unit.engines.End(now, s.id, result) })
}
