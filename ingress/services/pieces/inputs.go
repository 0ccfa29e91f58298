package pieces

import (
	"time"
)

// domainOf returns the failure domain in which a stage is best made: beside the engine,
// or beside its inputs where more bytes come in than go out. Each item fetches all
// inputs: ten generated texts of 6 KB from six passages of 60 KB move 3.6 MB, and what
// crosses between domains is charged for.
func (w *walk) domainOf(stage int, in inputs) string {
	if in.bytes <= w.Stages[stage].ResultBytes {
		return w.Domain
	}
	if domain := w.maker.findDomain(in.handles); domain != "" {
		return domain
	}
	return w.Domain
}

func (w *walk) keyOf(stage int) string {
	if len(w.Stages[stage].After) > 0 {
		return ""
	}
	return w.Key
}

// inputs are the results that a stage takes.
type inputs struct {
	handles []string
	// service made them; empty where several did, or another stage needs them too.
	service string
	// bytes is about the size of all of them together.
	bytes int64
}

func (w *walk) inputsOf(stage int) inputs {
	w.lock.Lock()
	defer w.lock.Unlock()
	in := inputs{handles: []string{}}
	shared := false
	for _, before := range w.Stages[stage].After {
		s := w.Stages[before]
		shared = shared || w.users[before] > 1 || in.service != "" && in.service != s.Service
		in.service = s.Service
		in.handles = append(in.handles, w.handles[before]...)
		in.bytes += int64(len(w.handles[before])) * s.ResultBytes
	}
	if shared {
		in.service = ""
	}
	return in
}

// inputsUntil returns how long the inputs of a stage are kept. A job that waits for
// longer would find them gone after its server has worked on it.
func (w *walk) inputsUntil(stage int) (until time.Time, bound bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, before := range w.Stages[stage].After {
		if at := w.until[before]; !at.IsZero() && (!bound || at.Before(until)) {
			until, bound = at, true
		}
	}
	return until, bound
}

// forgetInputs notes that a stage's inputs were given up where it was made.
func (w *walk) forgetInputs(stage int) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, before := range w.Stages[stage].After {
		w.handles[before] = nil
	}
}
