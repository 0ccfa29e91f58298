// Package runner sends the load of a scenario and counts the answers.
package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/vload/models/scene"
	"verbenaroad.example/vload/modules/pace"
	"verbenaroad.example/vload/services/tally"
)

// ErrRunner is the class of errors of this package.
var ErrRunner = errs.Class("runner") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	dialTimeout  = 2 * time.Second
	idleTimeout  = 30 * time.Second
	readBuffer   = 16 << 10
	writeBuffer  = 16 << 10
	gapsCapacity = 256
)

// Runner sends the load of one scenario once.
type Runner struct {
	scenario *scene.Scenario
	counter  *tally.Counter
	builders []*requestBuilder
	// shared reuses connections; single opens a new one for each request, for requests that must
	// not be sent twice.
	shared *http.Client
	single *http.Client
	// slots holds one element for each request in flight.
	slots chan struct{}
	calls sync.WaitGroup
	gaps  sync.Pool

	mutex sync.Mutex
	// schedule, counts and nextAddress are guarded by mutex; counts holds the number of requests by
	// class.
	schedule    *pace.Schedule
	counts      []uint64
	nextAddress int
}

// New returns a runner. The nonce makes the idempotency keys of this run differ from those of
// others.
func New(s *scene.Scenario, counter *tally.Counter, nonce string) *Runner {
	r := &Runner{
		scenario: s,
		counter:  counter,
		shared:   newClient(s.MaxInFlight, false),
		single:   newClient(s.MaxInFlight, true),
		slots:    make(chan struct{}, s.MaxInFlight),
		schedule: pace.NewSchedule(s.Seed, segments(s)),
		counts:   make([]uint64, len(s.Classes)),
	}
	text := newCorpus(s.Seed)
	for i := range s.Classes {
		class := &s.Classes[i]
		p := newPromptGenerator(text, class.Prompt, s.Seed+uint64(i))
		r.builders = append(r.builders, newRequestBuilder(s, class, p, nonce))
	}
	return r
}

// newClient returns a client that keeps up to inFlight idle connections, or none if single is set.
func newClient(inFlight int, single bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        inFlight,
			MaxIdleConnsPerHost: inFlight,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			DisableKeepAlives:   single,
			ReadBufferSize:      readBuffer,
			WriteBufferSize:     writeBuffer,
		},
		CheckRedirect: keepRedirect,
	}
}

// keepRedirect makes a redirect count as the answer, since following it would send a second
// request.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// segments converts the phases to segments of the schedule.
func segments(s *scene.Scenario) []pace.Segment {
	all := make([]pace.Segment, 0, len(s.Phases))
	for i := range s.Phases {
		p := &s.Phases[i]
		weights := make([]float64, 0, len(s.Classes))
		for j := range s.Classes {
			weights = append(weights, p.WeightOf(&s.Classes[j]))
		}
		all = append(all, pace.Segment{
			Duration: p.Duration.Value(),
			Rate:     max(p.Rate, 1), // the closed mode ignores the rate and may leave it unset
			Poisson:  p.Arrivals == scene.ArrivalsPoisson,
			Weights:  weights,
		})
	}
	return all
}

// Run sends the load of all phases and returns when every answer has ended. If ctx is canceled, it
// stops sending, and the requests in flight are canceled.
func (r *Runner) Run(ctx context.Context) error {
	defer r.shared.CloseIdleConnections()
	var err error
	if r.scenario.Mode == scene.ModeClosed {
		err = r.runClosed(ctx)
	} else {
		err = r.runOpen(ctx)
	}
	r.calls.Wait()
	return err
}

// runOpen sends each request at its scheduled time, regardless of how many answers are outstanding.
func (r *Runner) runOpen(ctx context.Context) error {
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		arrival, ok := r.schedule.Next()
		if !ok {
			return nil
		}
		intended := start.Add(arrival.Offset)
		if err := sleepUntil(ctx, timer, intended); err != nil {
			return err
		}
		r.dispatch(ctx, arrival, intended)
	}
}

// sleepUntil waits until the given time and returns at once if that has passed.
func sleepUntil(ctx context.Context, timer *time.Timer, at time.Time) error {
	wait := time.Until(at)
	if wait <= 0 {
		return ErrRunner.Wrap(ctx.Err())
	}
	timer.Reset(wait)
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ErrRunner.Wrap(ctx.Err())
	}
}

// dispatch starts one request, or counts it as not sent if MaxInFlight requests are in flight.
func (r *Runner) dispatch(ctx context.Context, arrival pace.Arrival, intended time.Time) {
	s := r.newSpec(arrival)
	select {
	case r.slots <- struct{}{}:
	default:
		r.counter.Add(&tally.Sample{Phase: arrival.Segment, Class: arrival.Kind, Ending: tally.EndingNotSent})
		return
	}
	c := &call{runner: r, arrival: arrival, spec: s, intended: intended}
	r.calls.Add(1)
	go c.run(ctx)
}

// release frees the slot of a call.
func (r *Runner) release() {
	<-r.slots
	r.calls.Done()
}

// newSpec assigns the request its number within the class and the next address in turn.
func (r *Runner) newSpec(arrival pace.Arrival) spec {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := r.scenario.Target.Addresses
	s := spec{
		count:   r.counts[arrival.Kind],
		seed:    arrival.Seed,
		address: addresses[r.nextAddress%len(addresses)].String(),
	}
	r.counts[arrival.Kind]++
	r.nextAddress++
	return s
}

// clientFor returns the client for requests of the class. net/http retries requests with an
// idempotency key on its own if a reused connection breaks, so these get new connections.
func (r *Runner) clientFor(class *scene.Class) *http.Client {
	if class.Key == scene.KeyNone || class.Key == "" {
		return r.shared
	}
	return r.single
}

// getGaps returns an empty slice for the times between the tokens of an answer.
func (r *Runner) getGaps() []time.Duration {
	if kept, ok := r.gaps.Get().(*[]time.Duration); ok {
		return (*kept)[:0]
	}
	return make([]time.Duration, 0, gapsCapacity)
}

// putGaps returns the slice to the pool.
func (r *Runner) putGaps(gaps []time.Duration) {
	r.gaps.Put(&gaps)
}
