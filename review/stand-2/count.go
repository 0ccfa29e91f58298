package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// runCount sends orders on kept connections and, while replicas work on them, one stream whose client states the time
// of day in nanoseconds as the number of pieces of its stage.
func runCount(w *world) (broken string, err error) {
	const orders = 10
	for _, p := range []*replica{
		{id: "i-orders-1", service: "orders", zone: "z1", version: "7.1", work: time.Second},
		{id: "i-orders-2", service: "orders", zone: "z2", version: "7.1", work: time.Second},
		{id: "i-models", service: "models", zone: "z1", version: "7.1", events: 5, pause: 50 * time.Millisecond},
		{id: "i-pool", service: "encoders", zone: "z1", version: "7.1", work: 200 * time.Millisecond, batch: 10, slots: 1},
	} {
		if _, err := w.addReplica(p); err != nil {
			return "", err
		}
	}
	w.putConfig(3, []map[string]any{{
		"Name": "order", "Host": host, "Prefix": "/order/", "Type": "unsafe", "Service": "orders", "MaxAttempts": 1,
		"TimeoutMs": 4000, "TargetLatencyMs": 300, "Priority": 2, "Public": false,
	}, {
		"Name": "review", "Host": host, "Prefix": "/review/", "Type": "streaming", "Service": "models", "MaxAttempts": 1, "TimeoutMs": 8000, "TargetLatencyMs": 2500,
		"TargetGapMs": 500, "Priority": 1, "Resumable": false, "Sticky": true, "Public": false,
		"Stages": []map[string]any{{"Service": "encoders", "After": []int{}, "SizeBytes": 8000}},
	}}, []map[string]any{
		{"Name": "orders", "HealthPath": "/healthz", "MaxConnections": 110},
		{"Name": "models", "HealthPath": "/healthz", "MaxConnections": 630, "Engine": engine()},
		{"Name": "encoders", "HealthPath": "/healthz", "MaxConnections": 630, "Segments": segments()},
	}, tenants())
	if err := w.startIngresses(1); err != nil {
		return "", err
	}
	done := sync.WaitGroup{}
	answers := make([]answer, orders)
	for n := range orders {
		c, err := dial(w.ingresses[0].callers)
		if err != nil {
			return "", err
		}
		defer c.close()
		done.Add(1)
		go func() {
			defer done.Done()
			for k := range 2 {
				id := fmt.Sprintf("o%dk%d", n, k)
				answers[n] = c.send(request{method: "POST", path: "/order/1", id: id, key: key, body: "two boards"}, nil)
				w.log("client: order %s on a kept connection: %v", id, answers[n])
			}
		}()
	}
	time.Sleep(1600 * time.Millisecond) // the second order of each connection is at its replica
	pieces := "3"
	if w.trouble {
		pieces = strconv.FormatInt(time.Now().UnixNano(), 10)
	}
	w.log("client: sends a stream with %s pieces", pieces)
	w.send(w.ingresses[0], request{method: "POST", path: "/review/1", id: "v1", key: key, body: "notes", deadline: 8 * time.Second, header: map[string]string{
		"X-Verbenaroad-Model": "m", "X-Verbenaroad-Token-Usage": "500,80", "X-Verbenaroad-Prefix-Hash": "5c1e07a2:400,e4402b7d:100",
		"X-Verbenaroad-Segment-Count": pieces, "X-Verbenaroad-Segment-Key": "7c1e07a291bd",
	}})
	done.Wait()
	lost := 0
	for _, a := range answers {
		if a.err != nil {
			lost++
		}
	}
	w.log("the ingress has ended by itself: %v", w.ingresses[0].hasEnded())
	if lost > 3 {
		return fmt.Sprintf("LOST: %d orders were passed on to sound replicas, and their kept connections closed without an answer", lost), nil
	}
	return "", nil
}
