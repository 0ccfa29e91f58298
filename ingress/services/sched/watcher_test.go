package sched_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/sched"
)

// busyProcess has used some processor time, and counts refused connections.
type busyProcess struct {
	lock    sync.Mutex
	used    time.Duration
	refused int
}

func (p *busyProcess) processorTime() time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.used
}

func (p *busyProcess) use(d time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.used += d
}

func (*busyProcess) CountLateCheck(time.Duration) {}

func (p *busyProcess) CountRefusedConnection() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.refused++
}

// take offers 100 connections and returns how many are taken.
func take(w *sched.Watcher) int {
	taken := 0
	for range 100 {
		if w.TakeConnection() {
			taken++
		}
	}
	return taken
}

// Guards against a process that goes on reading requests while the check that would show that it is overloaded does
// not run, and against one that refuses connections because the machine did not run it.
func TestConnectionsAreRefusedWhileACheckIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &busyProcess{}
		w := sched.NewWatcher(sched.Options{ProcessorTime: p.processorTime, Cores: 0.144, Meter: p, Log: zap.NewNop()})
		p.use(time.Second)
		is.Equal(take(w), 100) // it has not been started
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		w.Start(ctx)
		time.Sleep(time.Second) // no check runs
		is.Equal(take(w), 100)  // the process was not run
		p.use(140 * time.Millisecond)
		is.Equal(take(w), 2)
		is.Equal(p.refused, 98)
	})
}
