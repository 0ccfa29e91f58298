package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// World is a small deployment: a store, backend servers and the results that the pool servers hold.
type World struct {
	Store *Store
	// MaxBodyBytes is the largest body that configurations written from now on allow.
	MaxBodyBytes int

	lock       sync.Mutex
	servers    []*Server
	held       map[string]heldResult
	violations []string
	version    int
	// config is the configuration that was written last.
	config map[string]any
	// poisonBody is the body of plain and stream requests that crash the server that runs them;
	// empty: none.
	poisonBody string
	// downTime is how long a server that crashed on a poisonous request stays down before it restarts.
	downTime time.Duration
	// poisonKey is the key of pool items that crash the server that runs them; empty: none.
	poisonKey string
	// poisonPart is the prompt part of streams that crash the server that runs them; empty: none.
	poisonPart string
	// partArrivals holds when streams with poisonPart arrived, partCrashes when servers crashed on them.
	partArrivals []time.Time
	partCrashes  []time.Time
}

// heldResult is a result that a pool server holds until it is released or expires.
type heldResult struct {
	owner  string
	server *Server
	// expiry is when the result is dropped without a release.
	expiry time.Time
}

// defaultMaxBodyBytes is the largest body that a configuration allows unless the world sets another.
const defaultMaxBodyBytes = 64 << 10

// NewWorld returns a World without servers whose store listens on n addresses.
func NewWorld(n int) (*World, error) {
	store, err := NewStore(n)
	if err != nil {
		return nil, err
	}
	return &World{MaxBodyBytes: defaultMaxBodyBytes, Store: store, held: map[string]heldResult{}}, nil
}

// Add starts a backend server and registers it as ready. A server without an ID gets one.
func (w *World) Add(s *Server) (*Server, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	s.store = w.Store
	s.world = w
	if s.ID == "" {
		s.ID = fmt.Sprintf("i-%s-%d", s.Service, len(w.servers))
	}
	if s.Slots > 0 {
		s.turns = make(chan struct{}, s.Slots)
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

// Close stops the servers and the store.
func (w *World) Close() {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, s := range w.servers {
		s.server.close()
	}
	w.Store.Close()
}

// Runs returns the runs of an attempt on all servers.
func (w *World) Runs(attempt string) []Run {
	w.lock.Lock()
	servers := append([]*Server{}, w.servers...)
	w.lock.Unlock()
	runs := []Run{}
	for _, s := range servers {
		for _, run := range s.Runs() {
			if run.AttemptID == attempt {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// CountAttempts returns how often an attempt arrived at a server that runs plain requests or streams.
func (w *World) CountAttempts(attempt string) int {
	w.lock.Lock()
	servers := append([]*Server{}, w.servers...)
	w.lock.Unlock()
	count := 0
	for _, s := range servers {
		for _, a := range s.Attempts() {
			if a.ID == attempt {
				count++
			}
		}
	}
	return count
}

// SetPoison makes a server crash when it starts a plain or stream request with this body. The
// server restarts after downTime.
func (w *World) SetPoison(body string, downTime time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.poisonBody, w.downTime = body, downTime
}

// SetPoisonKey makes a server crash when it starts a pool call that has an item with this key. The
// server restarts after downTime.
func (w *World) SetPoisonKey(key string, downTime time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.poisonKey, w.downTime = key, downTime
}

// SetPoisonPart makes a server crash when it starts a stream whose prompt has this part, unless it is the
// last one. The server restarts after downTime. An empty part ends that.
func (w *World) SetPoisonPart(part string, downTime time.Duration) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.poisonPart, w.downTime = part, downTime
}

// PartArrivals returns when streams with the part of SetPoisonPart arrived at servers.
func (w *World) PartArrivals() []time.Time {
	w.lock.Lock()
	defer w.lock.Unlock()
	return slices.Clone(w.partArrivals)
}

// PartCrashes returns when servers crashed on streams with the part of SetPoisonPart.
func (w *World) PartCrashes() []time.Time {
	w.lock.Lock()
	defer w.lock.Unlock()
	return slices.Clone(w.partCrashes)
}

// checkParts reports whether a stream with these prompt parts crashes its server, and for how long.
func (w *World) checkParts(parts string) (downTime time.Duration, crashes bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	ids := strings.Split(parts, ",")
	for _, part := range ids[:len(ids)-1] {
		if id, _, _ := strings.Cut(part, ":"); id == w.poisonPart && id != "" {
			w.partArrivals = append(w.partArrivals, time.Now())
			return w.downTime, true
		}
	}
	return 0, false
}

func (w *World) recordPartCrash() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.partCrashes = append(w.partCrashes, time.Now())
}

// checkItems reports whether a pool call with these items crashes its server, and for how long.
func (w *World) checkItems(items []stageItem) (downTime time.Duration, crashes bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.downTime, w.poisonKey != "" && slices.ContainsFunc(items, func(i stageItem) bool { return i.Key == w.poisonKey })
}

// checkBody reports whether a request with this body crashes its server, and for how long.
func (w *World) checkBody(body string) (downTime time.Duration, crashes bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.downTime, w.poisonBody != "" && body == w.poisonBody
}

// CountRuns returns the number of runs of plain and stream requests with this body on all servers.
func (w *World) CountRuns(body string) int {
	w.lock.Lock()
	servers := append([]*Server{}, w.servers...)
	w.lock.Unlock()
	count := 0
	for _, s := range servers {
		for _, run := range s.Runs() {
			if run.Body == body {
				count++
			}
		}
	}
	return count
}

// Violations describes each input of a pool call that was produced for another item ID, and each
// failed restart of a server.
func (w *World) Violations() []string {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]string{}, w.violations...)
}

// HeldResults returns the number of results that the pool servers hold.
func (w *World) HeldResults() int {
	w.expire()
	w.lock.Lock()
	defer w.lock.Unlock()
	return len(w.held)
}

// expire releases the results that have expired.
func (w *World) expire() {
	w.lock.Lock()
	expired := []string{}
	for handle, h := range w.held {
		if time.Now().After(h.expiry) {
			expired = append(expired, handle)
		}
	}
	w.lock.Unlock()
	for _, handle := range expired {
		w.release(handle)
	}
}

func (w *World) recordViolation(text string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.violations = append(w.violations, text)
}

// hold records a result of server s and its owner.
func (w *World) hold(handle, owner string, s *Server) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.held[handle] = heldResult{owner: owner, server: s, expiry: time.Now().Add(resultTTL)}
}

// isHeld reports whether the result is held and has not expired.
func (w *World) isHeld(handle string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	h, known := w.held[handle]
	return known && time.Now().Before(h.expiry)
}

// ownerOf returns the ID of the item that the result was produced for.
func (w *World) ownerOf(handle string) string {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.held[handle].owner
}

// release drops the result and frees its place on its server; it does nothing if the result is not
// held.
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

// Route is a route of the configuration, with the field names of the platform.
type Route map[string]any

// PutConfig writes a new version of the configuration to the store and returns its number.
func (w *World) PutConfig(routes []Route, services []map[string]any, tenants []map[string]any) int {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.version += 3
	w.config = map[string]any{
		"Version": w.version, "Routes": routes, "Services": services, "Tenants": tenants,
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": w.MaxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
	}
	w.Store.Put("op/config", w.config)
	return w.version
}
