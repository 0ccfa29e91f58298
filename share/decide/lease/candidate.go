// Package lease decides which process may send orders to an engine. An order tells the engine to
// change what it serves. The lease has one holder at a time and a fencing number that rises with
// every new holder.
//
// The record contains no clock time. A candidate takes over only after it has observed the same
// record unchanged for the lease's duration on its own monotonic clock. The holder counts that
// duration from before it sent its last write.
package lease

import (
	"time"
)

// Record is the value stored under the lease's key. It is never deleted, so that FencingNumber
// never falls.
type Record struct {
	// Holder is the Settings.Name of the holder. It is empty after a release, when no order was open.
	Holder string `json:"holder"`
	// FencingNumber rises with every change of holder.
	FencingNumber uint64 `json:"number"`
	// WriteCount is the holder's count of its own writes; it differs between any two of them.
	WriteCount uint64 `json:"write"`
	// Duration is how long the lease holds after the record was last written.
	Duration time.Duration `json:"length"`
}

// Stored is a record with its index in the key-value service. The zero value means that the key is
// absent.
type Stored struct {
	Record Record
	Index  uint64
}

// SwapOutcome is the result of a compare-and-swap as the writer observes it.
type SwapOutcome string

// The outcomes of a compare-and-swap.
const (
	SwapDone SwapOutcome = "swapped"
	SwapLost SwapOutcome = "lost"
	// SwapUnknown means that no answer came: the write may have taken effect or may still do so.
	SwapUnknown SwapOutcome = "unknown"
)

// Event is an input of Candidate.Step.
type Event interface{ event() }

// Action is an output of Candidate.Step that the caller must carry out.
type Action interface{ action() }

// Events of a Candidate.
type (
	// Ticked comes at least three times within Settings.Duration.
	Ticked struct{}
	// ReadResult answers Read. Failed means that the key-value service did not answer.
	ReadResult struct {
		Stored Stored
		Failed bool
	}
	// SwapResult answers CompareAndSwap. Index is the index of the written record, for SwapDone only.
	SwapResult struct {
		Outcome SwapOutcome
		Index   uint64
	}
	// OrderRequested asks for an order to be sent now.
	OrderRequested struct{ ID string }
	// OrderEnded is the engine's answer to an order.
	OrderEnded struct{ ID string }
	// ReleaseRequested releases the lease as soon as no order is open. The candidate does not take it
	// again.
	ReleaseRequested struct{}
)

// Actions of a Candidate.
type (
	// Read asks the key-value service for the record.
	Read struct{}
	// CompareAndSwap writes Stored.Record if the key's index is still Stored.Index.
	CompareAndSwap struct{ Stored Stored }
	// SendOrder sends the order immediately, with the fencing number.
	SendOrder struct {
		ID            string
		FencingNumber uint64
	}
	// RefuseOrder answers an OrderRequested whose order is not sent.
	RefuseOrder struct{ ID string }
)

func (Ticked) event()           {}
func (ReadResult) event()       {}
func (SwapResult) event()       {}
func (OrderRequested) event()   {}
func (OrderEnded) event()       {}
func (ReleaseRequested) event() {}

func (Read) action()           {}
func (CompareAndSwap) action() {}
func (SendOrder) action()      {}
func (RefuseOrder) action()    {}

// Settings are the settings of a Candidate.
type Settings struct {
	// Name is unique to a process and its incarnation.
	Name string
	// Duration is how long the lease holds without renewal.
	Duration time.Duration
	// ClockMargin allows for clocks that run at different rates over Duration.
	ClockMargin time.Duration
	// MaxOrderDuration is the time from sending an order to the last of its effects.
	MaxOrderDuration time.Duration
	// EngineChecksFencing means that the engine refuses an order whose fencing number is lower than
	// one it has received.
	EngineChecksFencing bool
}

type phase string

const (
	phaseIdle     phase = "idle"
	phaseReading  phase = "reading"
	phaseSwapping phase = "swapping"
)

// Candidate is a process that competes for the lease or holds it.
type Candidate struct {
	settings Settings
	// phase is the call to the key-value service that is in flight.
	phase phase
	// observed is the record observed last, observedAt the time at which its index was first observed.
	// isKnown is set by the first successful read, even if it finds the key absent.
	observed   Stored
	isKnown    bool
	observedAt time.Time
	// pending is the record of the last write, sentAt the time before that write was sent.
	pending Record
	sentAt  time.Time
	// heldUntil is the end of the own lease; zero while the candidate is not the holder.
	heldUntil time.Time
	// ordersFrom is the earliest time of an order to an engine that ignores the fencing number: the
	// previous holder's last order has ended by then.
	ordersFrom time.Time
	writes     uint64
	// openOrders maps the ids of open orders to the time of their last possible effect.
	openOrders map[string]time.Time
	releasing  bool
}

// NewCandidate returns a candidate that does not hold the lease.
func NewCandidate(s Settings) *Candidate {
	return &Candidate{settings: s, phase: phaseIdle, openOrders: map[string]time.Time{}}
}

// MaySend reports whether an order may be sent now, and the fencing number to send with it.
func (c *Candidate) MaySend(now time.Time) (uint64, bool) {
	return c.observed.Record.FencingNumber, !c.releasing && now.Before(c.heldUntil) && !now.Before(c.ordersFrom)
}

