package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// The outage of the store, and when the replicas crash in it. Each is back downTime later.
	outageTime  = 6500 * time.Millisecond
	firstCrash  = 500 * time.Millisecond
	secondCrash = 3500 * time.Millisecond
	downTime    = 700 * time.Millisecond
	// A stream has streamEvents events, one each eventGap; a new one begins each streamGap at one of the machines.
	streamEvents = 60
	eventGap     = 100 * time.Millisecond
	streamGap    = 80 * time.Millisecond
	engineSlots  = 32
	// mixedLimit is how many streams may hold events of two versions.
	mixedLimit = 2
)

// engine is a sound model replica. It can crash, and come back under its ID with another version.
type engine struct {
	id, zone string
	address  string
	journal  *journal
	store    *store

	lock    sync.Mutex
	version string
	server  *http.Server
	running int
}

// start starts the engine, at its address if it had one, and returns when that was.
func (e *engine) start(version string) (born int64) {
	born = time.Now().UnixMilli()
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fail("engine: %v", err)
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	e.address, e.version = listener.Addr().String(), version
	e.server = &http.Server{Handler: &engineRun{engine: e, version: version, born: born}}
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	return born
}

// register writes the entry of this start. It returns once the store takes it.
func (e *engine) register(born int64) {
	e.lock.Lock()
	entry := map[string]any{
		"Service": "llm", "Address": e.address, "Zone": e.zone, "Version": e.version, "Slots": engineSlots, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1, "born": born,
	}
	e.lock.Unlock()
	e.store.awaitUp()
	e.store.put("servers/"+e.id, entry)
}

// crash ends the engine with all its connections and starts it again with another version.
func (e *engine) crash(version string) {
	e.lock.Lock()
	_ = e.server.Close()
	e.lock.Unlock()
	e.journal.say("crash     %s", e.id)
	time.Sleep(downTime)
	born := e.start(version)
	e.journal.say("start     %s, of version %s", e.id, version)
	e.register(born)
}

// report answers what the engine says of itself.
func (e *engine) report(w http.ResponseWriter, born int64) {
	e.lock.Lock()
	defer e.lock.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"Phase": "prefill_decode", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Busy": false,
		"Sequence": 0, "Waiting": 0, "Running": e.running, "KvUsed": 400 * e.running, "KvTotal": 373153, "Handles": 0, "born": born,
	})
}

// engineRun serves the requests of one start of an engine.
type engineRun struct {
	engine  *engine
	version string
	born    int64
}

func (p *engineRun) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := p.engine
	if expected := r.Header.Get("X-Verbenaroad-Expect-Replica"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/api/report":
		e.report(w, p.born)
		return
	case "/api/kv-events", "/api/kv-list":
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case "/healthz":
		w.Header().Set("X-Verbenaroad-Replica-Id", e.id)
		return
	}
	attempt := r.Header.Get("X-Verbenaroad-Attempt-Id")
	w.Header().Set("X-Verbenaroad-Attempt-Id", attempt)
	e.lock.Lock()
	running := e.running
	if running < engineSlots {
		e.running++
	}
	e.lock.Unlock()
	w.Header().Set("X-Verbenaroad-Replica-Load", fmt.Sprintf("%d,0,%d", running, engineSlots))
	if running >= engineSlots {
		w.Header().Set("X-Verbenaroad-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.lock.Lock()
		e.running--
		e.lock.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.journal.add("run       %s at %s of version %s, after event %d", attempt, e.id, p.version, after)
	w.Header().Set("X-Verbenaroad-Replica-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := after + 1; i <= streamEvents; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, p.version, e.id); err != nil {
			return
		}
		_ = control.Flush()
	}
}

// stream is one stream of a client, over its tries.
type stream struct {
	first    string
	versions []string
	lastID   int
}

