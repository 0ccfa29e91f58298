package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runAgain sends one request, which version 7.1 of a service serves and version 7.2 crashes on, before and after all
// replicas of the service were replaced.
func runAgain(w *world) (broken string, err error) {
	const (
		path     = "/read/entry-42"
		replicas = 6
		period   = 1500 * time.Millisecond
	)
	lock := sync.Mutex{}
	crashes, arrivals := []time.Time{}, []time.Time{}
	crash := func(r *http.Request) bool {
		if r.URL.Path != path || !w.trouble {
			return false
		}
		lock.Lock()
		defer lock.Unlock()
		arrivals = append(arrivals, time.Now())
		crashes = append(crashes, time.Now())
		return true
	}
	old := []*replica{}
	for n := range replicas {
		p, err := w.addReplica(&replica{id: fmt.Sprintf("i-old-%d", n), service: "orders", zone: fmt.Sprintf("z%d", n%3+1), version: "7.1", work: 60 * time.Millisecond})
		if err != nil {
			return "", err
		}
		old = append(old, p)
	}
	w.putConfig(3, []map[string]any{{
		"Name": "read", "Host": host, "Prefix": "/read/", "Type": "safe", "Service": "orders", "MaxAttempts": 2,
		"TimeoutMs": 2500, "TargetLatencyMs": 300, "Priority": 2, "Public": false,
	}}, []map[string]any{{"Name": "orders", "HealthPath": "/healthz", "MaxConnections": 110}}, tenants())
	if err := w.startIngresses(2); err != nil {
		return "", err
	}
	attempt := 0
	send := func(path string) answer {
		attempt++
		return w.send(w.ingresses[attempt%2], request{method: "GET", path: path, id: fmt.Sprintf("r%d", attempt), key: key})
	}
	for range 4 {
		if a := send(path); a.status != http.StatusOK {
			return "", fmt.Errorf("the request is not served by version 7.1: %v", a)
		}
	}
	for n, p := range old {
		if _, err := w.addReplica(&replica{
			id: fmt.Sprintf("i-new-%d", n), service: "orders", zone: p.zone, version: "7.2", work: 60 * time.Millisecond, crashes: crash, down: 2 * time.Second,
		}); err != nil {
			return "", err
		}
		time.Sleep(300 * time.Millisecond)
		p.leave()
	}
	time.Sleep(3 * time.Second)
	for n := range 30 {
		send(path)
		time.Sleep(period / 2)
		send(fmt.Sprintf("/read/other-%d", n))
		time.Sleep(period / 2)
	}
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > contactTime {
			late++
		}
	}
	w.log("the request crashed %d replicas; it reached replicas %d times later than 4 s after the third crash", len(crashes), late)
	if late > 3 {
		return fmt.Sprintf("BUDGET: a request that crashes the replicas that run it reached replicas %d times later than ContactMs after the third crash", late), nil
	}
	return "", nil
}
