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

// blockingOutput is an output for logs that blocks each Write until gate is closed.
type blockingOutput struct {
	lock sync.Mutex
	text bytes.Buffer
	gate chan struct{}
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	<-o.gate
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.text.Write(p)
}

func (o *blockingOutput) lines() []string {
	o.lock.Lock()
	defer o.lock.Unlock()
	return strings.Split(strings.TrimSpace(o.text.String()), "\n")
}

// Guards against requests that wait for a stalled reader of the logs. Lines that exceed the queue
// must be dropped and counted instead.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	o := &blockingOutput{gate: make(chan struct{})}
	lock, dropped := sync.Mutex{}, map[string]int{}
	log, writer, err := logs.NewAsyncLogger(o, "info", func(reason string, n int) {
		lock.Lock()
		defer lock.Unlock()
		dropped[reason] += n
	})
	is.NoErr(err)
	start := time.Now()
	for i := range 20000 {
		log.Info("event-" + string(rune('a'+i%100)))
	}
	is.True(time.Since(start) < 2*time.Second)
	lock.Lock()
	is.True(dropped["slow-reader"]+dropped["rate"] > 5000)
	lock.Unlock()
	close(o.gate)
	writer.Flush(5 * time.Second)
	is.True(len(o.lines()) > 1000)
}

// Guards against one event that is logged ten thousand times within a second and crowds out
// another.
func TestEachEventIsRateLimited(t *testing.T) {
	is := is.New(t)
	o := &blockingOutput{gate: make(chan struct{})}
	close(o.gate)
	log, writer, err := logs.NewAsyncLogger(o, "info", func(string, int) {})
	is.NoErr(err)
	for range 10000 {
		log.Info("answered")
	}
	log.Warn("failed")
	writer.Flush(5 * time.Second)
	count := 0
	failed := false
	for _, line := range o.lines() {
		if strings.Contains(line, "event=answered") {
			count++
		}
		failed = failed || strings.Contains(line, "event=failed")
	}
	is.True(count <= 400) // the run may extend over two seconds, each with its own limit
	is.True(failed)
}

func TestUnknownLevel(t *testing.T) {
	_, _, err := logs.NewAsyncLogger(&bytes.Buffer{}, "loud", func(string, int) {})
	is.New(t).True(err != nil)
}
