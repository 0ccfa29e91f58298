package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	attempt string
	replica string
	service string
	method  string
	target  string
	at      time.Duration
}

// runs holds the runs at all replicas.
type runs struct {
	lock    sync.Mutex
	journal *journal
	list    []run
}

func (r *runs) add(one run) {
	r.lock.Lock()
	one.at = r.journal.now()
	r.list = append(r.list, one)
	r.lock.Unlock()
	r.journal.add("run       %s at %s (%s): %s %s", one.attempt, one.replica, one.service, one.method, one.target)
}

func (r *runs) find(attempt string) []run {
	r.lock.Lock()
	defer r.lock.Unlock()
	found := []run{}
	for _, one := range r.list {
		if one.attempt == attempt {
			found = append(found, one)
		}
	}
	return found
}

// replica is a sound replica of a plain service.
type replica struct {
	id, service, zone string
	work              time.Duration
	runs              *runs
	address           string

	lock sync.Mutex
	// limit is the Server-Limit that the replica names in its answers; 0: none.
	limit int
}

// setLimit makes the replica name a limit in all answers from now on.
func (p *replica) setLimit(perSecond int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.limit = perSecond
}

func (p *replica) start(s *store) {
	listener := listen()
	p.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, p) }()
	s.put("servers/"+p.id, map[string]any{
		"Service": p.service, "Address": p.address, "Zone": p.zone, "Version": "1", "Slots": 6, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// ServeHTTP runs a request, unless it is for another replica.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Verbenaroad-Expect-Replica"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("X-Verbenaroad-Attempt-Id")
	p.runs.add(run{attempt: attempt, replica: p.id, service: p.service, method: r.Method, target: r.RequestURI})
	time.Sleep(p.work)
	w.Header().Set("X-Verbenaroad-Attempt-Id", attempt)
	w.Header().Set("X-Verbenaroad-Replica-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("X-Verbenaroad-Replica-Load", "1,0,6")
	p.lock.Lock()
	limit := p.limit
	p.lock.Unlock()
	if limit > 0 {
		w.Header().Set("Server-Limit", strconv.Itoa(limit))
	}
	_, _ = fmt.Fprintf(w, "%s of %s has run %s, %d bytes", p.id, p.service, attempt, len(body))
}
