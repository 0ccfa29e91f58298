// Package engine stands in for a model engine that batches continuously: it
// streams completions in the OpenAI format, caches prompt prefixes in limited
// memory, honours priorities and takes orders.
package engine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenaroad.example/fakes/modules/ledger"
	"verbenaroad.example/fakes/modules/serve"
)

// Options holds the settings of an Engine.
type Options struct {
	// Models are served from the start.
	Models []string
	// Slots is the largest batch; further requests wait.
	Slots int
	// Prefill is spent on every prompt token that is not cached.
	Prefill time.Duration
	// TokenInterval is the time between two tokens of a request that runs alone.
	TokenInterval time.Duration
	// BatchGrowth is the part of TokenInterval that each further request of the batch adds.
	BatchGrowth float64
	// CacheBlocks is the size of the prefix cache in blocks of token.BlockTokens tokens.
	CacheBlocks int
	// EventLag delays cache events.
	EventLag time.Duration
	// EventGap is the probability that a cache event is lost.
	EventGap float64
	// LoadLag delays the load report.
	LoadLag time.Duration
	// Fencing says whether old fencing numbers are refused.
	Fencing Fencing
	// OrderTime is how long an order takes.
	OrderTime time.Duration
	// Seed makes the gaps repeatable.
	Seed int64
}

// Engine generates.
type Engine struct {
	options Options
	ledger  *ledger.Ledger
	catalog *catalog

	mutex   sync.Mutex
	batch   *batch
	history history

	changed chan struct{}
	done    chan struct{}
}

// NewEngine returns an Engine that records its runs in books; Start sets it going.
func NewEngine(options Options, books *ledger.Ledger) *Engine {
	options.Slots = max(options.Slots, 1)
	return &Engine{
		options: options,
		ledger:  books,
		catalog: newCatalog(options),
		batch:   &batch{options: options, cache: newCache(options)},
		history: history{lag: options.LoadLag},
		changed: make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// Start begins to generate.
func (e *Engine) Start() {
	go e.runBatch()
}

// Stop ends generation; requests that are open get no more tokens.
func (e *Engine) Stop() {
	close(e.done)
}

// KindOf counts a call under its path.
func KindOf(r *http.Request) string {
	return r.URL.Path
}

// NewRouter returns the Handler of the engine.
func (e *Engine) NewRouter() http.Handler {
	mux := http.NewServeMux()
	e.ledger.Mount(mux)
	mux.HandleFunc("POST /v1/completions", e.postCompletion)
	mux.HandleFunc("GET /v1/models", e.catalog.getModels)
	mux.HandleFunc("GET /load", e.getLoad)
	mux.HandleFunc("GET /cache-events", e.getCacheEvents)
	mux.HandleFunc("GET /orders", e.catalog.getOrders)
	mux.HandleFunc("POST /orders", e.catalog.postOrder)
	return mux
}

// runBatch makes the steps of the batch when they are due.
func (e *Engine) runBatch() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		next, busy := e.advance(time.Now())
		if busy {
			timer.Reset(time.Until(next))
		} else {
			timer.Stop()
		}
		select {
		case <-e.done:
			return
		case <-e.changed:
		case <-timer.C:
		}
	}
}

func (e *Engine) advance(now time.Time) (next time.Time, busy bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for s := range e.batch.advance(now) {
		select {
		case s.signal <- struct{}{}:
		default:
		}
	}
	e.noteLoad(now)
	return e.batch.next, len(e.batch.running) > 0
}

func (e *Engine) noteLoad(now time.Time) {
	e.history.add(Load{
		Running:     len(e.batch.running),
		Waiting:     len(e.batch.waiting),
		Slots:       e.options.Slots,
		CacheBlocks: e.batch.cache.recent.Len(),
		Tokens:      e.batch.tokens,
	}, now)
}

func (e *Engine) submit(s *sequence) {
	e.mutex.Lock()
	now := time.Now()
	e.batch.add(s, now)
	e.noteLoad(now)
	e.mutex.Unlock()
	e.wake()
}

// cancel frees the sequence's slot at once.
func (e *Engine) cancel(s *sequence) {
	e.mutex.Lock()
	now := time.Now()
	e.batch.remove(s, now)
	e.noteLoad(now)
	e.mutex.Unlock()
	e.wake()
}

// wake makes runBatch look at the batch again.
func (e *Engine) wake() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	load := e.history.get(time.Now())
	e.mutex.Unlock()
	load.Slots = e.options.Slots
	serve.WriteJSON(w, load)
}

// CacheEvents is the answer of GET /cache-events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	e.mutex.Lock()
	events := e.batch.cache.findEvents(after, time.Now())
	e.mutex.Unlock()
	serve.WriteJSON(w, CacheEvents{Events: events})
}
