package main

import (
	"os"
	"sync"
	"time"
)

const (
	// The bounds of the site.
	contact     = 4 * time.Second
	configApply = 2500 * time.Millisecond
	// slack is added to both bounds before a request is judged.
	slack = 100 * time.Millisecond
	// The storm: a change of the configuration each stormGap for stormTime. The connections go silent at
	// silentAfter, in its midst.
	stormGap    = 330 * time.Millisecond
	stormTime   = 4 * time.Second
	silentAfter = 3 * time.Second
	// sendGap is the time between two requests to the same ingress.
	sendGap = 50 * time.Millisecond
	// watchTime is how long after the silence requests are sent.
	watchTime = 8 * time.Second

	host = "pule25.example"
	key  = "9dnn2ctnfzs989anu6ws"
)

// config returns a version of the configuration in which the route leads to a service.
func config(version int, service string) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "issue", "Host": host, "Prefix": "/issue/", "Type": "unsafe", "Service": service,
			"TimeoutMs": 2500 + version, "TargetLatencyMs": 300, "MaxAttempts": 1, "Priority": 2,
		}},
		"Services": []map[string]any{{"Name": "registry-old"}, {"Name": "registry-new"}},
		"Tenants":  []map[string]any{{"Name": "bozi300", "ApiKeys": []string{key}}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// playSilent makes the open connections of all machines to the store go silent for good, in the midst of a
// series of configurations, while new connections work. The last configuration of the series moves the
// route to another service. It returns whether a request is run by the old service although it was sent
// later than ConfigApplyMs after the ack of that configuration, and later than ContactMs after the silence.
func playSilent(j *journal, trouble bool) bool {
	s := caroni()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("no temporary folder: %v", err)
	}
	st := newStore()
	all := &runs{journal: j}
	for _, zone := range s.zones {
		for _, service := range []string{"registry-old", "registry-new"} {
			p := &replica{id: "i-" + service + "-" + zone, service: service, zone: zone, work: 60 * time.Millisecond, runs: all}
			p.start(st)
		}
	}
	version := 7
	st.put("op/config", config(version, "registry-old"))
	ingresses, relays, seeds := []*ingress{}, []*relay{}, []string{}
	for n := range s.zones {
		ingresses = append(ingresses, newIngress(s, n))
		seeds = append(seeds, ingresses[n].control)
		relays = append(relays, newRelay(st.address))
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
		i.start(dir, i.writeSettings(dir, s, n, relays[n].address, seeds))
	}
	for _, i := range ingresses {
		i.awaitReady()
	}
	j.say("ready     three ingresses, one in each zone; logs in %s", dir)
	time.Sleep(6 * time.Second) // ContactMs and more, without any disturbance

	c := &clients{journal: j}
	ends := make(chan struct{})
	var senders sync.WaitGroup
	for _, i := range ingresses {
		senders.Go(func() {
			ticker := time.NewTicker(sendGap)
			defer ticker.Stop()
			for {
				select {
				case <-ends:
					return
				case <-ticker.C:
					senders.Go(func() { c.send(i, "POST", host, "/issue/1", "one credit", key, 3*time.Second) })
				}
			}
		})
	}
	time.Sleep(time.Second)

	silentAt, ackedAt := time.Duration(0), time.Duration(0)
	stormAt := time.Now()
	for time.Since(stormAt) < stormTime {
		if silentAt == 0 && time.Since(stormAt) >= silentAfter {
			silentAt = j.now()
			for n, r := range relays {
				if trouble {
					j.say("silent    %d connections of %s to the store", r.silence(), ingresses[n].name)
				}
			}
		}
		time.Sleep(stormGap)
		version += 3
		service := "registry-old"
		if time.Since(stormAt) >= stormTime {
			service = "registry-new"
		}
		st.put("op/config", config(version, service))
		ackedAt = j.now()
		j.say("acked     configuration %d: /issue/ is served by %s", version, service)
	}
	time.Sleep(silentAt + watchTime - j.now())
	close(ends)
	senders.Wait()

	from := max(ackedAt+configApply, silentAt+contact) + slack
	j.say("judged    requests sent after %.3f s: ConfigApplyMs after the ack (%.3f s) and ContactMs after the silence (%.3f s), and %v more",
		from.Seconds(), ackedAt.Seconds(), silentAt.Seconds(), slack)
	judged, served, broken, last := 0, 0, 0, time.Duration(0)
	for _, one := range c.list {
		if one.at < from {
			continue
		}
		judged++
		for _, r := range all.find(one.attempt) {
			served++
			if r.service == "registry-old" {
				broken++
				last = max(last, one.at)
				j.add("CONFIG    %s, sent to %s at %.3f s, is run by the old service %s", one.attempt, one.ingress, one.at.Seconds(), r.service)
			}
		}
	}
	if judged < 30 || served < judged/2 {
		fail("only %d of %d judged requests were run", served, judged)
	}
	if broken > 0 {
		j.say("BROKEN    CONFIG: %d of %d requests are run by the old service, the last one sent %.3f s after the ack and %.3f s after the silence",
			broken, judged, (last - ackedAt).Seconds(), (last - silentAt).Seconds())
		return true
	}
	j.say("held      CONFIG: %d requests, all run by the new service", judged)
	return false
}
