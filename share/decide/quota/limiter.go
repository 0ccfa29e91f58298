package quota

import (
	"maps"
	"time"

	"verbenaroad.example/share/models/site"
)

// MinRate is the lowest rate in requests per second. A server that takes fewer, or none, still gets
// this rate: only its answers can withdraw the limit.
const MinRate = 0.25

const (
	// minBurst is the smallest number of requests that may be sent at once. A server with a higher
	// rate may get what it takes within burstTime.
	minBurst  = 1.5
	burstTime = 250 * time.Millisecond
	// unsentTime limits the reservations for requests that wait for their stages: to what the server
	// takes within unsentTime, plus one burst. Requests that wait may all be sent at the same moment.
	unsentTime = time.Second
	// turnGrace is how long a request is left for those whose turn it is. An ingress that was told to ask again
	// may be late by a way on the link.
	turnGrace = 200 * time.Millisecond
	// rounding is the error that the number of tokens may have.
	rounding = 1e-6
	// maxReturnTime limits how far in the future refused callers are told to return.
	maxReturnTime = 5 * time.Second
)

// Limiter limits the requests to the servers that state a rate. It is a token bucket for each of
// them. It is not safe for concurrent use.
type Limiter struct {
	*Table
	// accounts is keyed by server ID.
	accounts map[string]*account
}

// account counts the requests to one start of a server.
type account struct {
	incarnation int64
	// tokens is the number of requests that may be reserved now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// unsent counts the reservations whose request was neither sent nor canceled. Of these, uncharged
	// counts those that took no token, because the server had no limit when they were made.
	unsent    int
	uncharged int
	// scheduledUntil is the time up to which requests at the rate of the server are scheduled: those of
	// refused callers, and one of each refused ingress.
	scheduledUntil time.Time
	// retryAt holds when each ingress that was refused is to ask again.
	retryAt map[string]time.Time
	// availableSince is since when the rate allows a request; zero: it does not.
	availableSince time.Time
	// turn is whose turn the next request is: those who place or batch at the server and those who ask for
	// single requests take turns. placerAskedAt is when one of the former last asked.
	turn          turn
	placerAskedAt time.Time
}

// turn is whose turn the next request to a server is.
type turn string

// The turns.
const (
	turnNone     turn = ""
	turnOfPlacer turn = "placer"
	turnOfRetry  turn = "retry"
)

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter {
	return &Limiter{Table: NewTable(), accounts: map[string]*account{}}
}

// Observe is Table.Observe. A change ends what was scheduled at the rate before.
func (l *Limiter) Observe(now time.Time, server *site.Server, stated site.RateLimit) (changed bool) {
	changed = l.Table.Observe(now, server, stated)
	if changed {
		l.endSchedule(server.ID)
	}
	return changed
}

// Merge is Table.Merge. A change ends what was scheduled at the rate before.
func (l *Limiter) Merge(now time.Time, s Statement) (changed bool) {
	changed = l.Table.Merge(now, s)
	if changed {
		l.endSchedule(s.ServerID)
	}
	return changed
}

// endSchedule lets the requests to a server be scheduled from now on.
func (l *Limiter) endSchedule(serverID string) {
	if a := l.accounts[serverID]; a != nil {
		a.scheduledUntil, a.retryAt = time.Time{}, nil
	}
}

// Allows reports whether a request to the server may be reserved now.
func (l *Limiter) Allows(now time.Time, server *site.Server) bool {
	rate, limited := l.rate(server)
	if !limited {
		return true
	}
	a := l.getAccount(now, server)
	a.refill(now, rate)
	a.placerAskedAt = now
	return a.mayReserve(now, rate, a.turn == turnOfRetry && a.hasRetry(now))
}

// AllowsRetry reports whether an ingress that asks for one request, to be sent at once, may have it now.
func (l *Limiter) AllowsRetry(now time.Time, server *site.Server) bool {
	rate, limited := l.rate(server)
	if !limited {
		return true
	}
	a := l.getAccount(now, server)
	a.refill(now, rate)
	return a.mayReserve(now, rate, a.turn == turnOfPlacer && now.Sub(a.placerAskedAt) <= turnGrace)
}

// RecordRetry records that an ingress that asked was granted a request.
func (l *Limiter) RecordRetry(server *site.Server, ingress string) {
	if a := l.findAccount(server); a != nil {
		a.turn = turnOfPlacer
		delete(a.retryAt, ingress)
	}
}

// Reserve counts a request that is to be sent to the server. Each reservation is ended by MarkSent or
// Cancel. Requests to servers without a limit are counted too: they may be sent after the server has
// stated one.
func (l *Limiter) Reserve(now time.Time, server *site.Server) {
	a := l.getAccount(now, server)
	a.unsent++
	rate, limited := l.rate(server)
	if !limited {
		a.uncharged++
		return
	}
	a.refill(now, rate)
	a.tokens--
	a.availableSince = time.Time{}
	a.turn = turnOfRetry
}

// MarkSent records that a reserved request is sent now.
func (l *Limiter) MarkSent(server *site.Server) {
	if a := l.findAccount(server); a != nil {
		a.endReservation()
		l.dropUnused(server, a)
	}
}

// Cancel drops the reservation of a request that will not be sent.
func (l *Limiter) Cancel(now time.Time, server *site.Server) {
	a := l.findAccount(server)
	if a == nil {
		return
	}
	charged := a.endReservation()
	if rate, limited := l.rate(server); limited && charged {
		a.refill(now, rate)
		a.tokens = min(a.tokens+1, burst(rate))
	}
	l.dropUnused(server, a)
}

