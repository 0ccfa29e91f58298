package stages

import (
	"time"
)

// preferredDomain returns the failure domain in which the results of a stage are best produced:
// that of the engine or, if the inputs of an item are larger than its result, that of the inputs.
// Each item fetches all inputs: ten texts of 6 KB that are generated from six passages of 60 KB
// fetch 3.6 MB, and bytes transferred between domains are billed.
func (r *chainRun) preferredDomain(stage int, in stageInputs) string {
	if in.bytes <= r.Stages[stage].ResultBytes {
		return r.Domain
	}
	if domain := r.producer.findHolderDomain(in.handles); domain != "" {
		return domain
	}
	return r.Domain
}

// keyFor returns the key of a stage's items. Stages that take the results of other stages have
// none.
func (r *chainRun) keyFor(stage int) string {
	if len(r.Stages[stage].After) > 0 {
		return ""
	}
	return r.ItemKey
}

// stageInputs are the results that a stage takes.
type stageInputs struct {
	handles []string
	// queue is the queue that produced the inputs; empty if there are several, or if another stage
	// still needs them too.
	queue string
	// bytes is the approximate size of all inputs together.
	bytes int64
}

func (r *chainRun) collectInputs(stage int) stageInputs {
	r.lock.Lock()
	defer r.lock.Unlock()
	in := stageInputs{handles: []string{}}
	shared := false
	for _, input := range r.Stages[stage].After {
		s := r.Stages[input]
		shared = shared || r.consumers[input] > 1 || in.queue != "" && in.queue != s.Service
		in.queue = s.Service
		in.handles = append(in.handles, r.handles[input]...)
		in.bytes += int64(len(r.handles[input])) * s.ResultBytes
	}
	if shared {
		in.queue = ""
	}
	return in
}

// inputsKeptUntil returns until when all inputs of a stage are kept; limited is false if no limit
// is known. A job that waits longer would occupy a server and then fail, because its inputs no
// longer exist.
func (r *chainRun) inputsKeptUntil(stage int) (until time.Time, limited bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, input := range r.Stages[stage].After {
		if at := r.keptUntil[input]; !at.IsZero() && (!limited || at.Before(until)) {
			until, limited = at, true
		}
	}
	return until, limited
}

// forgetInputs drops the handles of a stage's inputs, because its batcher has already released
// them.
func (r *chainRun) forgetInputs(stage int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, input := range r.Stages[stage].After {
		r.handles[input] = nil
	}
}
