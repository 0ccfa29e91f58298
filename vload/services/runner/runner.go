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
	book     *tally.Book
	makers   []*maker
	// shared reuses connections; single takes a new one for each request that must not be sent twice.
	shared *http.Client
	single *http.Client
	// slots holds one element for each request in flight.
	slots chan struct{}
	calls sync.WaitGroup
	gaps  sync.Pool

	mutex sync.Mutex
	// schedule, counts and next are guarded by mutex.
	schedule *pace.Schedule
	counts   []uint64
	next     int
}

// New returns a runner. The nonce keeps the idempotency keys of one run apart from those of others.
func New(s *scene.Scenario, book *tally.Book, nonce string) *Runner {
	r := &Runner{
		scenario: s,
		book:     book,
		shared:   newClient(s.MaxInFlight, false),
		single:   newClient(s.MaxInFlight, true),
		slots:    make(chan struct{}, s.MaxInFlight),
		schedule: pace.NewSchedule(s.Seed, segments(s)),
		counts:   make([]uint64, len(s.Classes)),
	}
	text := newCorpus(s.Seed)
	for i := range s.Classes {
		class := &s.Classes[i]
		p := newPrompter(text, class.Prompt, s.Seed+uint64(i))
		r.makers = append(r.makers, newMaker(s, class, p, nonce))
	}
	return r
}

// newClient returns a client that keeps as many connections as there may be requests.
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

// keepRedirect makes a redirect count as the answer, since following it sends a second request.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// segments returns the phases as the schedule wants them.
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
			Rate:     max(p.Rate, 1), // closed mode draws no gaps and may leave the rate out
			Poisson:  p.Arrivals == scene.ArrivalsPoisson,
			Weights:  weights,
		})
	}
	return all
}

// Run sends the whole load and returns when every answer has ended or ctx is canceled.
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

// runOpen sends each request at its scheduled time, however many answers are outstanding.
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

// sleepUntil waits for the time; it returns at once when that has passed.
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

// dispatch starts one request, or counts it as not sent when too many are in flight.
func (r *Runner) dispatch(ctx context.Context, arrival pace.Arrival, intended time.Time) {
	s := r.specify(arrival)
	select {
	case r.slots <- struct{}{}:
	default:
		r.book.Add(&tally.Sample{Phase: arrival.Segment, Class: arrival.Kind, Ending: tally.EndingNotSent})
		return
	}
	c := &call{owner: r, arrival: arrival, spec: s, intended: intended}
	r.calls.Add(1)
	go c.run(ctx)
}

// release gives a slot back.
func (r *Runner) release() {
	<-r.slots
	r.calls.Done()
}

// specify numbers the request within its class and picks its address.
func (r *Runner) specify(arrival pace.Arrival) spec {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	addresses := r.scenario.Target.Addresses
	s := spec{
		count:   r.counts[arrival.Kind],
		seed:    arrival.Seed,
		address: addresses[r.next%len(addresses)].String(),
	}
	r.counts[arrival.Kind]++
	r.next++
	return s
}

// clientOf returns a client that cannot send a keyed request twice by itself.
func (r *Runner) clientOf(class *scene.Class) *http.Client {
	if class.Key == scene.KeyNone || class.Key == "" {
		return r.shared
	}
	return r.single
}

// takeGaps returns an empty slice with room for the gaps of an answer.
func (r *Runner) takeGaps() []time.Duration {
	if kept, ok := r.gaps.Get().(*[]time.Duration); ok {
		return (*kept)[:0]
	}
	return make([]time.Duration, 0, gapsCapacity)
}

// returnGaps keeps the slice for a later answer.
func (r *Runner) returnGaps(gaps []time.Duration) {
	r.gaps.Put(&gaps)
}
