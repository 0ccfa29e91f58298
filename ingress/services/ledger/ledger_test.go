package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"verbenaroad.example/ingress/services/ledger"
	"verbenaroad.example/ingress/services/recall"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

const (
	service = "orders"
	timeout = 20 * time.Second
)

var settings = budget.Settings{Ratio: 0.2, Slack: 60, Window: time.Minute} //nolint:gochecknoglobals // a constant in all but syntax

// holders are other ingresses that hold memos.
type holders struct {
	lock  sync.Mutex
	memos map[string]memo.Memo
	// writes counts the memos that were written.
	writes int
}

func (h *holders) Put(m memo.Memo) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.memos[m.Key] = m
	h.writes++
}

func (h *holders) countWrites() int {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.writes
}

func (h *holders) FindNewest(_ context.Context, key string) recall.Finding {
	h.lock.Lock()
	defer h.lock.Unlock()
	m, found := h.memos[key]
	return recall.Finding{Memo: m, Found: found, HeldBy: "b", Answered: true, Conclusive: true}
}

func (h *holders) lose() {
	h.lock.Lock()
	defer h.lock.Unlock()
	clear(h.memos)
}

// retriesOf returns how many retries of a service the memo of ingress a states, -1 if there is no memo.
func (h *holders) retriesOf(t *testing.T, service string) int {
	t.Helper()
	h.lock.Lock()
	defer h.lock.Unlock()
	m, found := h.memos["retries/a"]
	if !found {
		return -1
	}
	spent := &wire.SpentRetries{}
	if err := proto.Unmarshal(m.Value, spent); err != nil {
		t.Fatal(err)
	}
	for _, s := range spent.GetServices() {
		if s.GetService() == service {
			return int(s.GetRetries())
		}
	}
	return 0
}

// run starts a run of ingress a and waits until it has looked for what an earlier run spent.
func (h *holders) run(t *testing.T, isFirst bool) (l *ledger.Ledger, end func()) {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	l = ledger.NewLedger(ledger.Options{Name: "a", Retries: settings, Memos: h, Log: zap.New(core)})
	l.SetView(&state.View{Ingresses: make([]site.Ingress, 3), IsComplete: true})
	if isFirst {
		l.MarkFirstRun()
	}
	ctx, cancel := context.WithCancel(t.Context())
	l.Start(ctx)
	eventually(t, "the ingress has looked for its earlier run", func() bool { return isFirst || lines.Len() > 0 })
	return l, cancel
}

// eventually waits until check returns true.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for ends := time.Now().Add(timeout); !check(); time.Sleep(time.Millisecond) {
		if time.Now().After(ends) {
			t.Fatal("timed out waiting until " + condition)
		}
	}
}

// awaitMemo waits until the memo of ingress a states the retries of a service.
func (h *holders) awaitMemo(t *testing.T, service string, retries int) {
	t.Helper()
	eventually(t, "the retries are kept", func() bool { return h.retriesOf(t, service) == retries })
}

// take returns how many of n retries a ledger grants now.
func take(l *ledger.Ledger, service string, n int) int {
	taken := 0
	for range n {
		if l.TakeRetry(service).Granted {
			l.RecordSent(service)
			taken++
		}
	}
	return taken
}

// Guards against an ingress that is denied the retries of its first minutes although no earlier run of it can
// have spent any, and against one that spends its part again after each start.
func TestSlackAfterAStart(t *testing.T) {
	is := is.New(t)
	h := &holders{memos: map[string]memo.Memo{}}
	first, end := h.run(t, true)
	is.Equal(take(first, service, 20), 14) // 0.7 of 60/3
	h.awaitMemo(t, service, 14)
	end()
	h.lose()
	second, end := h.run(t, false)
	defer end()
	is.Equal(take(second, service, 20), 0)
}

// Guards against an ingress that takes the whole slack for itself because it does not know the others yet.
func TestSlackIsNotUsedBeforeTheOthersAreKnown(t *testing.T) {
	is := is.New(t)
	l := ledger.NewLedger(ledger.Options{Name: "a", Retries: settings, Log: zap.NewNop()})
	l.MarkFirstRun()
	is.Equal(take(l, service, 20), 0)
	l.SetView(&state.View{Ingresses: make([]site.Ingress, 1)}) // those of its failure domain
	is.Equal(take(l, service, 20), 0)
	l.SetView(&state.View{Ingresses: make([]site.Ingress, 30), IsComplete: true})
	is.Equal(take(l, service, 20), 1) // 0.7 of 60/30
}

// Guards against an ingress that has no retries after it was restarted, although others know that it spent few
// of them, and against one that spends more than its part over several starts.
func TestRestartedIngressKeepsItsRetries(t *testing.T) {
	is := is.New(t)
	h := &holders{memos: map[string]memo.Memo{}}
	l, end := h.run(t, true)
	spent := 4
	is.Equal(take(l, service, spent), spent)
	for _, taken := range []int{6, 4, 0} {
		h.awaitMemo(t, service, spent)
		end()
		l, end = h.run(t, false)
		is.Equal(take(l, service, 6), taken)
		spent += taken
	}
	is.Equal(take(l, "another service", 20), 14)
	end()
}

// Guards against an ingress that takes retries for unspent because the memo has no room for all services.
func TestServicesThatDoNotFitIntoTheMemoAreNotKnown(t *testing.T) {
	is := is.New(t)
	h := &holders{memos: map[string]memo.Memo{}}
	l, end := h.run(t, true)
	names := []string{}
	for n := range 30 {
		names = append(names, fmt.Sprintf("service-%02d", n))
		is.Equal(take(l, names[n], 14), 14)
	}
	before := h.countWrites()
	eventually(t, "the memo is written anew", func() bool { return h.countWrites() >= before+2 })
	is.Equal(h.retriesOf(t, names[0]), 14)
	is.Equal(h.retriesOf(t, names[29]), 0) // it has no room
	end()
	l, end = h.run(t, false)
	defer end()
	for _, name := range names {
		is.Equal(take(l, name, 14), 0)
	}
}
