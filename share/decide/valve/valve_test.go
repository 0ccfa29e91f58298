package valve_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/valve"
)

const (
	checkInterval = 100 * time.Millisecond
	// cost is the processor time that a request takes, refusalCost that of a connection that is closed unread.
	cost        = 1300 * time.Microsecond
	refusalCost = 100 * time.Microsecond
	cores       = 0.144
	// usableTime is how long after its arrival an answer is of use.
	usableTime = time.Second
	// contactTime is the time from the beginning of a flood within which the process has adapted to it.
	contactTime = 4 * time.Second
)

// process is an instance whose processor handles what it has read in the order of its arrival.
type process struct {
	valve *valve.Valve
	now   time.Duration
	// freeAt is when the processor will have done what is queued. The next check is due at checkDueAt and
	// queued then, so that it runs at checkRunsAt; 0: it is not queued yet.
	freeAt, checkDueAt, checkRunsAt, checkedAt time.Duration
	// used is the processor time used since the last check.
	used time.Duration
	// read and served count the requests since countFrom.
	read, served, refused int
	countFrom             time.Duration
}

// work queues some processor time and returns when it is done.
func (p *process) work(d time.Duration) time.Duration {
	p.freeAt = max(p.freeAt, p.now) + time.Duration(float64(d)/cores)
	p.used += d
	return p.freeAt
}

func (p *process) connect() {
	if p.valve != nil && !p.valve.Take(p.describeCheck()) {
		p.work(refusalCost)
		p.refused++
		return
	}
	done := p.work(cost)
	if p.now < p.countFrom {
		return
	}
	p.read++
	if done-p.now <= usableTime {
		p.served++
	}
}

// check runs the periodic check once the processor has done what was queued when it was due.
func (p *process) check() {
	if p.now >= p.checkDueAt && p.checkRunsAt == 0 {
		p.checkRunsAt = max(p.freeAt, p.now)
	}
	if p.checkRunsAt == 0 || p.now < p.checkRunsAt {
		return
	}
	p.checkRunsAt = 0
	if p.valve != nil {
		p.valve.Observe(p.describeCheck())
	}
	p.used = 0
	p.checkedAt, p.checkDueAt = p.now, p.now+checkInterval
}

// describeCheck returns the state of the check that runs or is due next.
func (p *process) describeCheck() valve.Check {
	elapsed := p.now - p.checkedAt
	return valve.Check{Delay: p.now - p.checkDueAt, Elapsed: elapsed, Used: min(p.used, time.Duration(float64(elapsed)*cores))}
}

// run opens connections at a rate for some time.
func (p *process) run(d time.Duration, perSecond float64) {
	const step = time.Millisecond
	arrived := 0.0
	for ends := p.now + d; p.now < ends; p.now += step {
		for arrived += perSecond * step.Seconds(); arrived >= 1; arrived-- {
			p.connect()
		}
		p.check()
	}
}

// Guards against an instance that gets most new connections of its region, reads all of them, and answers none
// in time.
func TestOverloadedProcessServesWhatItReads(t *testing.T) {
	for _, perSecond := range []float64{60, 150, 400, 900} {
		is := is.New(t)
		p := &process{valve: valve.NewValve(cores), countFrom: 10*time.Second + contactTime}
		p.run(10*time.Second, 20)
		is.Equal(p.refused, 0)
		p.run(20*time.Second, perSecond)
		t.Logf("%v connections a second: %d requests read, %d served in time, %d refused", perSecond, p.read, p.served, p.refused)
		is.True(p.served*4 >= p.read*3)
		is.True(p.read >= 200) // it goes on taking some
		p.refused = 0
		p.run(10*time.Second, 20)
		p.refused = 0
		p.run(10*time.Second, 20)
		is.Equal(p.refused, 0) // and all, once the flood is over
	}
}

// Shows that the simulated process needs the valve.
func TestProcessWithoutValveServesNothing(t *testing.T) {
	is := is.New(t)
	p := &process{countFrom: 10*time.Second + contactTime}
	p.run(10*time.Second, 20)
	p.run(20*time.Second, 400)
	is.True(p.served*4 < p.read)
}

// Guards against connections that are refused because the machine did not run the process for a while.
func TestProcessThatWasNotRunTakesAllConnections(t *testing.T) {
	is := is.New(t)
	v := valve.NewValve(cores)
	for range 5 {
		v.Observe(valve.Check{Delay: 3 * time.Second, Elapsed: 3100 * time.Millisecond, Used: 5 * time.Millisecond})
	}
	is.Equal(v.Share(), 1.0)
	v.Observe(valve.Check{Delay: 300 * time.Millisecond, Elapsed: 400 * time.Millisecond, Used: 60 * time.Millisecond})
	is.True(v.Share() < 1)
}
