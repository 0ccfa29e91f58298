// Package ledger holds the retry budgets of the services at this ingress. What the ingress has spent is kept
// at other ingresses as well, so that its next run knows of it. This is soft state: where it is lost, the
// next run uses less of the budgets for a while.
package ledger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/recall"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/memo"
)

// Memos holds facts that outlive this ingress at other ingresses.
type Memos interface {
	Put(m memo.Memo)
	FindNewest(ctx context.Context, key string) recall.Finding
}

// Options are the settings of a Ledger.
type Options struct {
	// Name is the name of this ingress.
	Name    string
	Retries budget.Settings
	Memos   Memos
	Log     *zap.Logger
}

// Ledger counts requests and retries by service, and limits the retries. It is safe for concurrent use.
type Ledger struct {
	options Options

	lock     sync.Mutex
	settings budget.Settings
	// knownSince is the start of the time for which all requests and retries of this ingress are counted;
	// zero if it has not run before.
	knownSince time.Time
	// budgets is keyed by the name of the service.
	budgets map[string]*budget.Budget
	// ingresses is the highest number of ingresses in any view so far; 0: not known.
	ingresses int
	// changed holds a token if the accounts are to be written soon: a retry was taken, or other ingresses
	// have been seen for the first time.
	changed chan struct{}
}

// NewLedger returns a ledger of an ingress that starts now. What earlier runs of it have spent is not
// known.
func NewLedger(options Options) *Ledger {
	return &Ledger{
		options: options, settings: options.Retries, knownSince: time.Now(), budgets: map[string]*budget.Budget{},
		changed: make(chan struct{}, 1),
	}
}

// MarkFirstRun records that this ingress has not run before within the last window.
func (l *Ledger) MarkFirstRun() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.setKnownSince(time.Time{})
}

// setKnownSince replaces the start of the time for which all requests and retries are counted. The caller
// holds the lock.
func (l *Ledger) setKnownSince(at time.Time) {
	l.knownSince = at
	for _, b := range l.budgets {
		b.SetKnownSince(at)
	}
}

// SetSettings replaces the settings of all budgets.
func (l *Ledger) SetSettings(settings budget.Settings) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.settings = settings
	for _, b := range l.budgets {
		b.SetSettings(settings)
	}
}

// SetView updates the number of ingresses that share the budgets. A view in which some may be missing is
// ignored.
func (l *Ledger) SetView(v *state.View) {
	if !v.IsComplete {
		return
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	if len(v.Ingresses) > l.ingresses {
		l.ingresses = len(v.Ingresses)
		l.notify()
	}
}

// CountRequest counts a new request for a service, as opposed to a retry.
func (l *Ledger) CountRequest(service string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.find(service).CountRequest(time.Now())
}

// TakeRetry takes one retry from the budget of a service, unless it is exhausted. If it is granted,
// RecordSent or ReturnRetry must follow.
func (l *Ledger) TakeRetry(service string) budget.Decision {
	l.lock.Lock()
	defer l.lock.Unlock()
	d := l.find(service).TakeRetry(time.Now(), l.ingresses)
	if d.Granted {
		l.notify()
	}
	return d
}

// RecordSent records that a granted retry is sent now.
func (l *Ledger) RecordSent(service string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.find(service).RecordSent(time.Now())
}

// ReturnRetry records that a granted retry will not be sent.
func (l *Ledger) ReturnRetry(service string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.find(service).ReturnRetry()
}

// notify has the accounts written soon.
func (l *Ledger) notify() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// find returns the budget of a service. The caller holds the lock.
func (l *Ledger) find(service string) *budget.Budget {
	b := l.budgets[service]
	if b == nil {
		b = budget.NewBudget(l.settings, l.knownSince)
		l.budgets[service] = b
	}
	return b
}

// LogDecision logs whether a retry was granted, and what this depended on.
func LogDecision(log *zap.Logger, reason string, d budget.Decision) {
	event := "repeat-denied"
	if d.Granted {
		event = "repeat-granted"
	}
	log.Info(event, zap.String("reason", reason), zap.Int("requests", d.Requests), zap.Int("repeats", d.Retries),
		zap.Float64("limit", d.Limit), zap.Int("ingresses", d.Ingresses), zap.Duration("known", d.Known))
}
