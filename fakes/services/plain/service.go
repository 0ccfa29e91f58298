// Package plain is a stand-in for a backend server of a plain service. It accepts any call, waits
// for the service time and answers with a digest of the body.
package plain

import (
	"context"
	"io"
	"net/http"
	"time"

	"verbenaroad.example/fakes/modules/ledger"
	"verbenaroad.example/fakes/modules/serve"
	"verbenaroad.example/fakes/modules/slots"
)

// Options holds the settings of a Service.
type Options struct {
	// Time is how long each call takes.
	Time time.Duration
	// Slots is the maximum number of calls that run at once; further calls wait.
	Slots int
}

// Service is the stand-in's HTTP service.
type Service struct {
	options Options
	slots   *slots.Slots
	ledger  *ledger.Ledger
}

// Answer is the JSON body of every answer.
type Answer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	// BodyDigest is the digest of the request's body, as the ledger records it.
	BodyDigest string `json:"body-digest"`
	Run        int    `json:"run"`
}

// NewService returns a Service that records its runs in runLedger.
func NewService(options Options, runLedger *ledger.Ledger) *Service {
	return &Service{options: options, slots: slots.NewSlots(options.Slots), ledger: runLedger}
}

// KindOf returns the kind under which a call is counted, the same for every call.
func KindOf(*http.Request) string {
	return "call"
}

// NewRouter returns the HTTP handler of the service.
func (s *Service) NewRouter() http.Handler {
	mux := http.NewServeMux()
	s.ledger.Mount(mux)
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.slots.Acquire(r.Context()) {
		return
	}
	defer s.slots.Release()
	run := s.ledger.Start(r, body)
	defer s.ledger.Finish(run.Run)
	// A run that has started continues if the caller disconnects: an accepted order is executed.
	slots.Sleep(context.WithoutCancel(r.Context()), s.options.Time)
	serve.WriteJSON(w, Answer{Method: run.Method, Path: run.Path, Key: run.Key, BodyDigest: run.BodyDigest, Run: run.Run})
}
