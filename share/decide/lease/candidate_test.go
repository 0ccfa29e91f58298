package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/lease"
)

func at(seconds int) time.Time {
	return time.Date(2026, 12, 1, 9, 0, seconds, 0, time.UTC)
}

func newCandidate(name string, checksFencing bool) *lease.Candidate {
	return lease.NewCandidate(lease.Settings{
		Name: name, Duration: 9 * time.Second, ClockMargin: time.Second, MaxOrderDuration: 5 * time.Second, EngineChecksFencing: checksFencing,
	})
}

// takeOver makes c take over the stored record and returns the new record.
func takeOver(c *lease.Candidate, stored lease.Stored, seconds int) lease.Stored {
	c.Step(at(seconds), lease.Ticked{})
	swap := c.Step(at(seconds), lease.ReadResult{Stored: stored})[0].(lease.CompareAndSwap).Stored
	swap.Index++
	c.Step(at(seconds), lease.SwapResult{Outcome: lease.SwapDone, Index: swap.Index})
	return swap
}

// Guards against an engine that unloads a model during its work: the holder is paused, another
// candidate takes over, and the first one sends its next order on waking.
func TestPausedHolderDoesNotSend(t *testing.T) {
	is := is.New(t)
	c := newCandidate("a", true)
	takeOver(c, lease.Stored{}, 0)
	is.Equal(c.Step(at(8), lease.OrderRequested{ID: "load"}), []lease.Action{lease.SendOrder{ID: "load", FencingNumber: 1}})
	is.Equal(c.Step(at(9), lease.OrderRequested{ID: "drop"}), []lease.Action{lease.RefuseOrder{ID: "drop"}})
}

func TestCandidateWaitsForTheEndOfTheLease(t *testing.T) {
	for name, tt := range map[string]struct {
		checksFencing bool
		maySendAt14   bool
	}{
		"engine checks the number":  {true, true},
		"engine ignores the number": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newCandidate("a", tt.checksFencing), newCandidate("b", tt.checksFencing)
			record := takeOver(a, lease.Stored{}, 0)
			b.Step(at(0), lease.Ticked{})
			is.Equal(b.Step(at(0), lease.ReadResult{Stored: record}), nil)
			b.Step(at(9), lease.Ticked{})
			is.Equal(b.Step(at(9), lease.ReadResult{Stored: record}), nil)
			is.Equal(takeOver(b, record, 10).Record.FencingNumber, uint64(2))
			_, ok := b.MaySend(at(14))
			is.Equal(ok, tt.maySendAt14)
			number, ok := b.MaySend(at(15))
			is.True(ok)
			is.Equal(number, uint64(2))
		})
	}
}

// Guards against two processes that send orders to the same engine: a takeover whose answer was
// lost is written a second time, the first write takes effect, and the holder counts its lease from
// the second.
func TestUnansweredWriteCountsFromItsOwnSending(t *testing.T) {
	is := is.New(t)
	c := newCandidate("a", true)
	c.Step(at(0), lease.Ticked{})
	first := c.Step(at(0), lease.ReadResult{})[0].(lease.CompareAndSwap).Stored
	c.Step(at(1), lease.SwapResult{Outcome: lease.SwapUnknown})
	c.Step(at(1), lease.ReadResult{})
	c.Step(at(4), lease.SwapResult{Outcome: lease.SwapLost})
	first.Index = 1
	c.Step(at(4), lease.ReadResult{Stored: first})
	_, ok := c.MaySend(at(4))
	is.True(!ok)
}

func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	c := newCandidate("a", true)
	c.Step(at(0), lease.Ticked{})
	own := c.Step(at(0), lease.ReadResult{})[0].(lease.CompareAndSwap).Stored
	c.Step(at(2), lease.SwapResult{Outcome: lease.SwapUnknown})
	own.Index = 1
	c.Step(at(2), lease.ReadResult{Stored: own})
	_, ok := c.MaySend(at(8))
	is.True(ok)
	_, ok = c.MaySend(at(9))
	is.True(!ok)
}

func TestReleaseWaitsForOrders(t *testing.T) {
	is := is.New(t)
	c := newCandidate("a", false)
	takeOver(c, lease.Stored{}, 0)
	c.Step(at(1), lease.OrderRequested{ID: "load"})
	is.Equal(c.Step(at(2), lease.ReleaseRequested{}), nil)
	c.Step(at(3), lease.OrderEnded{ID: "load"})
	swap := c.Step(at(3), lease.Ticked{})[0].(lease.CompareAndSwap).Stored
	is.Equal(swap.Record.Holder, "")
	is.Equal(swap.Record.FencingNumber, uint64(1))
}

// Guards against an engine that ignores the fencing number and executes two orders at the same
// time: a holder releases the lease before the previous holder's last order has ended.
func TestReleaseWaitsForThePreviousHoldersOrder(t *testing.T) {
	is := is.New(t)
	c := newCandidate("b", false)
	old := lease.Stored{Record: lease.Record{Holder: "a", FencingNumber: 1, Duration: 9 * time.Second}, Index: 1}
	c.Step(at(0), lease.Ticked{})
	c.Step(at(0), lease.ReadResult{Stored: old})
	takeOver(c, old, 10)
	is.Equal(c.Step(at(11), lease.ReleaseRequested{}), nil)
	is.Equal(len(c.Step(at(15), lease.Ticked{})), 1)
}
