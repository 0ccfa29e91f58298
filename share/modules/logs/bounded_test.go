package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/logs"
)

// stall is a reader of logs that takes nothing until it is let go.
type stall struct {
	lock sync.Mutex
	text bytes.Buffer
	gate chan struct{}
}

func (s *stall) Write(p []byte) (int, error) {
	<-s.gate
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.text.Write(p)
}

func (s *stall) lines() []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return strings.Split(strings.TrimSpace(s.text.String()), "\n")
}

// What collects the logs stands still. Requests must not wait for it: their lines
// are left out and counted.
func TestStalledReaderDelaysNobody(t *testing.T) {
	is := is.New(t)
	s := &stall{gate: make(chan struct{})}
	lock, dropped := sync.Mutex{}, map[string]int{}
	log, bounded, err := logs.NewBounded(s, "info", func(reason string, n int) {
		lock.Lock()
		defer lock.Unlock()
		dropped[reason] += n
	})
	is.NoErr(err)
	began := time.Now()
	for i := range 20000 {
		log.Info("event-" + string(rune('a'+i%100)))
	}
	is.True(time.Since(began) < 2*time.Second)
	lock.Lock()
	is.True(dropped["slow-reader"]+dropped["rate"] > 5000)
	lock.Unlock()
	close(s.gate)
	bounded.Flush(5 * time.Second)
	is.True(len(s.lines()) > 1000)
}

// One kind of event comes ten thousand times in a second. It may not crowd out another.
func TestEventsAreBoundedEach(t *testing.T) {
	is := is.New(t)
	s := &stall{gate: make(chan struct{})}
	close(s.gate)
	log, bounded, err := logs.NewBounded(s, "info", func(string, int) {})
	is.NoErr(err)
	for range 10000 {
		log.Info("answered")
	}
	log.Warn("failed")
	bounded.Flush(5 * time.Second)
	count := 0
	failed := false
	for _, line := range s.lines() {
		if strings.Contains(line, "event=answered") {
			count++
		}
		failed = failed || strings.Contains(line, "event=failed")
	}
	is.True(count <= 400) // the second may have changed once
	is.True(failed)
}

func TestUnknownLevel(t *testing.T) {
	_, _, err := logs.NewBounded(&bytes.Buffer{}, "loud", func(string, int) {})
	is.New(t).True(err != nil)
}
