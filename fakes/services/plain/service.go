// Package plain stands in for a plain service: it takes any call, works for
// a while and answers with a digest of the body.
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
	// Slots is how many calls run at once; more wait.
	Slots int
}

// Service answers calls.
type Service struct {
	options Options
	slots   *slots.Slots
	ledger  *ledger.Ledger
}

// Answer is the body of every answer.
type Answer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	// BodyDigest is that of the ledger.
	BodyDigest string `json:"body-digest"`
	Run        int    `json:"run"`
}

// NewService returns a Service that records its runs in books.
func NewService(options Options, books *ledger.Ledger) *Service {
	return &Service{options: options, slots: slots.NewSlots(options.Slots), ledger: books}
}

// KindOf counts every call as a call.
func KindOf(*http.Request) string {
	return "call"
}

// NewRouter returns the Handler of the service.
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
	// A run that has started goes on when its caller goes away: an order once taken is carried out.
	slots.Sleep(context.WithoutCancel(r.Context()), s.options.Time)
	serve.WriteJSON(w, Answer{Method: run.Method, Path: run.Path, Key: run.Key, BodyDigest: run.BodyDigest, Run: run.Run})
}
