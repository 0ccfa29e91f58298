package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runTwin stops one of two ingresses as planned and starts it again. The store does not answer the write by which the
// ingress ends its registration, and does it some seconds later. After that the replicas name a limit.
func runTwin(w *world) (broken string, err error) {
	const (
		services = 4
		limit    = 10.0
		period   = 50 * time.Millisecond // between two requests for a service at an ingress
		window   = 4 * time.Second
	)
	replicas, routes, list := []*replica{}, []map[string]any{}, []map[string]any{}
	for n := range services {
		name := fmt.Sprintf("orders-%d", n)
		p, err := w.addReplica(&replica{id: "i-" + name, service: name, zone: "z3", version: "7.1", work: 10 * time.Millisecond})
		if err != nil {
			return "", err
		}
		replicas = append(replicas, p)
		routes = append(routes, map[string]any{
			"Name": name, "Host": host, "Prefix": "/" + name + "/", "Type": "safe", "Service": name, "MaxAttempts": 1,
			"TimeoutMs": 2500, "TargetLatencyMs": 300, "Priority": 2, "Public": false,
		})
		list = append(list, map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConnections": 110})
	}
	w.putConfig(3, routes, list, tenants())
	if err := w.startIngresses(2); err != nil {
		return "", err
	}
	if err := w.restartPlanned(w.ingresses[0], 3*time.Second); err != nil {
		return "", err
	}
	time.Sleep(17 * time.Second)
	w.log("registrations: %s", strings.Join(w.store.keys("verbenaroad/ingress/"), ", "))
	named := time.Now()
	for _, p := range replicas {
		p.lock.Lock()
		p.limit = limit
		p.lock.Unlock()
	}
	w.log("all replicas name Server-Limit: %g from now on", limit)
	w.press(routes, period, contactTime+3*window)
	allowed := int(1.5*limit*window.Seconds()) + 5
	worst, where := 0, ""
	for _, p := range replicas {
		n := busiest(p.listRan(), named.Add(contactTime), window)
		w.log("replica %s: %d requests in its busiest 4 s; allowed are %d", p.id, n, allowed)
		if n > worst {
			worst, where = n, p.id
		}
	}
	if worst > allowed {
		return fmt.Sprintf("LIMIT: %s got %d requests in 4 s, of %d that its limit allows", where, worst, allowed), nil
	}
	return "", nil
}

// restartPlanned stops an ingress with SIGTERM and starts it again once it has ended. The writes that the store gets
// while the ingress stops are late, unless the case runs without its disruption.
func (w *world) restartPlanned(i *ingress, late time.Duration) error {
	i.lock.Lock()
	i.expected = true
	command, exited := i.command, i.exited
	i.lock.Unlock()
	w.log("ingress %s: SIGTERM", i.name)
	if w.trouble {
		w.store.setLate(late)
	}
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-exited
	w.store.setLate(0)
	time.Sleep(300 * time.Millisecond)
	if err := i.start(); err != nil {
		return err
	}
	return i.waitReady()
}

// press sends requests on all routes to all ingresses for some time.
func (w *world) press(routes []map[string]any, period, length time.Duration) {
	done := sync.WaitGroup{}
	ends := time.Now().Add(length)
	for r, route := range routes {
		for k, i := range w.ingresses {
			done.Add(1)
			go func() {
				defer done.Done()
				for n := 0; time.Now().Before(ends); n++ {
					done.Add(1)
					go func() {
						defer done.Done()
						c, err := dial(i.callers)
						if err != nil {
							return
						}
						defer c.close()
						c.send(request{method: "GET", path: fmt.Sprint(route["Prefix"], n), id: fmt.Sprintf("p%d.%d.%d", r, k, n), key: key}, nil)
					}()
					time.Sleep(period)
				}
			}()
		}
	}
	done.Wait()
}

// busiest returns the largest number of requests that arrived within a window that begins at a time or later.
func busiest(list []arrival, from time.Time, window time.Duration) int {
	most := 0
	for n, first := range list {
		if first.at.Before(from) {
			continue
		}
		count := 0
		for _, a := range list[n:] {
			if a.at.Sub(first.at) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