// NextAt returns when the rate of the server allows the next request; now if it has no limit. Allows may
// return false for longer if requests wait for their stages.
func (l *Limiter) NextAt(now time.Time, server *site.Server) time.Time {
	rate, limited := l.rate(server)
	if !limited {
		return now
	}
	a := l.getAccount(now, server)
	a.refill(now, rate)
	return now.Add(seconds(max(1-a.tokens, 0) / rate))
}

// ScheduleReturn returns how long a caller that was refused because of the limits of the given servers
// is to wait. Callers that are refused one after another are told to return one after another, at the
// rate that the servers take. Without a server with a limit, limited is false.
func (l *Limiter) ScheduleReturn(now time.Time, servers []*site.Server) (wait time.Duration, limited bool) {
	var first *site.Server
	at := time.Time{}
	for _, s := range servers {
		if _, isLimited := l.Find(s); !isLimited {
			continue
		}
		if next := l.nextUnscheduled(now, s); first == nil || next.Before(at) {
			first, at = s, next
		}
	}
	if first == nil {
		return 0, false
	}
	return l.schedule(now, first, at).Sub(now), true
}

// ScheduleRetry returns how long an ingress is to wait until it asks for the server again. Ingresses that
// are refused one after another are told to ask one after another. An ingress has one scheduled retry
// at a time, however many of its requests are refused.
func (l *Limiter) ScheduleRetry(now time.Time, server *site.Server, ingress string) time.Duration {
	a := l.getAccount(now, server)
	if at := a.retryAt[ingress]; at.After(now) {
		return at.Sub(now)
	}
	at := l.schedule(now, server, l.nextUnscheduled(now, server))
	if a.retryAt == nil {
		a.retryAt = map[string]time.Time{}
	}
	a.retryAt[ingress] = at
	return at.Sub(now)
}

// nextUnscheduled returns when the rate of the server allows a request beyond those that are scheduled.
func (l *Limiter) nextUnscheduled(now time.Time, server *site.Server) time.Time {
	next := l.NextAt(now, server)
	if scheduled := l.getAccount(now, server).scheduledUntil; scheduled.After(next) {
		return scheduled
	}
	return next
}

// schedule schedules the request that the rate of the server allows at the given time, and returns that
// time. If it is too far in the future, schedule returns an earlier time and schedules nothing.
func (l *Limiter) schedule(now time.Time, server *site.Server, at time.Time) time.Time {
	if latest := now.Add(maxReturnTime); at.After(latest) {
		return latest
	}
	rate, _ := l.rate(server)
	l.getAccount(now, server).scheduledUntil = at.Add(seconds(1 / rate))
	return at
}

// Retain removes the limits of the servers that have not been in the view for some time, and the
// accounts of those that are not in the view and have no limit. Live holds the IDs of those that are.
func (l *Limiter) Retain(now time.Time, live map[string]bool) {
	l.Table.Retain(now, live)
	for id := range l.accounts {
		if !live[id] && l.entries[id] == nil {
			delete(l.accounts, id)
		}
	}
}

// rate returns the rate to which requests to the server are limited.
func (l *Limiter) rate(server *site.Server) (rate float64, limited bool) {
	perSecond, limited := l.Find(server)
	return max(perSecond, MinRate), limited
}

// getAccount returns the account of a server. A new one has no tokens: another ingress may have
// counted the requests before and have used them.
func (l *Limiter) getAccount(now time.Time, server *site.Server) *account {
	a := l.findAccount(server)
	if a == nil {
		a = &account{incarnation: server.Incarnation, refilledAt: now}
		l.accounts[server.ID] = a
	}
	return a
}

func (l *Limiter) findAccount(server *site.Server) *account {
	a := l.accounts[server.ID]
	if a == nil || a.incarnation != server.Incarnation {
		return nil
	}
	return a
}

// dropUnused removes an account that counts nothing.
func (l *Limiter) dropUnused(server *site.Server, a *account) {
	if _, limited := l.rate(server); !limited && a.unsent == 0 {
		delete(l.accounts, server.ID)
	}
}

// endReservation drops the oldest reservation and reports whether it took a token.
func (a *account) endReservation() (charged bool) {
	a.unsent = max(a.unsent-1, 0)
	if a.uncharged > 0 {
		a.uncharged--
		return false
	}
	return true
}

// mayReserve reports whether the rate allows a request. If it is the turn of others who wait, one request is left
// for them, but not for longer than turnGrace. The account must be refilled.
func (a *account) mayReserve(now time.Time, rate float64, isTurnOfOthers bool) bool {
	if a.tokens < 1-rounding || float64(a.unsent) >= rate*unsentTime.Seconds()+burst(rate) {
		return false
	}
	return !isTurnOfOthers || a.tokens >= 2-rounding || now.Sub(a.availableSince) > turnGrace
}

// hasRetry reports whether an ingress that was refused is to ask again, or is late by turnGrace at most. It forgets
// the others.
func (a *account) hasRetry(now time.Time) bool {
	maps.DeleteFunc(a.retryAt, func(_ string, at time.Time) bool { return now.Sub(at) > turnGrace })
	return len(a.retryAt) > 0
}

func (a *account) refill(now time.Time, rate float64) {
	elapsed := max(now.Sub(a.refilledAt), 0)
	a.tokens = min(a.tokens+rate*elapsed.Seconds(), burst(rate))
	a.refilledAt = now
	if a.availableSince.IsZero() && a.tokens >= 1-rounding {
		a.availableSince = now.Add(-min(elapsed, seconds((a.tokens-1)/rate)))
	}
}

// burst returns the number of requests that may be sent at once.
func burst(rate float64) float64 { return max(minBurst, rate*burstTime.Seconds()) }

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
