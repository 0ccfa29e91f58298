// Package policy holds an entry's admission control, retry budgets and spend accounts, and guards
// them with locks, so that many goroutines can use them.
package policy

import (
	"sync"
	"time"

	"verbenaroad.example/share/decide/admit"
	"verbenaroad.example/share/decide/retry"
	"verbenaroad.example/share/decide/spend"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
)

// defaultRetryShare is the retry share of a service whose configuration sets none.
const defaultRetryShare = 0.1

// Admission is the mode of admission control.
type Admission string

// The modes of admission.
const (
	// AdmissionDeadline admits requests that are within their limits and can be done in time.
	AdmissionDeadline Admission = "deadline"
	// AdmissionOff admits every request. It is the baseline for experiments.
	AdmissionOff Admission = "off"
)

// Policy is the policy of one entry. It is safe for concurrent use.
type Policy struct {
	admission Admission

	admitLock sync.Mutex
	// admitter is guarded by admitLock.
	admitter *admit.Admitter

	budgetLock sync.Mutex
	// budgets holds one budget for each service, guarded by budgetLock.
	budgets map[string]*retry.Budget

	spendLock sync.Mutex
	// ledger is guarded by spendLock, and so is revision, the configuration revision of its pools.
	ledger   *spend.Ledger
	revision uint64
}

// NewPolicy returns a policy with empty accounts and new budgets.
func NewPolicy(admission Admission) *Policy {
	return &Policy{
		admission: admission,
		admitter:  admit.New(admit.DefaultSettings()),
		budgets:   map[string]*retry.Budget{},
		ledger:    spend.New(spend.DefaultSettings()),
	}
}

// SetEntryCount sets the number of live entries and divides limits and committed amounts among
// them.
func (p *Policy) SetEntryCount(now time.Time, entries int) {
	p.admitLock.Lock()
	p.admitter.SetEntries(entries)
	p.admitLock.Unlock()
	p.spendLock.Lock()
	defer p.spendLock.Unlock()
	p.ledger.SetShare(now, 1/float64(max(entries, 1)))
}

// DecideAdmission admits a request with each stage's part of the deadline, or refuses it as not
// run.
func (p *Policy) DecideAdmission(now time.Time, request admit.Request) admit.Decision {
	p.admitLock.Lock()
	defer p.admitLock.Unlock()
	if p.admission == AdmissionOff {
		return admit.Decision{Shares: p.admitter.Split(now, request.Remaining, request.Stages)}
	}
	return p.admitter.Decide(now, request)
}

// SplitDeadline divides the remaining time among the stages still to run, so that time saved by
// earlier stages goes to the later ones.
func (p *Policy) SplitDeadline(now time.Time, remaining time.Duration, stages []admit.Stage) []time.Duration {
	p.admitLock.Lock()
	defer p.admitLock.Unlock()
	return p.admitter.Split(now, remaining, stages)
}

// ObserveStageTime records a stage's measured time, excluding its queue delay.
func (p *Policy) ObserveStageTime(now time.Time, key string, took time.Duration) {
	p.admitLock.Lock()
	defer p.admitLock.Unlock()
	p.admitter.OnStageTime(now, key, took)
}

// CountTeams returns the number of teams that admission holds state for.
func (p *Policy) CountTeams() int {
	p.admitLock.Lock()
	defer p.admitLock.Unlock()
	return p.admitter.CountTeams()
}

// OnFirstAttempt counts a first attempt towards the service's retry budget.
func (p *Policy) OnFirstAttempt(service *config.Service) {
	p.budgetLock.Lock()
	defer p.budgetLock.Unlock()
	p.budget(service).OnFirstAttempt()
}

// DecideRetry decides what follows an attempt that produced no answer.
func (p *Policy) DecideRetry(service *config.Service, attempt retry.Attempt, random float64) retry.Decision {
	p.budgetLock.Lock()
	defer p.budgetLock.Unlock()
	return p.budget(service).Decide(attempt, random)
}

// budget returns the retry budget of a service; nil selects the one for an unknown service.
func (p *Policy) budget(service *config.Service) *retry.Budget {
	name, share := "", defaultRetryShare
	if service != nil {
		name = service.Name
	}
	if service != nil && service.RetryShare > 0 {
		share = service.RetryShare
	}
	b := p.budgets[name]
	if b == nil {
		b = retry.NewBudget(retry.DefaultSettings(share))
		p.budgets[name] = b
	}
	return b
}

// CheckSpend refuses a call that would exceed the committed amount of the service's pool, unless
// its priority permits that.
func (p *Policy) CheckSpend(now time.Time, snapshot *config.Snapshot, service string, priority config.Priority, cost float64) *codes.Result {
	pool := poolOf(snapshot, service)
	if pool == "" || p.admission == AdmissionOff {
		return nil
	}
	p.spendLock.Lock()
	defer p.spendLock.Unlock()
	p.updatePools(now, snapshot)
	decision := p.ledger.Decide(now, pool, priority, cost)
	if decision.Verdict != spend.VerdictRefused {
		return nil
	}
	detail := "the committed amount of pool " + pool + " is used and the priority may not go beyond it"
	return codes.NewResult(codes.Overloaded, detail).WithRetryAfter(decision.RetryAfter)
}

// AddUse adds the cost of a call that ran, or may have run, to the account of the service's pool.
func (p *Policy) AddUse(now time.Time, snapshot *config.Snapshot, service string, use spend.Use) {
	use.Pool = poolOf(snapshot, service)
	if use.Pool == "" {
		return
	}
	p.spendLock.Lock()
	defer p.spendLock.Unlock()
	p.updatePools(now, snapshot)
	p.ledger.Add(now, use)
}

// FindReports returns the account of every pool.
func (p *Policy) FindReports(now time.Time) []spend.Report {
	p.spendLock.Lock()
	defer p.spendLock.Unlock()
	return p.ledger.Reports(now)
}

// updatePools passes the pools of a newer snapshot to the ledger.
func (p *Policy) updatePools(now time.Time, snapshot *config.Snapshot) {
	if p.revision >= snapshot.Revision {
		return
	}
	p.revision = snapshot.Revision
	p.ledger.SetPools(now, snapshot.Set.Pools)
}

func poolOf(snapshot *config.Snapshot, service string) string {
	s := snapshot.GetServiceByName(service)
	if s == nil {
		return ""
	}
	return s.Pool
}
