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

func newHolder(name string, fenced bool) *lease.Holder {
	return lease.NewHolder(lease.Settings{
		Name: name, Length: 9 * time.Second, Margin: time.Second, LongestOrder: 5 * time.Second, Fenced: fenced,
	})
}

// take makes h take over what is stored and returns the new record.
func take(h *lease.Holder, stored lease.Stored, seconds int) lease.Stored {
	h.Step(at(seconds), lease.Ticked{})
	swap := h.Step(at(seconds), lease.ReadBack{Stored: stored})[0].(lease.CompareAndSwap).Stored
	swap.Index++
	h.Step(at(seconds), lease.SwapResult{Outcome: lease.SwapDone, Index: swap.Index})
	return swap
}

// A model vanishes from an engine in the middle of its work. Cause: the
// holder of the lease was paused, another took over, and the first woke and
// sent the order it had in hand.
func TestPausedHolderDoesNotSend(t *testing.T) {
	is := is.New(t)
	h := newHolder("a", true)
	take(h, lease.Stored{}, 0)
	is.Equal(h.Step(at(8), lease.OrderWanted{ID: "load"}), []lease.Action{lease.SendOrder{ID: "load", Number: 1}})
	is.Equal(h.Step(at(9), lease.OrderWanted{ID: "drop"}), []lease.Action{lease.RefuseOrder{ID: "drop"}})
}

func TestFollowerWaitsOutTheLease(t *testing.T) {
	for name, c := range map[string]struct {
		fenced bool
		at14   bool
	}{
		"engine checks the number":  {true, true},
		"engine ignores the number": {false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newHolder("a", c.fenced), newHolder("b", c.fenced)
			record := take(a, lease.Stored{}, 0)
			b.Step(at(0), lease.Ticked{})
			is.Equal(b.Step(at(0), lease.ReadBack{Stored: record}), nil)
			b.Step(at(9), lease.Ticked{})
			is.Equal(b.Step(at(9), lease.ReadBack{Stored: record}), nil)
			is.Equal(take(b, record, 10).Record.Number, uint64(2))
			_, holds := b.Holds(at(14))
			is.Equal(holds, c.at14)
			number, holds := b.Holds(at(15))
			is.True(holds)
			is.Equal(number, uint64(2))
		})
	}
}

// Two processes order the same engine. Cause: a takeover whose answer was
// lost was sent twice; the first copy took effect early, and the holder
// counted its time from the second.
func TestLostWriteCountsFromItsOwnSending(t *testing.T) {
	is := is.New(t)
	h := newHolder("a", true)
	h.Step(at(0), lease.Ticked{})
	first := h.Step(at(0), lease.ReadBack{})[0].(lease.CompareAndSwap).Stored
	h.Step(at(1), lease.SwapResult{Outcome: lease.SwapUnknown})
	h.Step(at(1), lease.ReadBack{})
	h.Step(at(4), lease.SwapResult{Outcome: lease.SwapLost})
	first.Index = 1
	h.Step(at(4), lease.ReadBack{Stored: first})
	_, holds := h.Holds(at(4))
	is.True(!holds)
}

func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	h := newHolder("a", true)
	h.Step(at(0), lease.Ticked{})
	own := h.Step(at(0), lease.ReadBack{})[0].(lease.CompareAndSwap).Stored
	h.Step(at(2), lease.SwapResult{Outcome: lease.SwapUnknown})
	own.Index = 1
	h.Step(at(2), lease.ReadBack{Stored: own})
	_, holds := h.Holds(at(8))
	is.True(holds)
	_, holds = h.Holds(at(9))
	is.True(!holds)
}

func TestReleaseWaitsForOrders(t *testing.T) {
	is := is.New(t)
	h := newHolder("a", false)
	take(h, lease.Stored{}, 0)
	h.Step(at(1), lease.OrderWanted{ID: "load"})
	is.Equal(h.Step(at(2), lease.ReleaseWanted{}), nil)
	h.Step(at(3), lease.OrderEnded{ID: "load"})
	swap := h.Step(at(3), lease.Ticked{})[0].(lease.CompareAndSwap).Stored
	is.Equal(swap.Record.Holder, "")
	is.Equal(swap.Record.Number, uint64(1))
}

// An engine that ignores the number works on two orders at once. Cause: a
// holder released the lease before its predecessor's last order had ended.
func TestReleaseWaitsForThePredecessor(t *testing.T) {
	is := is.New(t)
	h := newHolder("b", false)
	old := lease.Stored{Record: lease.Record{Holder: "a", Number: 1, Length: 9 * time.Second}, Index: 1}
	h.Step(at(0), lease.Ticked{})
	h.Step(at(0), lease.ReadBack{Stored: old})
	take(h, old, 10)
	is.Equal(h.Step(at(11), lease.ReleaseWanted{}), nil)
	is.Equal(len(h.Step(at(15), lease.Ticked{})), 1)
}
