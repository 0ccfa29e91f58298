package engine

import (
	"sort"
	"sync/atomic"
	"time"

	"verbenaroad.example/fakes/modules/token"
)

// sequence is one generation.
type sequence struct {
	prompt string
	// first is the index of the first token; above 0 for a stream that is resumed.
	first    int
	limit    int
	priority int

	// begin records the run; it is called when the sequence enters the batch,
	// so that runs are recorded in the order of their start.
	begin func()
	// started is closed after begin.
	started chan struct{}
	// cached is written before started is closed.
	cached int
	// ready is when its prefill is done.
	ready time.Time
	// emitted counts the tokens generated so far.
	emitted atomic.Int64
	// signal holds an element when emitted has grown.
	signal chan struct{}
}

func newSequence(prompt string, first, limit, priority int) *sequence {
	return &sequence{
		prompt:   prompt,
		first:    first,
		limit:    limit,
		priority: priority,
		started:  make(chan struct{}),
		signal:   make(chan struct{}, 1),
	}
}

// batch is the model of continuous batching: sequences enter and leave
// between steps, and each step gives every prefilled one a token.
type batch struct {
	options Options
	cache   *cache
	// waiting is ordered by priority, lowest number first, then by arrival.
	waiting []*sequence
	running []*sequence
	// tokens counts those generated since the start.
	tokens int64
	// next is when the next step is due; meaningless while nothing runs.
	next time.Time
}

// add queues a sequence and admits it if a slot is free.
func (b *batch) add(s *sequence, now time.Time) {
	at := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].priority > s.priority })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = s
	b.admit(now)
}

// remove drops a sequence wherever it is, and gives its slot to the next at once.
func (b *batch) remove(s *sequence, now time.Time) {
	b.waiting = without(b.waiting, s)
	b.running = without(b.running, s)
	b.admit(now)
}

func without(list []*sequence, s *sequence) []*sequence {
	for i := range list {
		if list[i] == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

func (b *batch) admit(now time.Time) {
	for len(b.waiting) > 0 && len(b.running) < b.options.Slots {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.cached = b.cache.use(token.Blocks(s.prompt), now)
		uncached := token.Count(s.prompt) - s.cached
		s.ready = now.Add(time.Duration(uncached) * b.options.Prefill)
		if len(b.running) == 0 || s.ready.Before(b.next) && !b.decoding(b.next) {
			b.next = s.ready
		}
		b.running = append(b.running, s)
		s.begin()
		close(s.started)
	}
}

// decoding reports whether any running sequence is prefilled at t.
func (b *batch) decoding(t time.Time) bool {
	for _, s := range b.running {
		if !s.ready.After(t) {
			return true
		}
	}
	return false
}

// advance makes every step that is due and returns the sequences that got
// tokens, each once: tokens due together are written together.
func (b *batch) advance(now time.Time) map[*sequence]struct{} {
	fed := map[*sequence]struct{}{}
	for len(b.running) > 0 && !b.next.After(now) {
		b.step(b.next, fed)
	}
	return fed
}

func (b *batch) step(at time.Time, fed map[*sequence]struct{}) {
	kept := b.running[:0]
	decoding := 0
	earliest := time.Time{}
	for _, s := range b.running {
		if s.ready.After(at) {
			kept = append(kept, s)
			if earliest.IsZero() || s.ready.Before(earliest) {
				earliest = s.ready
			}
			continue
		}
		fed[s] = struct{}{}
		b.tokens++
		if int(s.emitted.Add(1)) < s.limit {
			kept = append(kept, s)
			decoding++
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
	b.next = at.Add(b.interval(decoding))
	if decoding == 0 {
		b.next = earliest
	}
	b.admit(at)
}

// interval is the time between two tokens of a sequence when n share the step.
func (b *batch) interval(n int) time.Duration {
	growth := 1 + b.options.BatchGrowth*float64(max(n-1, 0))
	return max(time.Duration(float64(b.options.TokenInterval)*growth), time.Microsecond)
}
