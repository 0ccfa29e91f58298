package main

import (
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// lateBy is how much later the store does the write whose answer it loses.
	lateBy = 3 * time.Second
	// expiryWait is how long after the start the replica comes to need. The lease of an ingress lasts a
	// minute.
	expiryWait = 76 * time.Second
	// needTime is how long it names its limit, and needLimit is that limit.
	needTime  = 16 * time.Second
	needLimit = 7
	// limitSpan, limitFactor and limitSlack are those of the rule LIMIT.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// clientGap is the time between two requests to the same ingress: 9.5 a second.
	clientGap = 105 * time.Millisecond
)

// playLate loses the store's answer to the first registration of one ingress, which the store does some
// seconds later. More than a minute after that a replica names a Server-Limit. It returns whether the
// replica gets more in some 4 s than LIMIT allows.
func playLate(j *journal, trouble bool) bool {
	s := caroni()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("no temporary folder: %v", err)
	}
	st := newStore()
	all := &runs{journal: j}
	inNeed := &replica{id: "i-registry", service: "registry", zone: s.zones[0], work: 25 * time.Millisecond, runs: all}
	inNeed.start(st)
	st.put("op/config", config(7, "registry"))
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
	// The machine at which the requests to the service's replicas are counted while all know of it. It follows
	// from the names of the machines and of the service; for other services it is another one.
	const chosen = 2
	lost := false
	if trouble {
		st.lateBy = lateBy
		st.isLate = func(keys []string) bool {
			st.lock.Lock()
			defer st.lock.Unlock()
			if lost || len(keys) != 1 || !strings.HasSuffix(keys[0], "/"+ingresses[chosen].name) {
				return false
			}
			lost = true
			j.say("lost      the answer to the write of %s, which is done %v later", keys[0], lateBy)
			return true
		}
		st.onLate = func(status int) { j.say("late      that write is done now: %d", status) }
	}
	for n, i := range ingresses {
		i.start(dir, i.writeSettings(dir, s, n, st.address, seeds))
	}
	for _, i := range ingresses {
		i.awaitReady()
	}
	j.say("ready     three ingresses, one in each zone; logs in %s", dir)
	time.Sleep(expiryWait - j.now())
	if trouble && !lost {
		fail("no registration was lost")
	}

	c := &clients{journal: j}
	ends := make(chan struct{})
	var senders sync.WaitGroup
	for _, i := range ingresses {
		senders.Go(func() {
			ticker := time.NewTicker(clientGap)
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
	time.Sleep(2 * time.Second)
	inNeed.setLimit(needLimit)
	namedAt := j.now()
	j.say("in need   %s names Server-Limit: %d", inNeed.id, needLimit)
	time.Sleep(needTime)
	close(ends)
	senders.Wait()

	allowed := limitFactor*needLimit*limitSpan.Seconds() + limitSlack
	from := namedAt + contact
	arrivals := []time.Duration{}
	for _, r := range all.list {
		if r.replica == inNeed.id && r.at >= from {
			arrivals = append(arrivals, r.at)
		}
	}
	most, at := 0, time.Duration(0)
	for n := range arrivals {
		count := 0
		for _, later := range arrivals[n:] {
			if later < arrivals[n]+limitSpan {
				count++
			}
		}
		if count > most {
			most, at = count, arrivals[n]
		}
	}
	j.say("judged    arrivals at %s from %.3f s on, ContactMs after it first named its limit: %d", inNeed.id, from.Seconds(), len(arrivals))
	if len(arrivals) < 20 {
		fail("only %d requests arrived", len(arrivals))
	}
	if float64(most) > allowed {
		j.say("BROKEN    LIMIT: %d requests in the 4 s from %.3f s; 1.5 x %d x 4 + 5 = %.0f are allowed", most, at.Seconds(), needLimit, allowed)
		return true
	}
	j.say("held      LIMIT: %d requests at most in 4 s; %.0f are allowed", most, allowed)
	return false
}
