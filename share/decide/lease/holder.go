// Package lease decides who may send orders to an engine: one holder at a
// time, with a fencing number that rises with every new holder.
//
// The record has no clock time in it. A follower takes over only after it
// has seen the same record unchanged for the lease's length on its own
// monotonic clock; a holder counts from before it sent its last write.
package lease

import (
	"time"
)

// Record is the value kept under the lease's key; it is never deleted, so that Number never falls.
type Record struct {
	// Holder names a process and its incarnation; empty: released with no order open.
	Holder string `json:"holder"`
	// Number is the fencing number; it rises with every change of holder.
	Number uint64 `json:"number"`
	// Write counts the holder's own writes; no two writes of a holder share one.
	Write uint64 `json:"write"`
	// Length is how long the record holds after it was last written.
	Length time.Duration `json:"length"`
}

// Stored is a record with the key-value service's index; the zero value stands for an absent key.
type Stored struct {
	Record Record
	Index  uint64
}

// SwapOutcome is the result of a compare-and-swap as its writer sees it.
type SwapOutcome string

// The outcomes of a compare-and-swap.
const (
	SwapDone SwapOutcome = "swapped"
	SwapLost SwapOutcome = "lost"
	// SwapUnknown means no answer: the write may have taken effect, or may yet.
	SwapUnknown SwapOutcome = "unknown"
)

// Event is what happened; each type below is one.
type Event interface{ event() }

// Action is what the caller of a decision must do; each type below is one.
type Action interface{ action() }

// Events of a Holder.
type (
	// Ticked comes at least three times within Settings.Length.
	Ticked struct{}
	// ReadBack answers Read; Failed: the service gave no answer.
	ReadBack struct {
		Stored Stored
		Failed bool
	}
	// SwapResult answers CompareAndSwap; Index is the new one, for SwapDone.
	SwapResult struct {
		Outcome SwapOutcome
		Index   uint64
	}
	// OrderWanted asks to send an order now.
	OrderWanted struct{ ID string }
	// OrderEnded is the engine's answer.
	OrderEnded struct{ ID string }
	// ReleaseWanted gives the lease up, for good, as soon as no order is open.
	ReleaseWanted struct{}
)

// Actions of a Holder.
type (
	// Read asks the key-value service for the record.
	Read struct{}
	// CompareAndSwap writes Stored.Record if the index still is Stored.Index.
	CompareAndSwap struct{ Stored Stored }
	// SendOrder sends the order at once, with the fencing number.
	SendOrder struct {
		ID     string
		Number uint64
	}
	// RefuseOrder says that the order was not sent.
	RefuseOrder struct{ ID string }
)

func (Ticked) event()        {}
func (ReadBack) event()      {}
func (SwapResult) event()    {}
func (OrderWanted) event()   {}
func (OrderEnded) event()    {}
func (ReleaseWanted) event() {}

func (Read) action()           {}
func (CompareAndSwap) action() {}
func (SendOrder) action()      {}
func (RefuseOrder) action()    {}

// Settings of a Holder.
type Settings struct {
	// Name is unique to the process and its incarnation.
	Name string
	// Length is how long the lease holds without renewal.
	Length time.Duration
	// Margin covers clocks that run at different rates over Length.
	Margin time.Duration
	// LongestOrder is the time from sending an order to the last of its effects.
	LongestOrder time.Duration
	// Fenced says that the engine refuses an order with an old number.
	Fenced bool
}

type phase string

const (
	phaseIdle     phase = "idle"
	phaseReading  phase = "reading"
	phaseSwapping phase = "swapping"
)

// Holder is one process that wants the lease.
type Holder struct {
	settings Settings
	// phase tells which call to the key-value service is open.
	phase phase
	// seen is the last record known, seenAt when its index was first seen here.
	seen   Stored
	known  bool
	seenAt time.Time
	// pending is the last write, sentAt the moment before it was sent.
	pending Record
	sentAt  time.Time
	// until bounds the own hold; zero: not the holder.
	until time.Time
	// earliest is when the first order may go to an engine that ignores the number.
	earliest time.Time
	writes   uint64
	// orders holds the open orders with the time of their last possible effect.
	orders    map[string]time.Time
	releasing bool
}

// NewHolder returns a holder that does not hold the lease yet.
func NewHolder(s Settings) *Holder {
	return &Holder{settings: s, phase: phaseIdle, orders: map[string]time.Time{}}
}

// Holds tells whether an order might be sent now, with which number.
func (h *Holder) Holds(now time.Time) (uint64, bool) {
	return h.seen.Record.Number, !h.releasing && now.Before(h.until) && !now.Before(h.earliest)
}

