package main

import (
	"os"
	"time"
)

// playSlashes sends requests on a route whose prefix is a single slash, with paths that begin with two
// slashes, or without the trouble with one. It returns whether a replica runs a request with another path
// than the client's.
func playSlashes(j *journal, trouble bool) bool {
	s := caroni()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("no temporary folder: %v", err)
	}
	st := newStore()
	all := &runs{journal: j}
	for _, zone := range s.zones {
		p := &replica{id: "i-registry-" + zone, service: "registry", zone: zone, work: 20 * time.Millisecond, runs: all}
		p.start(st)
	}
	version := config(7, "registry")
	version["Routes"].([]map[string]any)[0]["Prefix"] = "/" //nolint:forcetypeassert // as config writes it
	st.put("op/config", version)
	ingresses, seeds := []*ingress{}, []string{}
	for n := range s.zones {
		ingresses = append(ingresses, newIngress(s, n))
		seeds = append(seeds, ingresses[n].control)
	}
	stopAll = func() {
		for _, i := range ingresses {
			i.stop()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}
	for n, i := range ingresses {
		i.start(dir, i.writeSettings(dir, s, n, st.address, seeds))
	}
	for _, i := range ingresses {
		i.awaitReady()
	}
	j.say("ready     three ingresses, one in each zone; logs in %s", dir)
	time.Sleep(2 * time.Second)
	c := &clients{journal: j}
	path := "/ledger/17"
	if trouble {
		path = "//ledger/17"
	}
	judged, broken := 0, 0
	for range 4 {
		for _, i := range ingresses {
			one := c.send(i, "POST", host, path, "one credit", key, 3*time.Second)
			for _, r := range all.find(one.attempt) {
				judged++
				if r.target != path {
					broken++
					j.say("UNASKED   %s was sent with the path %s and is run with %s", one.attempt, path, r.target)
				}
			}
		}
	}
	if judged < 12 {
		fail("only %d of 12 requests were run", judged)
	}
	if broken > 0 {
		j.say("BROKEN    UNASKED: %d of %d requests are run with another path than the client's", broken, judged)
		return true
	}
	j.say("held      UNASKED: %d requests, all run with the client's path", judged)
	return false
}
