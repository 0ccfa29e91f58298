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

// TestMain fixes the seed, so that each run replays the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// order is a sent order. An engine that ignores the fencing number executes it until end at the
// latest.
type order struct {
	sender        int
	fencingNumber uint64
	end           time.Time
}

// world simulates three candidates for the lease of one engine, and a key-value service that loses
// answers and applies writes late.
type world struct {
	t             *rapid.T
	now           time.Time
	candidates    []*lease.Candidate
	inbox         [][]lease.Event
	stored        lease.Stored
	lateWrites    []lease.Stored
	orders        []order
	checksFencing bool
	sent          int
}

func newWorld(t *rapid.T, checksFencing bool) *world {
	w := &world{t: t, now: at(0), checksFencing: checksFencing, inbox: make([][]lease.Event, 3)}
	for i := range 3 {
		w.candidates = append(w.candidates, newCandidate(fmt.Sprint(i), checksFencing))
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
	for _, a := range w.candidates[i].Step(w.now, e) {
		w.act(i, a)
	}
}

func (w *world) act(i int, a lease.Action) {
	switch v := a.(type) {
	case lease.Read:
		failed := rapid.IntRange(0, 9).Draw(w.t, "read fails") == 0
		w.inbox[i] = append(w.inbox[i], lease.ReadResult{Stored: w.stored, Failed: failed})
	case lease.CompareAndSwap:
		w.inbox[i] = append(w.inbox[i], w.swap(v.Stored))
	case lease.SendOrder:
		w.order(i, v)
	}
}

func (w *world) swap(s lease.Stored) lease.Event {
	switch rapid.IntRange(0, 3).Draw(w.t, "write") {
	case 0:
		w.lateWrites = append(w.lateWrites, s)
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

// order checks the invariants on the orders to the engine and records the order.
func (w *world) order(i int, v lease.SendOrder) {
	w.sent++
	for _, o := range w.orders {
		if o.fencingNumber > v.FencingNumber {
			w.t.Fatalf("order with fencing number %d after one with %d", v.FencingNumber, o.fencingNumber)
		}
		if !w.checksFencing && o.sender != i && w.now.Before(o.end) {
			w.t.Fatalf("candidate %d sent an order while the order of candidate %d may still be executed", i, o.sender)
		}
	}
	w.orders = append(w.orders, order{sender: i, fencingNumber: v.FencingNumber, end: w.now.Add(5 * time.Second)})
}

func (w *world) step() {
	i := rapid.IntRange(0, 2).Draw(w.t, "holder")
	switch rapid.IntRange(0, 12).Draw(w.t, "move") {
	case 0, 1:
		w.now = w.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(w.t, "ms")) * time.Millisecond)
	case 2:
		if len(w.lateWrites) > 0 {
			w.apply(w.lateWrites[0])
			w.lateWrites = w.lateWrites[1:]
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
		w.deliver(i, lease.OrderRequested{ID: fmt.Sprint(w.sent)})
	case 12:
		if rapid.IntRange(0, 9).Draw(w.t, "release") == 0 {
			w.deliver(i, lease.ReleaseRequested{})
		}
	}
}

// Guards against an engine that unloads a model which another process has just loaded: pauses, late
// writes and lost answers make two processes act as the holder at the same time.
func TestOneHolderSends(t *testing.T) {
	for name, checksFencing := range map[string]bool{"engine checks": true, "engine ignores": false} {
		t.Run(name, func(t *testing.T) {
			sent := 0
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(t, checksFencing)
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
