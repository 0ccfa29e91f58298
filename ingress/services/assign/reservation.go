// Package assign places requests at engines. One ingress, the placer, places all requests of a
// service, so that bursts are spread over the engines and each prompt part is prefilled only
// once. An ingress that cannot reach the placer places its requests by its own view.
package assign

import (
	"sync"
	"time"

	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

// The states that an ingress reports to the placer while a request is in flight. The last report
// is the place.Result of the request.
const (
	stateSent      = "sent"
	stateAnswering = "begun"
)

// Reservation is the place of one request at an engine.
type Reservation struct {
	server site.Server
	// PlacedBy is the name of the ingress that placed the request; empty if it is this one.
	PlacedBy string
	// WasCold reports whether the engine was cold when it was chosen, in the view of this ingress.
	WasCold bool
	// WasLimited reports whether the engine stated a rate limit when it was chosen, in the view of
	// this ingress.
	WasLimited bool
	// FetchFrom is the ID of the engine from which the chosen one should fetch cached parts of the
	// prompt; empty if there is none.
	FetchFrom string
	// Wait is the estimated time until the answer begins.
	Wait time.Duration
	// local is set if this ingress placed the request, with the ID of the placement and the engines
	// of the service; remote is set if another ingress did.
	local  *Placer
	id     uint64
	group  *engineGroup
	remote *link.Assignment
	once   sync.Once
}

// Server returns the chosen engine.
func (r *Reservation) Server() site.Server { return r.server }

// MarkSent records that the request is being sent to the engine.
func (r *Reservation) MarkSent() {
	if r.remote != nil {
		r.remote.Report(&wire.Progress{State: stateSent})
		return
	}
	r.local.update(func(now time.Time) { r.group.engines.MarkSent(now, r.id) })
}

// MarkAnswering records that the answer has begun, with the load that the engine reported in it; nil:
// none.
func (r *Reservation) MarkAnswering(load *site.Load) {
	pace := 0.0
	if load != nil {
		pace = load.Pace
	}
	r.markAnswering(pace)
}

func (r *Reservation) markAnswering(pace float64) {
	if r.remote != nil {
		r.remote.Report(&wire.Progress{State: stateAnswering, Pace: pace})
		return
	}
	r.local.update(func(now time.Time) { r.group.engines.MarkAnswering(now, r.id, pace) })
}

// End releases the reservation and records how the request ended. Further calls do nothing.
func (r *Reservation) End(result place.Result) {
	r.once.Do(func() { r.end(result) })
}

func (r *Reservation) end(result place.Result) {
	if r.remote != nil {
		r.remote.Report(&wire.Progress{State: string(result)})
		r.remote.Close()
		return
	}
	r.local.update(func(now time.Time) { r.group.engines.End(now, r.id, result) })
}
