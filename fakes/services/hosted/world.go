package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// World is a small deployment: a store, backend servers and the results that they hold.
type World struct {
	Store *Store

	lock    sync.Mutex
	servers []*Server
	held    map[string]holding
	notes   []string
	version int
	// poison is the body of requests that crash who runs them, for how long; empty: there are none.
	poison string
	down   time.Duration
	// poisonKey is the key of items that do the same.
	poisonKey string
}

type holding struct {
	owner  string
	server *Server
	until  time.Time
}

// NewWorld returns a world whose store has n addresses.
func NewWorld(n int) (*World, error) {
	store, err := NewStore(n)
	if err != nil {
		return nil, err
	}
	return &World{Store: store, held: map[string]holding{}}, nil
}

// Add starts a backend server and registers it as ready.
func (w *World) Add(s *Server) (*Server, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	s.store = w.Store
	s.world = w
	if s.ID == "" {
		s.ID = fmt.Sprintf("i-%s-%d", s.Service, len(w.servers))
	}
	server, err := listenHTTP(http.HandlerFunc(s.serve))
	if err != nil {
		return nil, err
	}
	s.server = server
	w.servers = append(w.servers, s)
	s.Register("ready")
	return s, nil
}

// Close ends everything.
func (w *World) Close() {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, s := range w.servers {
		s.server.close()
	}
	w.Store.Close()
}

// Runs returns every run of an attempt.
func (w *World) Runs(attempt string) []Seen {
	w.lock.Lock()
	servers := append([]*Server{}, w.servers...)
	w.lock.Unlock()
	runs := []Seen{}
	for _, s := range servers {
		for _, seen := range s.Seen() {
			if seen.AttemptID == attempt {
				runs = append(runs, seen)
			}
		}
	}
	return runs
}

// SetPoison has each server crash that begins a request with this body, and start again after a time.
func (w *World) SetPoison(body string, down time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.poison, w.down = body, down
}

// SetPoisonKey has each server crash that makes results of items with this key, and start again after a time.
func (w *World) SetPoisonKey(key string, down time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.poisonKey, w.down = key, down
}

// hasPoison tells whether a call crashes its server.
func (w *World) hasPoison(items []stageItem) (down time.Duration, crashes bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.down, w.poisonKey != "" && slices.ContainsFunc(items, func(i stageItem) bool { return i.Key == w.poisonKey })
}

func (w *World) crashTime(body string) (down time.Duration, crashes bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.down, w.poison != "" && body == w.poison
}

// CountRuns returns how often a request with this body was run.
func (w *World) CountRuns(body string) int {
	w.lock.Lock()
	servers := append([]*Server{}, w.servers...)
	w.lock.Unlock()
	count := 0
	for _, s := range servers {
		for _, seen := range s.Seen() {
			if seen.Body == body {
				count++
			}
		}
	}
	return count
}

// Notes returns what was wrong with the calls of the system.
func (w *World) Notes() []string {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]string{}, w.notes...)
}

// Held returns how many results are held.
func (w *World) Held() int {
	w.expire()
	w.lock.Lock()
	defer w.lock.Unlock()
	return len(w.held)
}

// expire ends the results whose time is over.
func (w *World) expire() {
	w.lock.Lock()
	over := []string{}
	for handle, h := range w.held {
		if time.Now().After(h.until) {
			over = append(over, handle)
		}
	}
	w.lock.Unlock()
	for _, handle := range over {
		w.release(handle)
	}
}

func (w *World) note(text string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.notes = append(w.notes, text)
}

func (w *World) hold(handle, owner string, s *Server) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.held[handle] = holding{owner: owner, server: s, until: time.Now().Add(keepTime)}
}

func (w *World) has(handle string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	h, known := w.held[handle]
	return known && time.Now().Before(h.until)
}

func (w *World) ownerOf(handle string) string {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.held[handle].owner
}

func (w *World) release(handle string) {
	w.lock.Lock()
	h, known := w.held[handle]
	delete(w.held, handle)
	w.lock.Unlock()
	if known {
		h.server.lock.Lock()
		h.server.results--
		h.server.lock.Unlock()
	}
}

// Route is a route of the configuration in the platform's spelling.
type Route map[string]any

// PutConfig writes the next version of the configuration.
func (w *World) PutConfig(routes []Route, services []map[string]any, tenants []map[string]any) int {
	w.lock.Lock()
	w.version += 3
	version := w.version
	w.lock.Unlock()
	w.Store.Put("op/config", map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Tenants": tenants,
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
	})
	return version
}
