package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// runAlien has another writer put an entry with missing fields in place of that of a replica. Until the replica
// writes its entry again, the entry names no replica to use.
func runAlien(w *world) (broken string, err error) {
	replicas := []*replica{}
	for n, service := range []string{"orders", "orders", "catalogue", "catalogue"} {
		p, err := w.addReplica(&replica{
			id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: fmt.Sprintf("z%d", n%2+1), version: "7.1", work: 60 * time.Millisecond,
		})
		if err != nil {
			return "", err
		}
		replicas = append(replicas, p)
	}
	routes := []map[string]any{}
	for _, service := range []string{"orders", "catalogue"} {
		routes = append(routes, map[string]any{
			"Name": service, "Host": host, "Prefix": "/" + service + "/", "Type": "unsafe", "Service": service, "MaxAttempts": 1,
			"TimeoutMs": 2500, "TargetLatencyMs": 300, "Priority": 2, "Public": false,
		})
	}
	w.putConfig(3, routes, []map[string]any{
		{"Name": "orders", "HealthPath": "/healthz", "MaxConnections": 110}, {"Name": "catalogue", "HealthPath": "/healthz", "MaxConnections": 110},
	}, tenants())
	if err := w.startIngresses(2); err != nil {
		return "", err
	}
	done := sync.WaitGroup{}
	for n := range 100 {
		if n%20 == 10 && w.trouble {
			p := replicas[0]
			w.store.put("servers/"+p.id, map[string]any{"Service": "catalogue", "Address": p.server.address, "Zone": p.zone, "State": "ready"})
			w.log("another writer puts an entry of service catalogue, without Version, Slots, ColdRemainingMs and Sequence, at servers/%s", p.id)
		}
		done.Add(1)
		go func() {
			defer done.Done()
			w.send(w.ingresses[n%2], request{method: "POST", path: fmt.Sprintf("/catalogue/%d", n), id: fmt.Sprintf("c%d", n), key: key, body: "two"})
		}()
		time.Sleep(60 * time.Millisecond)
	}
	done.Wait()
	foreign := 0
	for _, p := range replicas {
		for _, a := range p.listRan() {
			if !strings.HasPrefix(a.path, "/"+p.service+"/") {
				foreign++
			}
		}
	}
	if foreign > 0 {
		return fmt.Sprintf("ROUTE: %d requests of route catalogue were run by a replica of service orders", foreign), nil
	}
	return "", nil
}
