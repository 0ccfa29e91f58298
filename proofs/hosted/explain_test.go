package hosted_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

// requestLines returns the log lines of all ingresses for a request. This is the first step of a
// diagnosis in docs/OPERATIONS.md.
func (d *deployment) requestLines(id string) []string {
	lines := []string{}
	for _, i := range d.ingresses {
		lines = append(lines, i.output.lines("request="+id)...)
	}
	return lines
}

// fieldPattern matches the fields of a log line. A quoted value may contain spaces and equals
// signs.
var fieldPattern = regexp.MustCompile(`([a-z-]+)=("[^"]*"|\S*)`)

// fieldValue returns the value of a field of a log line, without its quotes, or "" if the line does
// not have the field.
func fieldValue(line, name string) string {
	for _, field := range fieldPattern.FindAllStringSubmatch(line, -1) {
		if field[1] == name {
			return strings.Trim(field[2], `"`)
		}
	}
	return ""
}

// The pool is too slow to serve a burst of staged requests in time. From the ID of a refused
// request, an engineer must find in the log that it was refused without being run, when the caller
// may retry, and which pool was the bottleneck.
func TestLogExplainsRefusalInBurst(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, p := range d.poolServers {
		p.WorkTime = 900 * time.Millisecond
	}
	lock, refused := sync.Mutex{}, []string{}
	callers := sync.WaitGroup{}
	for range 60 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			q := newReview()
			q.callerTimeout = 3 * time.Second
			if got := d.ingresses[0].send(context.Background(), q); got.status == http.StatusServiceUnavailable {
				lock.Lock()
				refused = append(refused, q.id)
				lock.Unlock()
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	is.True(len(refused) > 0)
	// The log is written asynchronously: a line may appear after the answer.
	last := ""
	eventually(t, "the refusal is logged", func() bool {
		lines := d.requestLines(refused[len(refused)-1])
		if len(lines) > 0 {
			last = lines[len(lines)-1]
		}
		return strings.Contains(last, "event=failed")
	})
	is.Equal(fieldValue(last, "outcome"), "not-run")
	is.True(fieldValue(last, "retry-after") != "")
	detail := fieldValue(last, "detail")
	is.True(strings.Contains(detail, "the stages would take") || strings.Contains(detail, "encoders"))
	eventually(t, "a call is logged that left at least a batch of items queued: the pool is the bottleneck", func() bool {
		waiting := 0
		for _, line := range d.ingresses[0].output.lines("event=batch", "service=encoders") {
			n := 0
			_, _ = fmt.Sscan(fieldValue(line, "waiting"), &n)
			waiting = max(waiting, n)
		}
		return waiting >= 8
	})
}

// The connection to a server breaks after the server has run an order. The log must name the server
// and show that the order had been sent, which is why it was not retried.
func TestLogExplainsBrokenOrder(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, s := range d.plainServers {
		s.SetFaults(hosted.CutAfterRun)
	}
	q := newRequest("/order/1")
	is.Equal(d.ingresses[0].send(context.Background(), q).status, http.StatusBadGateway)
	eventually(t, "both lines are logged", func() bool { return len(d.requestLines(q.id)) == 2 })
	lines := d.requestLines(q.id)
	server := d.Runs(q.id)[0].Server
	is.True(strings.Contains(lines[0], "event=attempt-broken"))
	is.Equal(fieldValue(lines[0], "server"), server)
	is.Equal(fieldValue(lines[0], "not-sent"), "false")
	is.True(fieldValue(lines[0], "error") != "")
	is.Equal(fieldValue(lines[1], "code"), "backend-lost")
	is.Equal(fieldValue(lines[1], "outcome"), "unknown")
	is.Equal(fieldValue(lines[1], "servers"), server)
}

// The store does not answer the only ingress of a failure domain, nor one of another domain, when a
// key is added. A caller with the new key is refused at the first ingress. The logs must show the
// version that this ingress used, that another ingress has applied the new one, and for how long
// the store has not answered the first ingress.
func TestLogExplainsStaleConfiguration(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	for i := range 2 {
		d.Store.SetFault(i, hosted.StoreSilent)
	}
	staleIngress := d.ingresses[1]
	eventually(t, "the store outage is logged", func() bool { return len(staleIngress.output.lines("event=store-lost", "what=watch")) > 0 })
	q := newRequest("/order/1")
	q.key = "key-new"
	got := staleIngress.send(context.Background(), q)
	version := d.PutConfig(routes(), services(), []map[string]any{{"Name": "workshop", "ApiKeys": []string{"key-new"}}})
	eventually(t, "another ingress has applied the version", d.ingresses[2].hasApplied(version))
	is.Equal(got.status, http.StatusUnauthorized)
	eventually(t, "the refusal is logged", func() bool { return len(d.requestLines(q.id)) == 1 })
	line := d.requestLines(q.id)[0]
	is.Equal(fieldValue(line, "code"), "bad-token")
	is.True(fieldValue(line, "config") != fmt.Sprint(version))
	is.Equal(len(d.ingresses[2].output.lines("event=config-applied", fmt.Sprintf("version=%d ", version), "source=store")), 1)
	lost := staleIngress.output.lines("event=store-lost", "what=watch")[0]
	is.True(fieldValue(lost, "age") != "")
	is.True(fieldValue(lost, "error") != "")
}
