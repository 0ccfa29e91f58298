// Package engine is a stand-in for a model engine with continuous batching. It streams completions
// in the OpenAI format, caches prompt prefixes in limited memory, admits requests by priority and
// accepts orders that change what it serves.
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
	// Models lists the models served from the start.
	Models []string
	// Slots is the maximum number of requests in the batch; further requests wait.
	Slots int
	// Prefill is the prefill time of each prompt token that is not cached.
	Prefill time.Duration
	// TokenInterval is the time between two tokens of a request that is alone in the batch.
	TokenInterval time.Duration
	// BatchGrowth is the fraction of TokenInterval by which each further request in the batch extends
	// the time between two tokens.
	BatchGrowth float64
	// CacheBlocks is the size of the prefix cache in blocks of token.BlockTokens tokens.
	CacheBlocks int
	// EventLag is the delay of cache events.
	EventLag time.Duration
	// EventGap is the probability that a cache event is lost.
	EventGap float64
	// LoadLag is the delay of the load report.
	LoadLag time.Duration
	// Fencing states whether orders with old fencing numbers are refused.
	Fencing FencingMode
	// OrderTime is how long an order takes.
	OrderTime time.Duration
	// Seed seeds the choice of the lost cache events, which makes it reproducible.
	Seed int64
}

// Engine serves the HTTP API and generates the answers.
type Engine struct {
	options Options
	ledger  *ledger.Ledger
	catalog *catalog

	mutex   sync.Mutex
	batch   *batch
	history loadHistory

	// changed wakes runBatch; done is closed by Stop.
	changed chan struct{}
	done    chan struct{}
}

// NewEngine returns an Engine that records its runs in runLedger. Start starts the generation.
func NewEngine(options Options, runLedger *ledger.Ledger) *Engine {
	options.Slots = max(options.Slots, 1)
	return &Engine{
		options: options,
		ledger:  runLedger,
		catalog: newCatalog(options),
		batch:   &batch{options: options, cache: newCache(options)},
		history: loadHistory{lag: options.LoadLag},
		changed: make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// Start starts the generation in its own goroutine.
func (e *Engine) Start() {
	go e.runBatch()
}

// Stop ends the generation; requests in flight receive no further tokens.
func (e *Engine) Stop() {
	close(e.done)
}

// KindOf returns the kind under which a call is counted: its path.
func KindOf(r *http.Request) string {
	return r.URL.Path
}

// NewRouter returns the HTTP handler of the engine.
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

// runBatch executes the steps of the batch when they are due, until Stop.
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

// advance executes the steps that are due and signals the sequences that received tokens. It
// returns the time of the next step; busy is false if no sequence is running.
func (e *Engine) advance(now time.Time) (next time.Time, busy bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for s := range e.batch.advance(now) {
		select {
		case s.signal <- struct{}{}:
		default:
		}
	}
	e.recordLoad(now)
	return e.batch.nextStep, len(e.batch.running) > 0
}

func (e *Engine) recordLoad(now time.Time) {
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
	e.recordLoad(now)
	e.mutex.Unlock()
	e.wake()
}

// cancel drops the sequence and frees its slot at once.
func (e *Engine) cancel(s *sequence) {
	e.mutex.Lock()
	now := time.Now()
	e.batch.remove(s, now)
	e.recordLoad(now)
	e.mutex.Unlock()
	e.wake()
}

// wake makes runBatch check the batch again.
func (e *Engine) wake() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	load := e.history.delayed(time.Now())
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
