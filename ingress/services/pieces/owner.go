package pieces

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/shard"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/wire"
)

// Pools calls the backend servers that make results.
type Pools interface {
	Make(ctx context.Context, server site.Server, items []site.Item) (site.BatchAnswer, error)
	Release(ctx context.Context, holder netip.AddrPort, handles []string) error
	// Warm prepares for the next call to a server.
	Warm(server site.Server)
	// ReadHolder returns the address of the server that holds a result.
	ReadHolder(handle string) (netip.AddrPort, error)
}

// Meter counts calls.
type Meter interface {
	CountBatch(service, outcome string, items int, took time.Duration)
}

// OwnerOptions are the settings of an Owner.
type OwnerOptions struct {
	Pools   Pools
	Meter   Meter
	Repeats budget.Settings
	// Regions maps failure domains to their regions; Region is that of this ingress.
	Regions map[string]string
	Region  string
	// Discard releases results of another service, which may be batched elsewhere.
	Discard func(service string, handles []string)
	// OnCrash is told of calls that broke off with one request's items alone in them; nil: nobody is.
	OnCrash func(c batch.Crash)
	Log     *zap.Logger
}

const (
	// tickEvery is how soon a planner looks again at servers and jobs that it held back;
	// jobs are gathered for 20 ms.
	tickEvery = 5 * time.Millisecond
	// releaseEvery is how long released handles gather, so that one call names many.
	releaseEvery = 10 * time.Millisecond
	// releaseTimeout bounds a release; the result ends by itself a few seconds later.
	releaseTimeout = 2 * time.Second
)

// Owner batches for services. Several ingresses may do so for the same one for
// a while; their calls then meet full servers and nothing worse.
type Owner struct {
	options OwnerOptions

	lock sync.Mutex
	// units are by the name of their queue, budgets by service.
	units   map[string]*unit
	budgets map[string]*budget.Budget
	// released gathers handles by the server that holds them.
	released  map[netip.AddrPort][]heldHandle
	ingresses int
	lastJob   uint64
}

type heldHandle struct {
	service string
	handle  string
}

// unit is one queue of a service with the callers that wait for its jobs.
type unit struct {
	planner *batch.Planner
	repeats *budget.Budget
	waiting map[uint64]chan batch.Completion
}

// NewOwner returns an owner that knows no servers.
func NewOwner(options OwnerOptions) *Owner {
	return &Owner{options: options, units: map[string]*unit{}, budgets: map[string]*budget.Budget{}, released: map[netip.AddrPort][]heldHandle{}}
}

// Start plans and releases until the context ends.
func (o *Owner) Start(ctx context.Context) {
	go o.loopTick(ctx)
	go o.loopRelease(ctx)
}

// SetRepeats takes a new bound of repeats.
func (o *Owner) SetRepeats(settings budget.Settings) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.options.Repeats = settings
	for _, b := range o.budgets {
		b.SetSettings(settings)
	}
}

