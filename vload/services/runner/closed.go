package runner

import (
	"context"
	"time"

	"verbenaroad.example/vload/modules/pace"
)

// worker is one sender of the closed mode; it has one request in flight at a time.
type worker struct {
	runner *Runner
	start  time.Time
}

// runClosed keeps a fixed number of requests in flight until the phases are over.
func (r *Runner) runClosed(ctx context.Context) error {
	start := time.Now()
	for range r.scenario.Workers {
		w := &worker{runner: r, start: start}
		r.calls.Add(1)
		go w.run(ctx)
	}
	r.calls.Wait()
	return ErrRunner.Wrap(ctx.Err())
}

// run sends requests one after another until the phases are over.
func (w *worker) run(ctx context.Context) {
	defer w.runner.calls.Done()
	for ctx.Err() == nil {
		now := time.Now()
		arrival, ok := w.runner.drawArrival(now.Sub(w.start))
		if !ok {
			return
		}
		c := &call{runner: w.runner, arrival: arrival, spec: w.runner.newSpec(arrival), intended: now}
		c.send(ctx)
	}
}

// drawArrival draws an arrival of the phase at the offset; it returns false after the last phase.
func (r *Runner) drawArrival(offset time.Duration) (pace.Arrival, bool) {
	end := time.Duration(0)
	for i := range r.scenario.Phases {
		end += r.scenario.Phases[i].Duration.Value()
		if offset < end {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			return r.schedule.Draw(offset, i), true
		}
	}
	return pace.Arrival{}, false
}
