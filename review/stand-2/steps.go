package main

import (
	"fmt"
	"time"
)

// runSteps writes a configuration that takes a key away and moves a route to another service. Beside that it adds a
// route with two stages, of which the one with the lower number needs the results of the other one.
func runSteps(w *world) (broken string, err error) {
	const dropped = "jnbanfqasnmgkcuyj8pj"
	for _, p := range []*replica{
		{id: "i-old", service: "orders-old", zone: "z1", version: "7.1", work: 60 * time.Millisecond},
		{id: "i-new", service: "orders-new", zone: "z2", version: "7.1", work: 60 * time.Millisecond},
		{id: "i-models", service: "models", zone: "z1", version: "7.1", events: 5, pause: 50 * time.Millisecond},
		{id: "i-pool", service: "encoders", zone: "z1", version: "7.1", work: 200 * time.Millisecond, batch: 10, slots: 1},
	} {
		if _, err := w.addReplica(p); err != nil {
			return "", err
		}
	}
	order := func(service string) map[string]any {
		return map[string]any{
			"Name": "order", "Host": host, "Prefix": "/order/", "Type": "unsafe", "Service": service, "MaxAttempts": 1,
			"TimeoutMs": 2500, "TargetLatencyMs": 300, "Priority": 2, "Public": false,
		}
	}
	services := []map[string]any{
		{"Name": "orders-old", "HealthPath": "/healthz", "MaxConnections": 110},
		{"Name": "orders-new", "HealthPath": "/healthz", "MaxConnections": 110},
		{"Name": "models", "HealthPath": "/healthz", "MaxConnections": 630, "Engine": engine()},
		{"Name": "encoders", "HealthPath": "/healthz", "MaxConnections": 630, "Segments": segments()},
	}
	w.putConfig(3, []map[string]any{order("orders-old")}, services, []map[string]any{{"Name": "bozi300", "ApiKeys": []string{key, dropped}, "Priority": 1}})
	if err := w.startIngresses(2); err != nil {
		return "", err
	}
	for n, k := range []string{key, dropped} {
		if a := w.send(w.ingresses[n], request{method: "POST", path: "/order/1", id: fmt.Sprintf("a%d", n), key: k, body: "two"}); a.status != 200 {
			return "", fmt.Errorf("not served before the change: %v", a)
		}
	}
	stages := []map[string]any{{"Service": "encoders", "After": []int{}, "SizeBytes": 8000}, {"Service": "encoders", "After": []int{0}, "SizeBytes": 6000}}
	if w.trouble {
		stages = []map[string]any{{"Service": "encoders", "After": []int{1}, "SizeBytes": 6000}, {"Service": "encoders", "After": []int{}, "SizeBytes": 8000}}
	}
	w.putConfig(8, []map[string]any{order("orders-new"), {
		"Name": "review", "Host": host, "Prefix": "/review/", "Type": "streaming", "Service": "models", "MaxAttempts": 1, "TimeoutMs": 8000,
		"TargetLatencyMs": 2500, "TargetGapMs": 500, "Priority": 1, "Resumable": false, "Sticky": true, "Public": false, "Stages": stages,
	}}, services, tenants())
	time.Sleep(configApplyTime + 2*time.Second)
	old := 0
	for n := range 40 {
		k := key
		if n%2 == 1 {
			k = dropped
		}
		a := w.send(w.ingresses[n/2%2], request{method: "POST", path: "/order/2", id: fmt.Sprintf("b%d", n), key: k, body: "two"})
		if k == dropped && a.status != 401 || k == key && a.body != fmt.Sprintf("i-new answers b%d", n) {
			old++
		}
		time.Sleep(50 * time.Millisecond)
	}
	if old > 0 {
		return fmt.Sprintf("CONFIG: %d of 40 requests, sent 4.5 s after the ack and later, were handled as only the older version allows", old), nil
	}
	return "", nil
}

func segments() map[string]any {
	return map[string]any{"Slots": 1, "Queue": 2, "Batch": 10, "CallMs": 200.0, "ItemMs": 17.0, "HeadroomMb": 22.0, "HandleTtlS": 4.0, "LinkMbps": 10000}
}
