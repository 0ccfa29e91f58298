package queue

import (
	"container/heap"
	"time"
)

var (
	_ heap.Interface = (*entryHeap)(nil)
	_ heap.Interface = (*flowHeap)(nil)
)

// entryHeap orders entries by one of their times, then by arrival.
type entryHeap struct {
	entries []*entry
	// at returns the time to order by, and index the entry's field that holds its index in this heap.
	at    func(e *entry) time.Time
	index func(e *entry) *int
}

func latestStartOf(e *entry) time.Time { return e.latestStart }

func keyOf(e *entry) time.Time { return e.key }

func latestStartIndexOf(e *entry) *int { return &e.latestStartIndex }

func flowIndexOf(e *entry) *int { return &e.flowIndex }

func (h *entryHeap) Len() int { return len(h.entries) }

func (h *entryHeap) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	if order := h.at(a).Compare(h.at(b)); order != 0 {
		return order < 0
	}
	return a.sequence < b.sequence
}

func (h *entryHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	*h.index(h.entries[i]) = i
	*h.index(h.entries[j]) = j
}

// Push appends an *entry; use heap.Push.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	*h.index(e) = len(h.entries)
	h.entries = append(h.entries, e)
}

// Pop removes the last *entry; use heap.Pop.
func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}

// flowHeap orders flows by virtual start, then by the least slack of their first items, then by
// team name.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	if len(a.items.entries) > 0 && len(b.items.entries) > 0 {
		x, y := a.items.entries[0].key, b.items.entries[0].key
		if !x.Equal(y) {
			return x.Before(y)
		}
	}
	return a.team < b.team
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends a *flow; use heap.Push.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop removes the last *flow; use heap.Pop.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
