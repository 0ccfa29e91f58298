package hosted_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

// A plain request and its answer must pass through the ingress unchanged, except for the headers
// that the system owns and for hop-by-hop headers.
// Guards against a path that begins with two slashes and reaches the server as a host and the rest of the path, and
// against one that is sent with another encoding.
func TestPathWithTwoSlashesPassesUnchanged(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.addRoute(hosted.Route{
		"Name": "all", "Host": host, "Prefix": "/", "Type": "safe", "Service": "orders",
		"TimeoutMs": 3000, "TargetLatencyMs": 300, "MaxAttempts": 2, "Priority": 2,
	})
	for target, isSent := range map[string]bool{
		"//ledger/17": true, "//ledger/17?x=//1&y=%20": true, "///": true, "//a%2Fb//c?": true, "//": true, "/a//b": true, "//a|b": false, "/a|b": true,
	} {
		q := newRequest("/")
		status := d.ingresses[0].sendTarget(t, q, target)
		runs := d.Runs(q.id)
		if !isSent {
			is.Equal(status, http.StatusServiceUnavailable)
			is.Equal(len(runs), 0)
			continue
		}
		is.Equal(status, http.StatusOK)
		is.Equal(runs[0].Target, target)
	}
}

// sendTarget sends a request with the path and query exactly as given, and returns the status of the answer.
func (i *ingress) sendTarget(t *testing.T, q request, target string) int {
	t.Helper()
	conn, err := net.Dial("tcp", i.callerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Verbenaroad-Attempt-Id: %s\r\nX-Verbenaroad-Key: %s\r\nContent-Length: 1\r\n\r\nx", target, host, q.id, q.key)
	got, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = got.Body.Close()
	return got.StatusCode
}

func TestPlainRequestPassesUnchanged(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	q := newRequest("/order/a%2Fb//c?x=1&y=%20")
	q.header = map[string]string{
		"X-Own": "1", "Connection": "X-Hop", "X-Hop": "1",
		// Only the system may set the following headers. The ingress replaces or drops those of a
		// caller.
		"X-Verbenaroad-Tenant": "press", "X-Verbenaroad-Expect-Replica": "i-other", "Kv-From": "10.255.0.1:1/x",
		"X-Verbenaroad-Pin-Ms": "1000", "X-Verbenaroad-Retention": "r", "X-Verbenaroad-Kv-Backup": "10.255.0.1:1",
	}
	got := d.ingresses[0].send(context.Background(), q)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	runs := d.Runs(q.id)
	is.Equal(len(runs), 1)
	is.Equal(got.body, "answer of "+runs[0].Server+" to "+q.id)
	is.True(got.header.Get("X-Verbenaroad-Replica-Signature") != "")
	r := runs[0]
	is.Equal(r.Target, q.target)
	is.Equal(r.Host, host)
	is.Equal(r.Body, q.body)
	is.Equal(r.Header.Get("X-Own"), "1")
	is.Equal(r.Header.Get("X-Verbenaroad-Tenant"), "workshop")
	is.Equal(r.Header.Get("X-Verbenaroad-Expect-Replica"), r.Server)
	for _, name := range []string{
		"X-Hop", "X-Verbenaroad-Key", "Kv-From", "X-Verbenaroad-Pin-Ms", "X-Verbenaroad-Retention",
		"X-Verbenaroad-Kv-Backup", "User-Agent-Own",
	} {
		is.Equal(r.Header.Get(name), "")
	}
}

// The ingress must refuse these requests with the right status, and send them to no server.
func TestRefusals(t *testing.T) {
	d := newDeployment(t, 1)
	for _, c := range []struct {
		name   string
		change func(*request)
		status int
	}{
		{"unknown route", func(q *request) { q.target = "/none/1" }, http.StatusNotFound},
		{"prefix without its slash", func(q *request) { q.target = "/order" }, http.StatusNotFound},
		{"unknown key", func(q *request) { q.key = "key-9" }, http.StatusUnauthorized},
		{"no key", func(q *request) { q.key = "" }, http.StatusUnauthorized},
		{"long body", func(q *request) { q.body = strings.Repeat("x", 65537) }, http.StatusRequestEntityTooLarge},
		{"long header", func(q *request) { q.header = map[string]string{"X-Own": strings.Repeat("x", 100<<10)} }, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := newRequest("/order/1")
			c.change(&q)
			got := d.ingresses[0].send(context.Background(), q)
			is.Equal(got.status, c.status)
			is.Equal(len(d.Runs(q.id)), 0)
		})
	}
}

// A stream has two stages before its engine. The engine must get the results of the last stage
// only, the caller must get every event, and every result must be released in the end.
func TestStagedStream(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for range 4 {
		for _, i := range d.ingresses {
			q := newReview()
			got := i.send(context.Background(), q)
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusOK)
			is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
			runs := d.Runs(q.id)
			is.Equal(len(runs), 1)
			handles := strings.Split(runs[0].Header.Get("X-Verbenaroad-Input-Count"), ",")
			is.Equal(len(handles), 3)
			for _, handle := range handles {
				is.True(strings.Contains(handle, q.id+"-1-"))
			}
		}
	}
	eventually(t, "all results are released", func() bool { return d.HeldResults() == 0 })
	is.Equal(d.Violations(), []string{})
}

func TestStreamWithoutStages(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	got := d.ingresses[0].send(context.Background(), newRequest("/advice/1"))
	is.NoErr(got.err)
	is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
}

// A caller cancels in the middle of a stream: the engine's work must end within half a second.
// Another caller cancels while its stages run: all results must be released and no engine may run
// the request.
func TestCallerCancels(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, e := range d.engines {
		e.Events, e.EventInterval = 200, 50*time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	q := newReview()
	_ = d.ingresses[0].send(ctx, q)
	canceledAt := time.Now()
	eventually(t, "no engine works on the request any more", func() bool { return d.engines[0].Running()+d.engines[1].Running() == 0 })
	is.Equal(len(d.Runs(q.id)), 1)
	is.True(time.Since(canceledAt) < 500*time.Millisecond)

	for _, p := range d.poolServers {
		p.WorkTime = 300 * time.Millisecond
	}
	early, cancelEarly := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancelEarly()
	q = newReview()
	_ = d.ingresses[1].send(early, q)
	eventually(t, "all results are released", func() bool { return d.HeldResults() == 0 })
	is.Equal(len(d.Runs(q.id)), 0)
}

// The deadline of a request passes while its stages are still running, and the caller is still
// waiting. The answer must state that the request was not run, and not that the caller canceled.
func TestDeadlinePassesDuringAStage(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, p := range d.poolServers {
		p.WorkTime = 3 * time.Second
	}
	for _, i := range d.ingresses {
		q := newReview()
		q.callerTimeout = 1200 * time.Millisecond
		got := i.send(context.Background(), q)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.took < 2*time.Second)
		is.Equal(len(d.Runs(q.id)), 0)
	}
}

// A server does not answer within the route's timeout of 1.5 s. The caller must get its final
// answer then, and not only at the end of its own timeout of 8 s.
func TestRouteTimeout(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, s := range d.plainServers {
		s.SetFaults(hosted.Hang, hosted.Hang)
	}
	q := newRequest("/order/1")
	got := d.ingresses[0].send(context.Background(), q)
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.True(got.took > 1400*time.Millisecond)
	is.True(got.took < 1900*time.Millisecond)
	is.Equal(len(d.Runs(q.id)), 1)
}