// receive reads one try of a stream and reports whether it came to its end.
func (s *stream) receive(c *clients, to *ingress) bool {
	c.lock.Lock()
	c.count++
	attempt := fmt.Sprintf("%016x", 0x1c41d07b00000000+c.count)
	c.lock.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+"/chat/1", strings.NewReader("a question"))
	if err != nil {
		fail("request: %v", err)
	}
	request.Host = host
	h := request.Header
	h.Set("X-Verbenaroad-Attempt-Id", attempt)
	h.Set("X-Verbenaroad-Deadline-Ms", "20000")
	h.Set("X-Verbenaroad-Key", key)
	h.Set("X-Verbenaroad-Model", "m")
	h.Set("X-Verbenaroad-Token-Usage", "250,180")
	h.Set("X-Verbenaroad-Prefix-Hash", "5c1e07a2:180,"+attempt[8:]+":70")
	if s.lastID > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(s.lastID))
		h.Set("Resumes", s.first)
	}
	c.journal.add("sent      %s to %s: POST /chat/1, after event %d, resumes %q", attempt, to.name, s.lastID, h.Get("Resumes"))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		c.journal.add("answered  %s by %s: %v", attempt, to.name, err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.journal.add("answered  %s by %s: %d", attempt, to.name, response.StatusCode)
		return false
	}
	lines := bufio.NewScanner(response.Body)
	id := 0
	for lines.Scan() {
		line := lines.Text()
		if text, found := strings.CutPrefix(line, "id: "); found {
			id, _ = strconv.Atoi(text)
		}
		text, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if s.lastID == 0 {
			s.first = attempt
		}
		s.lastID = id
		version, replica, _ := strings.Cut(text, " ")
		if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
			s.versions = append(s.versions, version)
			c.journal.add("events    %s of version %s, from %s, from event %d on", attempt, version, replica, id)
		}
	}
	c.journal.add("ended     %s by %s: after event %d, %v", attempt, to.name, s.lastID, lines.Err())
	return lines.Err() == nil && s.lastID == streamEvents
}

// playUnheard replaces two of three replicas of a service, one after the other and each under its ID, by
// another version of their software, while the store is silent, or without the trouble while it answers.
// It returns whether more than two streams hold events of both versions.
func playUnheard(j *journal, trouble bool) bool {
	s := caroni()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("no temporary folder: %v", err)
	}
	st := newStore()
	engines := []*engine{}
	for _, zone := range s.zones {
		e := &engine{id: "i-llm-" + zone, zone: zone, journal: j, store: st}
		e.register(e.start("1"))
		engines = append(engines, e)
	}
	version := config(7, "registry")
	version["Routes"] = []map[string]any{{
		"Name": "chat", "Host": host, "Prefix": "/chat/", "Type": "streaming", "Service": "llm", "TimeoutMs": 20000,
		"TargetLatencyMs": 1800, "TargetGapMs": 300, "MaxAttempts": 2, "Priority": 2, "Resumable": true, "Sticky": true,
	}}
	version["Services"] = []map[string]any{{"Name": "llm", "Engine": map[string]any{"Slots": engineSlots, "KvCapacityTokens": 373153, "Stride": 3}}}
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
	j.say("ready     three ingresses and three replicas of version 1; logs in %s", dir)
	time.Sleep(2 * time.Second)

	c := &clients{journal: j}
	streams := []*stream{}
	var clientsDone sync.WaitGroup
	ends := time.Now().Add(8*time.Second + outageTime)
	clientsDone.Go(func() {
		for n := 0; time.Now().Before(ends); n++ {
			one := &stream{}
			streams = append(streams, one)
			clientsDone.Go(func() {
				if !one.receive(c, ingresses[n%3]) {
					one.receive(c, ingresses[(n+1)%3]) // the one retry of the site's clients
				}
			})
			time.Sleep(streamGap)
		}
	})
	time.Sleep(8 * time.Second) // ContactMs and more; the streams have reached their usual number
	if trouble {
		st.setSilent(true)
		j.say("silent    the store, for %v", outageTime)
	}
	outage := time.Now()
	time.Sleep(firstCrash)
	go engines[0].crash("2")
	time.Sleep(secondCrash - firstCrash)
	go engines[1].crash("2")
	time.Sleep(time.Until(outage.Add(outageTime)))
	if trouble {
		st.setSilent(false)
		j.say("back      the store")
	}
	clientsDone.Wait()

	mixed, whole := 0, 0
	for _, one := range streams {
		if one.lastID == streamEvents {
			whole++
		}
		if len(one.versions) > 1 {
			mixed++
			j.add("ORDER     the stream that began as %s holds events of the versions %s", one.first, strings.Join(one.versions, ", "))
		}
	}
	j.say("judged    %d streams, %d of them whole", len(streams), whole)
	if whole < len(streams)/2 {
		fail("less than half of the streams are whole")
	}
	if mixed > mixedLimit {
		j.say("BROKEN    ORDER: %d streams hold events of two software versions; %d are allowed", mixed, mixedLimit)
		return true
	}
	j.say("held      ORDER: %d streams hold events of two software versions", mixed)
	return false
}
