// Package policy holds an entry's admission, retry budgets and spend accounts
// and guards them with locks, so that traffic may ask from many goroutines.
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

// defaultRetryShare applies where a service's document names none.
const defaultRetryShare = 0.1

// Admission says what may begin.
type Admission string

// The modes of admission.
const (
	// AdmissionDeadline admits what is within its limits and can be done in time.
	AdmissionDeadline Admission = "deadline"
	// AdmissionOff is the baseline for experiments: everything begins.
	AdmissionOff Admission = "off"
)

// Policy is one entry's.
type Policy struct {
	admission Admission

	admitLock sync.Mutex
	// admitter is guarded by admitLock.
	admitter *admit.Admitter

	budgetLock sync.Mutex
	// budgets holds one budget for each service, guarded by budgetLock.
	budgets map[string]*retry.Budget

	spendLock sync.Mutex
	// ledger is guarded by spendLock; revision is the configuration of its pools.
	ledger   *spend.Ledger
	revision uint64
}

// NewPolicy returns a policy without history.
func NewPolicy(admission Admission) *Policy {
	return &Policy{
		admission: admission,
		admitter:  admit.New(admit.DefaultSettings()),
		budgets:   map[string]*retry.Budget{},
		ledger:    spend.New(spend.DefaultSettings()),
	}
}

// SetEntries divides limits and committed amounts among the live entries.
func (p *Policy) SetEntries(now time.Time, entries int) {
	p.admitLock.Lock()
	p.admitter.SetEntries(entries)
	p.admitLock.Unlock()
	p.spendLock.Lock()
	defer p.spendLock.Unlock()
	p.ledger.SetShare(now, 1/float64(max(entries, 1)))
}

// DecideAdmission admits a request with each stage's part of the deadline, or refuses it as not run.
func (p *Policy) DecideAdmission(now time.Time, request admit.Request) admit.Decision {
	p.admitLock.Lock()
	defer p.admitLock.Unlock()
	if p.admission == AdmissionOff {
		return admit.Decision{Shares: p.admitter.Split(now, request.Remaining, request.Stages)}
	}
	return p.admitter.Decide(now, request)
}

// SplitDeadline divides what is left among the stages still to run, so that what one saved flows on.
func (p *Policy) SplitDeadline(now time.Time, remaining time.Duration, stages []admit.Stage) []time.Duration {
	p.admitLock.Lock()
	defer p.admitLock.Unlock()
	return p.admitter.Split(now, remaining, stages)
}

// AddStageTime takes a stage's measured time without its queue delay.
func (p *Policy) AddStageTime(now time.Time, key string, took time.Duration) {
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

// DepositFirst counts a first attempt towards the service's retry budget.
func (p *Policy) DepositFirst(service *config.Service) {
	p.budgetLock.Lock()
	defer p.budgetLock.Unlock()
	p.budget(service).OnFirstAttempt()
}

// DecideRetry says what follows an attempt that brought no answer.
func (p *Policy) DecideRetry(service *config.Service, attempt retry.Attempt, random float64) retry.Decision {
	p.budgetLock.Lock()
	defer p.budgetLock.Unlock()
	return p.budget(service).Decide(attempt, random)
}

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

// CheckSpend refuses work that would go beyond the committed amount of the
// service's pool without the priority for it.
func (p *Policy) CheckSpend(now time.Time, snapshot *config.Snapshot, service string, priority config.Priority, cost float64) *codes.Result {
	pool := poolOf(snapshot, service)
	if pool == "" || p.admission == AdmissionOff {
		return nil
	}
	p.spendLock.Lock()
	defer p.spendLock.Unlock()
	p.adoptPools(now, snapshot)
	decision := p.ledger.Decide(now, pool, priority, cost)
	if decision.Verdict != spend.VerdictRefused {
		return nil
	}
	detail := "the committed amount of pool " + pool + " is used and the priority may not go beyond it"
	return codes.NewResult(codes.Overloaded, detail).WithRetryAfter(decision.RetryAfter)
}

// AddUse accounts for work that was done.
func (p *Policy) AddUse(now time.Time, snapshot *config.Snapshot, service string, use spend.Use) {
	use.Pool = poolOf(snapshot, service)
	if use.Pool == "" {
		return
	}
	p.spendLock.Lock()
	defer p.spendLock.Unlock()
	p.adoptPools(now, snapshot)
	p.ledger.Add(now, use)
}

// FindReports returns the account of every pool.
func (p *Policy) FindReports(now time.Time) []spend.Report {
	p.spendLock.Lock()
	defer p.spendLock.Unlock()
	return p.ledger.Reports(now)
}

func (p *Policy) adoptPools(now time.Time, snapshot *config.Snapshot) {
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
