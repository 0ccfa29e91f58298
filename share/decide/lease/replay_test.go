package lease_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/lease"
)

// TestMain fixes the seed: each run replays the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// order is one that was sent; an ignoring engine works on it until end at the latest.
type order struct {
	holder int
	number uint64
	end    time.Time
}

// world is three holders before one engine, with a key-value service that
// loses answers and lets writes take effect late.
type world struct {
	t       *rapid.T
	now     time.Time
	holders []*lease.Holder
	inbox   [][]lease.Event
	stored  lease.Stored
	late    []lease.Stored
	orders  []order
	fenced  bool
	sent    int
}

func newWorld(t *rapid.T, fenced bool) *world {
	w := &world{t: t, now: at(0), fenced: fenced, inbox: make([][]lease.Event, 3)}
	for i := range 3 {
		w.holders = append(w.holders, newHolder(fmt.Sprint(i), fenced))
	}
	return w
}

func (w *world) apply(s lease.Stored) bool {
	if s.Index != w.stored.Index {
		return false
	}
	s.Index++
	w.stored = s
	return true
}

func (w *world) deliver(i int, e lease.Event) {
	for _, a := range w.holders[i].Step(w.now, e) {
		w.act(i, a)
	}
}

func (w *world) act(i int, a lease.Action) {
	switch v := a.(type) {
	case lease.Read:
		failed := rapid.IntRange(0, 9).Draw(w.t, "read fails") == 0
		w.inbox[i] = append(w.inbox[i], lease.ReadBack{Stored: w.stored, Failed: failed})
	case lease.CompareAndSwap:
		w.inbox[i] = append(w.inbox[i], w.swap(v.Stored))
	case lease.SendOrder:
		w.order(i, v)
	}
}

func (w *world) swap(s lease.Stored) lease.Event {
	switch rapid.IntRange(0, 3).Draw(w.t, "write") {
	case 0:
		w.late = append(w.late, s)
		return lease.SwapResult{Outcome: lease.SwapUnknown}
	case 1:
		w.apply(s)
		return lease.SwapResult{Outcome: lease.SwapUnknown}
	}
	if w.apply(s) {
		return lease.SwapResult{Outcome: lease.SwapDone, Index: w.stored.Index}
	}
	return lease.SwapResult{Outcome: lease.SwapLost}
}

// order checks the invariants at the engine.
func (w *world) order(i int, v lease.SendOrder) {
	w.sent++
	for _, o := range w.orders {
		if o.number > v.Number {
			w.t.Fatalf("order with number %d after one with %d", v.Number, o.number)
		}
		if !w.fenced && o.holder != i && w.now.Before(o.end) {
			w.t.Fatalf("holder %d sent while holder %d's order may be at work", i, o.holder)
		}
	}
	w.orders = append(w.orders, order{holder: i, number: v.Number, end: w.now.Add(5 * time.Second)})
}

func (w *world) step() {
	i := rapid.IntRange(0, 2).Draw(w.t, "holder")
	switch rapid.IntRange(0, 12).Draw(w.t, "move") {
	case 0, 1:
		w.now = w.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(w.t, "ms")) * time.Millisecond)
	case 2:
		if len(w.late) > 0 {
			w.apply(w.late[0])
			w.late = w.late[1:]
		}
	case 3, 4, 5:
		if len(w.inbox[i]) > 0 {
			e := w.inbox[i][0]
			w.inbox[i] = w.inbox[i][1:]
			w.deliver(i, e)
		}
	case 6, 7:
		w.deliver(i, lease.Ticked{})
	case 8, 9, 10, 11:
		w.deliver(i, lease.OrderWanted{ID: fmt.Sprint(w.sent)})
	case 12:
		if rapid.IntRange(0, 9).Draw(w.t, "release") == 0 {
			w.deliver(i, lease.ReleaseWanted{})
		}
	}
}

// A model vanishes from an engine that another process has just loaded.
// Causes: pauses, late writes and lost answers leave two processes that
// both take themselves for the holder.
func TestOneHolderSends(t *testing.T) {
	for name, fenced := range map[string]bool{"engine checks": true, "engine ignores": false} {
		t.Run(name, func(t *testing.T) {
			sent := 0
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t, fenced)
				for range 300 {
					w.step()
				}
				sent += w.sent
			})
			if sent == 0 {
				t.Fatal("no history sent an order")
			}
			t.Logf("%d orders", sent)
		})
	}
}
