package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// poisonBody is the body of the request that crashes each replica that begins to run it. Such a replica is
	// back after poisonDown.
	poisonBody = "a request that crashes"
	poisonDown = 3 * time.Second
	// poisonGap is the time between two rounds of it, poisonTime how long it comes.
	poisonGap  = 5 * time.Second
	poisonTime = 28 * time.Second
	// poisonLimit is how many retries may reach replicas later than ContactMs after the third crash.
	poisonLimit = 3
)

// crashes records when the request reached replicas, and when these crashed.
type crashes struct {
	lock     sync.Mutex
	journal  *journal
	arrivals []time.Duration
	ends     []time.Duration
}

func (c *crashes) arrive(id string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.arrivals = append(c.arrivals, c.journal.now())
	c.journal.add("run       the request that crashes, at %s", id)
}

func (c *crashes) end(id string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.ends = append(c.ends, c.journal.now())
	c.journal.add("crash     %s", id)
}

// frailReplica is a replica that crashes on the request.
type frailReplica struct {
	id, zone, address string
	store             *store
	crashes           *crashes

	lock   sync.Mutex
	server *http.Server
	isDown bool
}

func (p *frailReplica) start() {
	address := p.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fail("replica: %v", err)
	}
	p.lock.Lock()
	p.address, p.isDown, p.server = listener.Addr().String(), false, &http.Server{Handler: p}
	go func(s *http.Server) { _ = s.Serve(listener) }(p.server)
	p.lock.Unlock()
	p.store.put("servers/"+p.id, map[string]any{
		"Service": "registry", "Address": p.address, "Zone": p.zone, "Version": "1", "Slots": 6, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
}

func (p *frailReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Verbenaroad-Expect-Replica"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if string(body) == poisonBody {
		p.crashes.arrive(p.id)
		time.Sleep(30 * time.Millisecond)
		p.crash()
		return
	}
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("X-Verbenaroad-Attempt-Id", r.Header.Get("X-Verbenaroad-Attempt-Id"))
	w.Header().Set("X-Verbenaroad-Replica-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	_, _ = fmt.Fprint(w, p.id)
}

func (p *frailReplica) crash() {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.isDown {
		return
	}
	p.isDown = true
	_ = p.server.Close()
	p.crashes.end(p.id)
	time.AfterFunc(poisonDown, p.start)
}

// playPoison sends a request that crashes replicas, at all three machines at the same moment, or without
// the trouble at one after the other. It returns whether it reaches replicas more often than BUDGET allows.
func playPoison(j *journal, trouble bool) bool {
	s := caroni()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("no temporary folder: %v", err)
	}
	st := newStore()
	seen := &crashes{journal: j}
	for n := range 6 {
		(&frailReplica{id: fmt.Sprintf("i-registry-%d", n), zone: s.zones[n%3], store: st, crashes: seen}).start()
	}
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
	for n, i := range ingresses {
		i.start(dir, i.writeSettings(dir, s, n, st.address, seeds))
	}
	for _, i := range ingresses {
		i.awaitReady()
	}
	j.say("ready     three ingresses, one in each zone; logs in %s", dir)
	time.Sleep(6 * time.Second)
	c := &clients{journal: j}
	var senders sync.WaitGroup
	ends := time.Now().Add(poisonTime)
	senders.Go(func() {
		for n := 0; time.Now().Before(ends); n++ {
			senders.Go(func() { c.send(ingresses[n%3], "POST", host, "/issue/1", fmt.Sprint("order ", n), key, 3*time.Second) })
			time.Sleep(90 * time.Millisecond)
		}
	})
	for time.Now().Before(ends) {
		for _, i := range ingresses {
			send := func() { c.send(i, "POST", host, "/issue/1", poisonBody, key, 3*time.Second) }
			if !trouble {
				send()
				time.Sleep(poisonGap / 3)
				continue
			}
			senders.Go(send)
		}
		if trouble {
			time.Sleep(poisonGap)
		}
	}
	senders.Wait()
	if len(seen.ends) < 3 {
		fail("only %d replicas crashed", len(seen.ends))
	}
	late := 0
	for _, at := range seen.arrivals {
		if at > seen.ends[2]+contact {
			late++
		}
	}
	j.say("judged    %d arrivals and %d crashes, the third at %.3f s", len(seen.arrivals), len(seen.ends), seen.ends[2].Seconds())
	if late > poisonLimit {
		j.say("BROKEN    BUDGET: %d retries reach replicas later than ContactMs after the third crash; %d are allowed", late, poisonLimit)
		return true
	}
	j.say("held      BUDGET: %d retries reach replicas later than ContactMs after the third crash", late)
	return false
}