// Step handles one event and returns the actions to carry out.
func (c *Candidate) Step(now time.Time, e Event) []Action {
	switch v := e.(type) {
	case Ticked:
		return c.tick(now)
	case ReadResult:
		return c.handleReadResult(now, v)
	case SwapResult:
		return c.handleSwapResult(now, v)
	case OrderRequested:
		return c.handleOrderRequested(now, v)
	case OrderEnded:
		delete(c.openOrders, v.ID)
	case ReleaseRequested:
		c.releasing = true
		return c.tick(now)
	}
	return nil
}

// handleOrderRequested sends an order while the lease holds.
//
// A holder that was paused beyond the end of its lease must not send on waking. The time is
// therefore compared with heldUntil for every order. heldUntil counts from before the last write
// was sent, so the lease ends here before another candidate may take over.
func (c *Candidate) handleOrderRequested(now time.Time, e OrderRequested) []Action {
	number, ok := c.MaySend(now)
	if !ok {
		return []Action{RefuseOrder(e)}
	}
	c.openOrders[e.ID] = now.Add(c.settings.MaxOrderDuration)
	return []Action{SendOrder{ID: e.ID, FencingNumber: number}}
}

func (c *Candidate) tick(now time.Time) []Action {
	c.dropEndedOrders(now)
	if c.phase != phaseIdle {
		return nil
	}
	switch {
	case !c.isKnown:
		return c.read()
	case c.holding() && c.releasing:
		return c.release(now)
	case c.holding() && now.Before(c.sentAt.Add(c.settings.Duration/3)):
		return nil
	case c.holding():
		return c.write(now, Record{Holder: c.settings.Name, FencingNumber: c.observed.Record.FencingNumber})
	case c.releasing:
		return nil
	default:
		return c.read()
	}
}

func (c *Candidate) holding() bool {
	return !c.heldUntil.IsZero()
}

func (c *Candidate) dropEndedOrders(now time.Time) {
	for id, end := range c.openOrders {
		if !now.Before(end) {
			delete(c.openOrders, id)
		}
	}
}

// release writes a record without a holder. The next holder of such a record does not wait, so all
// orders must have ended: the own ones and, until ordersFrom, those of the previous holder.
func (c *Candidate) release(now time.Time) []Action {
	if len(c.openOrders) > 0 || now.Before(c.ordersFrom) {
		return nil
	}
	c.heldUntil = time.Time{}
	return c.write(now, Record{FencingNumber: c.observed.Record.FencingNumber})
}

func (c *Candidate) read() []Action {
	c.phase = phaseReading
	return []Action{Read{}}
}

func (c *Candidate) write(now time.Time, r Record) []Action {
	c.writes++
	r.WriteCount = c.writes
	r.Duration = c.settings.Duration
	c.phase = phaseSwapping
	c.pending = r
	c.sentAt = now
	return []Action{CompareAndSwap{Stored: Stored{Record: r, Index: c.observed.Index}}}
}

func (c *Candidate) handleSwapResult(now time.Time, e SwapResult) []Action {
	if c.phase != phaseSwapping {
		return nil
	}
	if e.Outcome != SwapDone {
		return c.read()
	}
	c.phase = phaseIdle
	c.adopt(now, Stored{Record: c.pending, Index: e.Index})
	return nil
}

// handleReadResult handles the record that the key-value service holds.
//
// A pending write whose answer was lost counts as done only if the record equals it, including
// WriteCount. An earlier write of the same candidate was sent earlier, so its lease ends earlier
// too.
func (c *Candidate) handleReadResult(now time.Time, e ReadResult) []Action {
	if c.phase != phaseReading {
		return nil
	}
	c.phase = phaseIdle
	if e.Failed {
		return nil
	}
	if e.Stored.Record == c.pending && c.pending.Holder != "" {
		c.adopt(now, e.Stored)
		return nil
	}
	if c.holding() && e.Stored.Record.Holder == c.settings.Name {
		c.observe(now, e.Stored)
		return nil
	}
	c.heldUntil = time.Time{}
	c.observe(now, e.Stored)
	return c.takeOver(now)
}

// adopt records that the own write took effect.
func (c *Candidate) adopt(now time.Time, own Stored) {
	previous := c.observed.Record
	c.observe(now, own)
	if own.Record.Holder == "" {
		return
	}
	c.heldUntil = c.sentAt.Add(c.settings.Duration)
	if previous.FencingNumber == own.Record.FencingNumber {
		return
	}
	c.ordersFrom = time.Time{}
	if previous.Holder != "" && !c.settings.EngineChecksFencing {
		c.ordersFrom = now.Add(c.settings.MaxOrderDuration)
	}
}

func (c *Candidate) observe(now time.Time, s Stored) {
	if !c.isKnown || c.observed.Index != s.Index {
		c.observedAt = now
	}
	c.isKnown = true
	c.observed = s
}

// takeOver writes the own claim over a record whose holder can no longer send.
//
// This prevents two holders at the same time: the old holder counts its lease from before its
// write, this candidate waits from after it observed that write, and longer by ClockMargin. An
// engine that ignores the fencing number may still be executing the old holder's last order; adopt
// sets ordersFrom for that case.
func (c *Candidate) takeOver(now time.Time) []Action {
	if c.releasing {
		return nil
	}
	r := c.observed.Record
	if r.Holder != "" && now.Before(c.observedAt.Add(r.Duration+c.settings.ClockMargin)) {
		return nil
	}
	return c.write(now, Record{Holder: c.settings.Name, FencingNumber: r.FencingNumber + 1})
}