// Step takes one event and returns what is to be done.
func (h *Holder) Step(now time.Time, e Event) []Action {
	switch v := e.(type) {
	case Ticked:
		return h.ticked(now)
	case ReadBack:
		return h.readBack(now, v)
	case SwapResult:
		return h.swapResult(now, v)
	case OrderWanted:
		return h.orderWanted(now, v)
	case OrderEnded:
		delete(h.orders, v.ID)
	case ReleaseWanted:
		h.releasing = true
		return h.ticked(now)
	}
	return nil
}

// orderWanted sends an order while the lease holds.
//
// Guards against a holder that was paused past its lease and would act as
// owner on waking: the clock is read for every order, and counts from before
// the last write was sent, so the lease ends here before it ends elsewhere.
func (h *Holder) orderWanted(now time.Time, e OrderWanted) []Action {
	number, holds := h.Holds(now)
	if !holds {
		return []Action{RefuseOrder(e)}
	}
	h.orders[e.ID] = now.Add(h.settings.LongestOrder)
	return []Action{SendOrder{ID: e.ID, Number: number}}
}

func (h *Holder) ticked(now time.Time) []Action {
	h.forgetOrders(now)
	if h.phase != phaseIdle {
		return nil
	}
	switch {
	case !h.known:
		return h.read()
	case h.holding() && h.releasing:
		return h.release(now)
	case h.holding() && now.Before(h.sentAt.Add(h.settings.Length/3)):
		return nil
	case h.holding():
		return h.swap(now, Record{Holder: h.settings.Name, Number: h.seen.Record.Number})
	case h.releasing:
		return nil
	default:
		return h.read()
	}
}

func (h *Holder) holding() bool {
	return !h.until.IsZero()
}

func (h *Holder) forgetOrders(now time.Time) {
	for id, end := range h.orders {
		if !now.Before(end) {
			delete(h.orders, id)
		}
	}
}

// release frees the record at once for others. The next holder of a released
// record does not wait, so open orders must have ended: the own ones, and
// before earliest those of the holder before.
func (h *Holder) release(now time.Time) []Action {
	if len(h.orders) > 0 || now.Before(h.earliest) {
		return nil
	}
	h.until = time.Time{}
	return h.swap(now, Record{Number: h.seen.Record.Number})
}

func (h *Holder) read() []Action {
	h.phase = phaseReading
	return []Action{Read{}}
}

func (h *Holder) swap(now time.Time, r Record) []Action {
	h.writes++
	r.Write = h.writes
	r.Length = h.settings.Length
	h.phase = phaseSwapping
	h.pending = r
	h.sentAt = now
	return []Action{CompareAndSwap{Stored: Stored{Record: r, Index: h.seen.Index}}}
}

func (h *Holder) swapResult(now time.Time, e SwapResult) []Action {
	if h.phase != phaseSwapping {
		return nil
	}
	if e.Outcome != SwapDone {
		return h.read()
	}
	h.phase = phaseIdle
	h.adopt(now, Stored{Record: h.pending, Index: e.Index})
	return nil
}

// readBack takes what the service holds.
//
// Guards against a write whose answer was lost: it counts only where the
// record carries that very write's count. An earlier write of the same holder
// took effect earlier, so its lease is shorter than this one's.
func (h *Holder) readBack(now time.Time, e ReadBack) []Action {
	if h.phase != phaseReading {
		return nil
	}
	h.phase = phaseIdle
	if e.Failed {
		return nil
	}
	if e.Stored.Record == h.pending && h.pending.Holder != "" {
		h.adopt(now, e.Stored)
		return nil
	}
	if h.holding() && e.Stored.Record.Holder == h.settings.Name {
		h.observe(now, e.Stored)
		return nil
	}
	h.until = time.Time{}
	h.observe(now, e.Stored)
	return h.takeOver(now)
}

// adopt takes the own write as the record in force.
func (h *Holder) adopt(now time.Time, own Stored) {
	previous := h.seen.Record
	h.observe(now, own)
	if own.Record.Holder == "" {
		return
	}
	h.until = h.sentAt.Add(h.settings.Length)
	if previous.Number == own.Record.Number {
		return
	}
	h.earliest = time.Time{}
	if previous.Holder != "" && !h.settings.Fenced {
		h.earliest = now.Add(h.settings.LongestOrder)
	}
}

func (h *Holder) observe(now time.Time, s Stored) {
	if !h.known || h.seen.Index != s.Index {
		h.seenAt = now
	}
	h.known = true
	h.seen = s
}

// takeOver claims a record whose holder can no longer send.
//
// Guards against two holders at once: the old holder's time counts from
// before its write, this wait from after the write was seen, so it is longer
// by Margin at least. An engine that ignores the number may still be at work
// on the old holder's last order: adopt sets earliest for that.
func (h *Holder) takeOver(now time.Time) []Action {
	if h.releasing {
		return nil
	}
	r := h.seen.Record
	if r.Holder != "" && now.Before(h.seenAt.Add(r.Length+h.settings.Margin)) {
		return nil
	}
	return h.swap(now, Record{Holder: h.settings.Name, Number: r.Number + 1})
}
