package runner

import (
	"context"
	"time"

	"verbenaroad.example/vload/modules/pace"
)

// worker is one sender of the closed loop.
type worker struct {
	owner *Runner
	start time.Time
}

// runClosed keeps a fixed number of requests under way until the phases are over.
func (r *Runner) runClosed(ctx context.Context) error {
	start := time.Now()
	for range r.scenario.Workers {
		w := &worker{owner: r, start: start}
		r.calls.Add(1)
		go w.run(ctx)
	}
	r.calls.Wait()
	return ErrRunner.Wrap(ctx.Err())
}

// run sends one request after the other.
func (w *worker) run(ctx context.Context) {
	defer w.owner.calls.Done()
	for ctx.Err() == nil {
		now := time.Now()
		arrival, ok := w.owner.draw(now.Sub(w.start))
		if !ok {
			return
		}
		c := &call{owner: w.owner, arrival: arrival, spec: w.owner.specify(arrival), intended: now}
		c.send(ctx)
	}
}

// draw returns a request for the phase at the offset, or false after the last phase.
func (r *Runner) draw(offset time.Duration) (pace.Arrival, bool) {
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
