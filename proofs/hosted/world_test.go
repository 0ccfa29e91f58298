package hosted_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenaroad.example/fakes/services/hosted"
)

// deployment is a world (a store and backend servers) with ingress processes in front of it.
type deployment struct {
	*hosted.World
	t         *testing.T
	ingresses []*ingress
	// plainServers run the service orders, engines the service models, and poolServers the service
	// encoders. newDeployment adds one of each in zone a1 and one in zone b1, in this order.
	plainServers []*hosted.Server
	engines      []*hosted.Server
	poolServers  []*hosted.Server
	// addedRoutes and addedServices are configured beside those of every deployment.
	addedRoutes   []hosted.Route
	addedServices []map[string]any
}

const host = "kits.example"

// maxShownLines limits the log lines of each ingress that a failed test shows.
const maxShownLines = 30

func routes() []hosted.Route {
	return []hosted.Route{
		{
			"Name": "order", "Host": host, "Prefix": "/order/", "Type": "unsafe", "Service": "orders",
			"TimeoutMs": 1500, "TargetLatencyMs": 300, "MaxAttempts": 1, "Priority": 2,
		},
		{
			"Name": "read", "Host": host, "Prefix": "/read/", "Type": "safe", "Service": "orders",
			"TimeoutMs": 3000, "TargetLatencyMs": 300, "MaxAttempts": 2, "Priority": 2,
		},
		{
			"Name": "review", "Host": host, "Prefix": "/review/", "Type": "streaming", "Service": "models",
			"TimeoutMs": 8000, "TargetLatencyMs": 2000, "TargetGapMs": 500, "MaxAttempts": 2, "Resumable": true, "Sticky": true,
			"Stages": []map[string]any{
				{"Service": "encoders", "After": []int{}, "SizeBytes": 1000},
				{"Service": "encoders", "After": []int{0}, "SizeBytes": 1000},
			},
		},
		{
			"Name": "advice", "Host": host, "Prefix": "/advice/", "Type": "streaming", "Service": "models",
			"TimeoutMs": 8000, "TargetLatencyMs": 2000, "TargetGapMs": 500, "MaxAttempts": 1, "Sticky": true,
		},
	}
}

func services() []map[string]any {
	return []map[string]any{
		{"Name": "orders", "HealthPath": "/healthz", "MaxConnections": 100},
		{"Name": "models", "HealthPath": "/healthz", "MaxConnections": 100, "Engine": map[string]any{
			"Slots": 32, "KvCapacityTokens": 100000,
		}},
		{"Name": "encoders", "HealthPath": "/healthz", "MaxConnections": 100, "Segments": map[string]any{
			"Slots": 1, "Queue": 2, "Batch": 8, "CallMs": 20, "ItemMs": 1, "HeadroomMb": 1, "HandleTtlS": 4, "LinkMbps": 10000,
		}},
	}
}

func tenants() []map[string]any {
	return []map[string]any{{"Name": "workshop", "ApiKeys": []string{"key-1", "key-2"}}}
}

// putConfig writes a configuration with these tenants and returns its version.
func (d *deployment) putConfig(tenants []map[string]any) int {
	return d.PutConfig(append(routes(), d.addedRoutes...), append(services(), d.addedServices...), tenants)
}

// addRoute adds a route to the configuration, and waits until it is in force.
func (d *deployment) addRoute(r hosted.Route, services ...map[string]any) {
	d.t.Helper()
	d.addedRoutes = append(d.addedRoutes, r)
	d.addedServices = append(d.addedServices, services...)
	version := d.putConfig(tenants())
	for _, i := range d.ingresses {
		eventually(d.t, i.name+" has applied the version", i.hasApplied(version))
	}
}

// addTextRoute adds a route for plain requests to the pool servers.
func (d *deployment) addTextRoute() {
	d.t.Helper()
	d.addRoute(hosted.Route{
		"Name": "text", "Host": host, "Prefix": "/text/", "Type": "safe", "Service": "encoders",
		"TimeoutMs": 3000, "TargetLatencyMs": 300, "MaxAttempts": 2, "Priority": 2,
	})
}

// newDeployment starts n ingresses and two backend servers of each service. Each ingress has its
// own address of the store, so that a test can make the store fail for this ingress alone.
func newDeployment(t *testing.T, n int) *deployment {
	t.Helper()
	return newDeploymentWithStop(t, n, defaultStop())
}

