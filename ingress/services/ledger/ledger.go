// Package ledger holds the retry budgets of the services at this ingress.
package ledger

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/budget"
)

// Ledger counts requests and retries by service, and limits the retries. It is safe for concurrent use.
type Ledger struct {
	lock     sync.Mutex
	settings budget.Settings
	// knownSince is the start of the time for which all requests and retries of this ingress are counted;
	// zero if it has not run before.
	knownSince time.Time
	// budgets is keyed by the name of the service.
	budgets map[string]*budget.Budget
	// ingresses is the highest number of ingresses in any view so far.
	ingresses int
}

// NewLedger returns a ledger of an ingress that starts now. What earlier runs of it have spent is not
// known.
func NewLedger(settings budget.Settings) *Ledger {
	return &Ledger{settings: settings, knownSince: time.Now(), budgets: map[string]*budget.Budget{}}
}

// MarkFirstRun records that this ingress has not run before within the last window.
func (l *Ledger) MarkFirstRun() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.knownSince = time.Time{}
	for _, b := range l.budgets {
		b.SetKnownSince(l.knownSince)
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

// SetView updates the number of ingresses that share the budgets.
func (l *Ledger) SetView(v *state.View) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.ingresses = max(l.ingresses, len(v.Ingresses))
}

// CountRequest counts a new request for a service, as opposed to a retry.
func (l *Ledger) CountRequest(service string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.find(service).CountRequest(time.Now())
}

// TakeRetry takes one retry from the budget of a service, unless it is exhausted.
func (l *Ledger) TakeRetry(service string) budget.Decision {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.find(service).TakeRetries(time.Now(), 1, l.ingresses)
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
