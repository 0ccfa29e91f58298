package engine

import (
	"sort"
	"sync/atomic"
	"time"

	"verbenaroad.example/fakes/modules/token"
)

// sequence is the generation of one answer.
type sequence struct {
	prompt string
	// first is the index of the first token to generate; it is above 0 for a resumed stream.
	first int
	// maxTokens is the number of tokens to generate.
	maxTokens int
	priority  int

	// onStart records the run. It is called when the sequence enters the batch, so that runs are
	// recorded in the order of their start.
	onStart func()
	// started is closed after onStart has returned.
	started chan struct{}
	// cachedTokens is the number of prompt tokens found in the prefix cache. It is written before
	// started is closed.
	cachedTokens int
	// prefillEnd is when the prefill is done.
	prefillEnd time.Time
	// emitted is the number of tokens generated so far.
	emitted atomic.Int64
	// signal holds an element if emitted has increased since the last receive.
	signal chan struct{}
}

func newSequence(prompt string, first, maxTokens, priority int) *sequence {
	return &sequence{
		prompt:    prompt,
		first:     first,
		maxTokens: maxTokens,
		priority:  priority,
		started:   make(chan struct{}),
		signal:    make(chan struct{}, 1),
	}
}

// batch models continuous batching: sequences enter and leave between steps, and each step
// generates one token for every sequence whose prefill is done.
type batch struct {
	options Options
	cache   *cache
	// waiting is ordered by priority, lowest number first, then by arrival.
	waiting []*sequence
	running []*sequence
	// tokens is the number of tokens generated since the start.
	tokens int64
	// nextStep is when the next step is due; it has no meaning while no sequence is running.
	nextStep time.Time
}

// add queues a sequence by its priority and admits waiting sequences to the free slots.
func (b *batch) add(s *sequence, now time.Time) {
	at := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].priority > s.priority })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = s
	b.admit(now)
}

// remove drops a waiting or running sequence and admits waiting sequences to the free slots at
// once.
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

// admit moves waiting sequences to the free slots and starts their prefill.
func (b *batch) admit(now time.Time) {
	for len(b.waiting) > 0 && len(b.running) < b.options.Slots {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.cachedTokens = b.cache.use(token.Blocks(s.prompt), now)
		uncached := token.Count(s.prompt) - s.cachedTokens
		s.prefillEnd = now.Add(time.Duration(uncached) * b.options.Prefill)
		if len(b.running) == 0 || s.prefillEnd.Before(b.nextStep) && !b.isDecoding(b.nextStep) {
			b.nextStep = s.prefillEnd
		}
		b.running = append(b.running, s)
		s.onStart()
		close(s.started)
	}
}

// isDecoding reports whether the prefill of any running sequence is done at t.
func (b *batch) isDecoding(t time.Time) bool {
	for _, s := range b.running {
		if !s.prefillEnd.After(t) {
			return true
		}
	}
	return false
}

// advance executes every step that is due and returns the set of sequences that received tokens.
// Each is signaled once, so that tokens that are due together are written together.
func (b *batch) advance(now time.Time) map[*sequence]struct{} {
	advanced := map[*sequence]struct{}{}
	for len(b.running) > 0 && !b.nextStep.After(now) {
		b.step(b.nextStep, advanced)
	}
	return advanced
}

// step generates a token for every prefilled sequence, adds these sequences to advanced, removes
// those that are complete, schedules the next step and admits waiting sequences.
func (b *batch) step(at time.Time, advanced map[*sequence]struct{}) {
	kept := b.running[:0]
	decoding := 0
	earliest := time.Time{}
	for _, s := range b.running {
		if s.prefillEnd.After(at) {
			kept = append(kept, s)
			if earliest.IsZero() || s.prefillEnd.Before(earliest) {
				earliest = s.prefillEnd
			}
			continue
		}
		advanced[s] = struct{}{}
		b.tokens++
		if int(s.emitted.Add(1)) < s.maxTokens {
			kept = append(kept, s)
			decoding++
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
	b.nextStep = at.Add(b.interval(decoding))
	if decoding == 0 {
		b.nextStep = earliest
	}
	b.admit(at)
}

// interval returns the time between two tokens of a sequence if n sequences decode in the step.
func (b *batch) interval(n int) time.Duration {
	growth := 1 + b.options.BatchGrowth*float64(max(n-1, 0))
	return max(time.Duration(float64(b.options.TokenInterval)*growth), time.Microsecond)
}