// newDeploymentWithStop is newDeployment with other times of a stop.
func newDeploymentWithStop(t *testing.T, n int, times stopTimes) *deployment {
	t.Helper()
	w, err := hosted.NewWorld(n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	d := &deployment{World: w, t: t}
	w.PutConfig(routes(), services(), tenants())
	for i := range 2 {
		zone := []string{"a1", "b1"}[i]
		d.plainServers = append(d.plainServers, d.add(&hosted.Server{Service: "orders", Zone: zone, WorkTime: 20 * time.Millisecond}))
		d.engines = append(d.engines, d.add(&hosted.Server{Service: "models", Zone: zone, Events: 6, EventInterval: 30 * time.Millisecond}))
		d.poolServers = append(d.poolServers, d.add(&hosted.Server{
			Service: "encoders", Zone: zone, WorkTime: 20 * time.Millisecond, MaxBatch: 8, MaxResults: 50,
		}))
	}
	for i := range n {
		d.ingresses = append(d.ingresses, newIngressWithStop(t, w, fmt.Sprintf("ingress-%d", i), []string{"a1", "b1"}[i%2], i, times))
	}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for _, i := range d.ingresses {
			lines := i.output.lines()
			t.Logf("%s, last lines:\n%s", i.name, strings.Join(lines[max(0, len(lines)-maxShownLines):], "\n"))
		}
	})
	for _, i := range d.ingresses {
		eventually(t, i.name+" has seen all ingresses", func() bool { return len(i.output.lines("event=ingress-seen")) >= n })
	}
	for _, i := range d.ingresses {
		eventually(t, i.name+" is ready", i.isReady)
		eventually(t, i.name+" has seen all backend servers", func() bool { return len(i.output.lines("event=server-seen")) >= 6 })
		eventually(t, i.name+" has seen the inventory", func() bool { return i.isEarlierVersion() || i.usesVersion("models", firstVersion) })
	}
	return d
}

func (d *deployment) add(s *hosted.Server) *hosted.Server {
	d.t.Helper()
	added, err := d.Add(s)
	if err != nil {
		d.t.Fatal(err)
	}
	return added
}

var lastAttemptID atomic.Uint64 //nolint:gochecknoglobals // attempt IDs are unique across all tests

// request is one attempt of a caller. Its id is the attempt ID, and its key the caller's API key.
type request struct {
	id     string
	method string
	target string
	key    string
	body   string
	header map[string]string
	// callerTimeout is the time that the caller states in X-Verbenaroad-Deadline-Ms.
	callerTimeout time.Duration
}

func newRequest(target string) request {
	return request{
		id:            fmt.Sprintf("%016x", lastAttemptID.Add(1)),
		method:        http.MethodPost,
		target:        target,
		key:           "key-1",
		body:          "two boards of spruce",
		callerTimeout: 8 * time.Second,
	}
}

// answer is what the caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if the answer is missing or incomplete.
	err  error
	took time.Duration
}

func (i *ingress) send(ctx context.Context, q request) answer {
	startedAt := time.Now()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+i.callerAddress.String()+q.target, bytes.NewReader([]byte(q.body)))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("X-Verbenaroad-Attempt-Id", q.id)
	r.Header.Set("X-Verbenaroad-Deadline-Ms", fmt.Sprint(q.callerTimeout.Milliseconds()))
	if q.key != "" {
		r.Header.Set("X-Verbenaroad-Key", q.key)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := client.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(startedAt)}
	}
	defer func() { _ = got.Body.Close() }()
	body, err := io.ReadAll(got.Body)
	return answer{status: got.StatusCode, header: got.Header, body: string(body), err: err, took: time.Since(startedAt)}
}

// newReview returns a request of the route review, which is a stream with two stages.
func newReview() request {
	q := newRequest("/review/1?lang=sl")
	q.header = map[string]string{
		"X-Verbenaroad-Model": "m", "X-Verbenaroad-Token-Usage": "1000,50",
		"X-Verbenaroad-Prefix-Hash":   "5c1e07a2:400,91bd3f06:200",
		"X-Verbenaroad-Segment-Count": "2,3", "X-Verbenaroad-Segment-Key": "7c1e07a291bd",
	}
	return q
}

// eventIDs returns the IDs of the events in a stream, separated by commas.
func eventIDs(body string) string {
	ids := []string{}
	for _, line := range strings.Split(body, "\n") {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, id)
		}
	}
	return strings.Join(ids, ",")
}
