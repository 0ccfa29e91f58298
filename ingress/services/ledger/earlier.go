package ledger

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/wire"
)

const (
	// memoPrefix precedes the name of an ingress in the key of its memo.
	memoPrefix = "retries/"
	// memoLife is how long the accounts of an ingress that has ended are kept. What it spent after it
	// last wrote them is not known to its next run, so they must not be old.
	memoLife = 4 * time.Second
	// writeInterval is the time between two memos while nothing changes, minWritePause the shortest time
	// between two of them.
	writeInterval = time.Second
	minWritePause = 50 * time.Millisecond
	// askPause is the pause after a search for the memo of the earlier run that was not conclusive.
	askPause = 250 * time.Millisecond
)

// Start recovers what an earlier run of this ingress has spent, and then has other ingresses keep what this
// one spends, until the context ends.
func (l *Ledger) Start(ctx context.Context) { go l.loop(ctx) }

func (l *Ledger) loop(ctx context.Context) {
	l.recover(ctx)
	for {
		l.write()
		if !pauses.Wait(ctx, minWritePause) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-l.changed:
		case <-time.After(writeInterval - minWritePause):
		}
	}
}

// recover looks for the memo of an earlier run until it is found, or it is known that there is none.
func (l *Ledger) recover(ctx context.Context) {
	for ends := time.Now().Add(memoLife); time.Now().Before(ends); {
		if l.isFirstRun() {
			return
		}
		if l.hasOthers() {
			f := l.options.Memos.FindNewest(ctx, memoPrefix+l.options.Name)
			if f.Found {
				l.restore(f.Memo, f.HeldBy)
				return
			}
			if f.Conclusive {
				break
			}
		}
		if !pauses.Wait(ctx, askPause) {
			return
		}
	}
	l.options.Log.Info("repeats-not-recalled")
}

func (l *Ledger) isFirstRun() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.knownSince.IsZero()
}

// hasOthers reports whether other ingresses are registered.
func (l *Ledger) hasOthers() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.ingresses > 1
}

// restore adds the accounts in the memo of an earlier run. Services that are not in it had no retries, if it
// is complete.
func (l *Ledger) restore(m memo.Memo, heldBy string) {
	spent := &wire.SpentRetries{}
	if err := proto.Unmarshal(m.Value, spent); err != nil {
		l.options.Log.Warn("repeats-not-recalled", zap.String("held-by", heldBy), logs.Err(err))
		return
	}
	at, known := m.ExpiresAt.Add(-memoLife), time.Duration(spent.GetKnownNanos())
	l.options.Log.Info("repeats-recalled", zap.String("held-by", heldBy), zap.Duration("age", time.Since(at)),
		zap.Duration("known", known), zap.Int("services", len(spent.GetServices())), zap.Bool("complete", spent.GetComplete()))
	l.lock.Lock()
	defer l.lock.Unlock()
	if spent.GetComplete() {
		l.setKnownSince(at.Add(-known))
	}
	for _, s := range spent.GetServices() {
		l.find(s.GetService()).Restore(at, budget.Account{Requests: int(s.GetRequests()), Retries: int(s.GetRetries()), Known: known})
	}
}

// write has other ingresses keep the accounts of this one.
func (l *Ledger) write() {
	now := time.Now()
	value, err := proto.Marshal(l.encode(now))
	if err != nil {
		l.options.Log.Error("repeats-not-kept", logs.Err(err))
		return
	}
	l.options.Memos.Put(memo.Memo{Key: memoPrefix + l.options.Name, Value: value, ExpiresAt: now.Add(memoLife)})
}

// encode returns the accounts of the services, those with the most retries first, as many as fit into a
// memo.
func (l *Ledger) encode(now time.Time) *wire.SpentRetries {
	l.lock.Lock()
	defer l.lock.Unlock()
	spent := &wire.SpentRetries{KnownNanos: int64(min(now.Sub(l.knownSince), l.settings.Window)), Complete: true}
	services := []*wire.ServiceRetries{}
	for _, service := range slices.Sorted(maps.Keys(l.budgets)) {
		a := l.budgets[service].Account(now)
		spent.KnownNanos = min(spent.KnownNanos, int64(a.Known))
		services = append(services, &wire.ServiceRetries{Service: service, Requests: uint32(a.Requests), Retries: uint32(a.Retries)}) //nolint:gosec // counts of a window
	}
	slices.SortStableFunc(services, func(a, b *wire.ServiceRetries) int { return cmp.Compare(b.GetRetries(), a.GetRetries()) })
	for _, s := range services {
		spent.Services = append(spent.Services, s)
		if proto.Size(spent) > memo.MaxValueBytes {
			spent.Services = spent.GetServices()[:len(spent.GetServices())-1]
			spent.Complete = false
			break
		}
	}
	return spent
}