// TakeView takes the servers of a new view.
func (o *Owner) TakeView(v *state.View) {
	if v.Table == nil {
		return
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.ingresses = max(o.ingresses, len(v.Ingresses))
	for _, s := range v.Table.Config().Services {
		if s.Pool == nil {
			continue
		}
		o.takeServers(s, shard.QueueName(s.Name, ""), v.Servers[s.Name])
		for region, servers := range shard.GroupByRegion(v.Servers[s.Name], o.options.Regions) {
			o.takeServers(s, shard.QueueName(s.Name, region), servers)
		}
	}
}

// takeServers takes the servers of one queue; called under the lock.
func (o *Owner) takeServers(s site.Service, queue string, servers []site.Server) {
	u := o.units[queue]
	if u == nil {
		u = o.newUnit(s)
		o.units[queue] = u
	}
	u.planner.SetPool(*s.Pool)
	o.perform(queue, u, u.planner.SetServers(time.Now(), servers))
}

func (o *Owner) newUnit(s site.Service) *unit {
	repeats := o.budgets[s.Name]
	if repeats == nil {
		repeats = budget.NewBudget(o.options.Repeats)
		o.budgets[s.Name] = repeats
	}
	planner := batch.NewPlanner(*s.Pool, o.options.Regions, func(now time.Time, n int) bool {
		return repeats.TakeRetries(now, n, o.ingresses)
	})
	return &unit{planner: planner, repeats: repeats, waiting: map[uint64]chan batch.Completion{}}
}

// Produce does a job and waits for its end.
func (o *Owner) Produce(ctx context.Context, service string, j batch.Job) batch.Completion {
	o.lock.Lock()
	u := o.units[service]
	if u == nil {
		o.lock.Unlock()
		return batch.Completion{Outcome: batch.OutcomeNoServer, RetryAfter: time.Second}
	}
	o.lastJob++
	j.ID = o.lastJob
	done := make(chan batch.Completion, 1)
	u.waiting[j.ID] = done
	u.repeats.CountRequest(time.Now())
	o.perform(service, u, u.planner.Add(time.Now(), j))
	o.lock.Unlock()
	select {
	case d := <-done:
		return d
	case <-ctx.Done():
	}
	o.lock.Lock()
	o.perform(service, u, u.planner.Cancel(time.Now(), j.ID))
	o.lock.Unlock()
	d := <-done // the planner ends each job once
	if d.Outcome == batch.OutcomeMade {
		o.Discard(service, d.Handles)
	}
	return batch.Completion{Outcome: batch.OutcomeCanceled, InputsReleased: d.InputsReleased}
}

// Outlooks tells what new jobs have to expect, of the services that have some here.
func (o *Owner) Outlooks() []*wire.Outlook {
	o.lock.Lock()
	defer o.lock.Unlock()
	outlooks := []*wire.Outlook{}
	for service, u := range o.units {
		if u.planner.CountJobs() == 0 {
			continue
		}
		outlooks = append(outlooks, encodeOutlook(service, u.planner.Backlog(time.Now())))
	}
	return outlooks
}

// perform does what a planner wants; called under the lock.
func (o *Owner) perform(service string, u *unit, a batch.Actions) {
	for _, d := range a.Completions {
		if waiter := u.waiting[d.JobID]; waiter != nil {
			delete(u.waiting, d.JobID)
			waiter <- d
		}
	}
	o.gather(service, a.Release)
	for _, c := range a.Crashes {
		if o.options.OnCrash != nil {
			o.options.OnCrash(c)
		}
	}
	for _, f := range a.ReleaseInputs {
		go o.runFetched(f)
	}
	for _, c := range a.Calls {
		go o.runCall(service, u, c)
	}
}

// runFetched gives up the inputs of a job whose servers have fetched them.
func (o *Owner) runFetched(f batch.JobInputs) {
	o.options.Log.Info("inputs-released", zap.String("request", f.AttemptID), zap.String("service", f.Service),
		zap.Int("handles", len(f.Handles)))
	o.options.Discard(f.Service, f.Handles)
}

// runCall sends one call and hands its end to the planner.
func (o *Owner) runCall(service string, u *unit, c batch.Call) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	o.options.Pools.Warm(c.Server)
	made, err := o.options.Pools.Make(ctx, c.Server, c.Items)
	took := time.Since(began)
	outcome := "answered"
	if err != nil {
		outcome = "broken"
	} else if len(made.Results) > 0 && made.Results[0].Outcome == site.ItemRefused {
		outcome = "refused"
	}
	o.options.Meter.CountBatch(service, outcome, len(c.Items), took)
	o.options.Log.Info("batch", zap.String("service", service), zap.String("server", c.Server.ID), zap.Int("items", len(c.Items)),
		zap.String("outcome", outcome), zap.String("results", countOutcomes(made.Results)), zap.Stringer("load", made.Load),
		zap.Int64("held-bytes", c.HeldBytes), zap.Int("waiting", c.QueuedItems),
		zap.Duration("took", took), logs.Err(err))
	o.lock.Lock()
	defer o.lock.Unlock()
	o.perform(service, u, u.planner.FinishCall(time.Now(), c.ID, batch.CallResult{
		Results: made.Results, Load: made.Load, RoundTrip: made.RoundTrip, Failed: err != nil, Unsent: isUnsent(err),
	}))
}

// isUnsent tells whether a call failed since its server took no connection.
func isUnsent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// countOutcomes describes the results of a call, such as "made=12,no-room=2".
func countOutcomes(results []site.ItemResult) string {
	counts := map[string]int{}
	for _, r := range results {
		counts[string(r.Outcome)]++
	}
	parts := []string{}
	for _, outcome := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", outcome, counts[outcome]))
	}
	return strings.Join(parts, ",")
}

// loopTick lets the planners look again at what they held back.
func (o *Owner) loopTick(ctx context.Context) {
	for pauses.Wait(ctx, tickEvery) {
		o.lock.Lock()
		for service, u := range o.units {
			if u.planner.CountJobs() > 0 {
				o.perform(service, u, u.planner.Tick(time.Now()))
			}
		}
		o.lock.Unlock()
	}
}
