package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runParts sends streams that share a part of their prompts, which version 7.1 of a service answers and version 7.2
// crashes on, before and after all replicas of the service were replaced.
func runParts(w *world) (broken string, err error) {
	const (
		replicas = 8
		part     = "bad0c0de"
		period   = 600 * time.Millisecond
	)
	lock := sync.Mutex{}
	arrivals := []time.Time{}
	crash := func(r *http.Request) bool {
		if !w.trouble || !strings.Contains(r.Header.Get("X-Verbenaroad-Prefix-Hash"), part) {
			return false
		}
		lock.Lock()
		defer lock.Unlock()
		arrivals = append(arrivals, time.Now())
		return true
	}
	old := []*replica{}
	for n := range replicas {
		p, err := w.addReplica(&replica{id: fmt.Sprintf("i-old-%d", n), service: "models", zone: fmt.Sprintf("z%d", n%3+1), version: "7.1", events: 5, pause: 100 * time.Millisecond})
		if err != nil {
			return "", err
		}
		old = append(old, p)
	}
	w.putConfig(3, []map[string]any{{
		"Name": "review", "Host": host, "Prefix": "/review/", "Type": "streaming", "Service": "models", "MaxAttempts": 2,
		"TimeoutMs": 8000, "TargetLatencyMs": 2300, "TargetGapMs": 500, "Priority": 1, "Resumable": true, "Sticky": true, "Public": false,
	}}, []map[string]any{{"Name": "models", "HealthPath": "/healthz", "MaxConnections": 630, "Engine": engine()}}, tenants())
	if err := w.startIngresses(2); err != nil {
		return "", err
	}
	sent := 0
	send := func(parts string) answer {
		sent++
		return w.send(w.ingresses[sent%2], request{
			method: "POST", path: fmt.Sprintf("/review/%d", sent), id: fmt.Sprintf("v%d", sent), key: key, body: fmt.Sprint("notes ", sent), deadline: 8 * time.Second,
			header: map[string]string{
				"X-Verbenaroad-Model": "m", "X-Verbenaroad-Token-Usage": "800,80", "X-Verbenaroad-Prefix-Hash": fmt.Sprintf("5c1e07a2:400,%s:300,e4%04x:100", parts, sent),
			},
		})
	}
	for range 6 {
		if a := send(part); a.status != http.StatusOK || a.err != nil {
			return "", fmt.Errorf("a stream with the part is not served by version 7.1: %v", a)
		}
	}
	for n, p := range old {
		if _, err := w.addReplica(&replica{
			id: fmt.Sprintf("i-new-%d", n), service: "models", zone: p.zone, version: "7.2", events: 5, pause: 100 * time.Millisecond, crashes: crash, down: 2 * time.Second,
		}); err != nil {
			return "", err
		}
		time.Sleep(100 * time.Millisecond)
		p.leave()
	}
	time.Sleep(time.Second)
	for n := range 60 {
		send(part)
		send(fmt.Sprintf("0dd%05x", n))
		time.Sleep(period / 2)
	}
	late := 0
	for _, at := range arrivals {
		if len(arrivals) >= 5 && at.Sub(arrivals[4]) > contactTime {
			late++
		}
	}
	w.log("%d crashes; %d requests with the part reached replicas later than 4 s after the fifth crash", len(arrivals), late)
	if late > 3 {
		return fmt.Sprintf("BUDGET: %d requests with a part that crashes replicas reached replicas later than ContactMs after the fifth crash", late), nil
	}
	return "", nil
}
