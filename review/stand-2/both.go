package main

import (
	"fmt"
	"sync"
	"time"
)

// runBoth has replicas that make pieces of stages and answer plain requests name a limit.
func runBoth(w *world) (broken string, err error) {
	const (
		services = 4
		limit    = 10.0
		period   = 100 * time.Millisecond // between two requests of a kind for a service at an ingress
		window   = 4 * time.Second
	)
	if _, err := w.addReplica(&replica{id: "i-models-1", service: "models", zone: "z1", version: "7.1", events: 3, pause: 20 * time.Millisecond, slots: 128}); err != nil {
		return "", err
	}
	replicas, routes := []*replica{}, []map[string]any{}
	list := []map[string]any{{"Name": "models", "HealthPath": "/healthz", "MaxConnections": 630, "Engine": engine()}}
	for n := range services {
		name := fmt.Sprintf("desk-%d", n)
		p, err := w.addReplica(&replica{id: "i-" + name, service: name, zone: "z3", version: "7.1", work: 20 * time.Millisecond, batch: 10})
		if err != nil {
			return "", err
		}
		replicas = append(replicas, p)
		routes = append(routes, map[string]any{
			"Name": "read-" + name, "Host": host, "Prefix": "/" + name + "/", "Type": "safe", "Service": name, "MaxAttempts": 1,
			"TimeoutMs": 2500, "TargetLatencyMs": 300, "Priority": 2, "Public": false,
		}, map[string]any{
			"Name": "review-" + name, "Host": host, "Prefix": "/review-" + name + "/", "Type": "streaming", "Service": "models", "MaxAttempts": 1,
			"TimeoutMs": 8000, "TargetLatencyMs": 2500, "TargetGapMs": 500, "Priority": 1, "Resumable": false, "Sticky": true, "Public": false,
			"Stages": []map[string]any{{"Service": name, "After": []int{}, "SizeBytes": 8000}},
		})
		s := segments()
		s["CallMs"], s["ItemMs"] = 20.0, 1.0
		list = append(list, map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 630, "Segments": s})
	}
	w.putConfig(3, routes, list, tenants())
	if err := w.startIngresses(2); err != nil {
		return "", err
	}
	named := time.Now()
	if w.trouble {
		for _, p := range replicas {
			p.lock.Lock()
			p.limit = limit
			p.lock.Unlock()
		}
		w.log("all replicas of the desks name Server-Limit: %g from now on", limit)
	}
	w.pressBoth(services, period, contactTime+3*window)
	allowed := int(1.5*limit*window.Seconds()) + 5
	worst, where := 0, ""
	for _, p := range replicas {
		n := busiest(p.listRan(), named.Add(contactTime), window)
		w.log("replica %s: %d requests and calls in its busiest 4 s; allowed with a limit are %d", p.id, n, allowed)
		if !w.trouble && n <= allowed {
			return "", fmt.Errorf("without a limit %s gets %d requests and calls in 4 s, so that its limit would bind nothing", p.id, n)
		}
		if n > worst {
			worst, where = n, p.id
		}
	}
	if w.trouble && worst > allowed {
		return fmt.Sprintf("LIMIT: %s got %d requests and calls in 4 s, of %d that its limit allows", where, worst, allowed), nil
	}
	return "", nil
}

// pressBoth sends plain requests and streams with a stage to all services at all ingresses for some time.
func (w *world) pressBoth(services int, period, length time.Duration) {
	done := sync.WaitGroup{}
	ends := time.Now().Add(length)
	for s := range services {
		for k, i := range w.ingresses {
			done.Add(1)
			go func() {
				defer done.Done()
				for n := 0; time.Now().Before(ends); n++ {
					id := fmt.Sprintf("%d.%d.%d", s, k, n)
					for _, q := range []request{
						{method: "GET", path: fmt.Sprintf("/desk-%d/%d", s, n), id: "p" + id, key: key},
						{method: "POST", path: fmt.Sprintf("/review-desk-%d/%d", s, n), id: "v" + id, key: key, body: "notes", deadline: 8 * time.Second, header: map[string]string{
							"X-Verbenaroad-Model": "m", "X-Verbenaroad-Token-Usage": "50,8", "X-Verbenaroad-Prefix-Hash": fmt.Sprintf("5c1e07a2:40,e%04x:10", n),
							"X-Verbenaroad-Segment-Count": "1", "X-Verbenaroad-Segment-Key": "7c1e07a291bd",
						}},
					} {
						done.Add(1)
						go func() {
							defer done.Done()
							c, err := dial(i.callers)
							if err != nil {
								return
							}
							defer c.close()
							c.send(q, nil)
						}()
					}
					time.Sleep(period)
				}
			}()
		}
	}
	done.Wait()
}
