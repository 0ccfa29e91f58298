package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a replica writes its entry to the store.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that reached a replica and that it began to run.
type arrival struct {
	id      string
	path    string
	replica string
	at      time.Time
}

// replica is a stand-in for a sound replica of the platform: it registers, serves requests and echoes their IDs.
type replica struct {
	id, service, zone, version string
	slots                      int
	// work is how long a plain request takes.
	work time.Duration
	// events and pause describe a stream: how many events it has, and the time before each of them.
	events int
	pause  time.Duration
	// batch is how many pieces a call to a pool may have; 0: this is no pool.
	batch int
	// crashes reports whether a request crashes the replica as it begins to run. down is how long it is away then.
	crashes func(r *http.Request) bool
	down    time.Duration

	world  *world
	server *listener

	lock sync.Mutex
	// limit is the Server-Limit that the replica names in its answers; 0: none.
	limit    float64
	born     int64
	sequence int
	// listed is set while the replica keeps its entry in the store.
	listed  bool
	stopped bool
	ran     []arrival
	handles int
	// turn is held by the call that is being worked on.
	turn sync.Mutex
}

// start listens and registers.
func (p *replica) start() error {
	server, err := listen(p)
	if err != nil {
		return err
	}
	p.server = server
	p.begin()
	go p.loop()
	return nil
}

// begin registers a new start of the replica.
func (p *replica) begin() {
	p.lock.Lock()
	p.born, p.sequence, p.listed = time.Now().UnixMilli(), 0, true
	p.lock.Unlock()
	p.beat()
}

func (p *replica) loop() {
	for range time.Tick(heartbeat) {
		p.beat()
	}
}

// beat writes the entry of the replica.
func (p *replica) beat() {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.listed {
		return
	}
	p.sequence++
	p.world.store.put("servers/"+p.id, map[string]any{
		"Service": p.service, "Address": p.server.address, "Zone": p.zone, "Version": p.version, "Slots": p.slots,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": p.sequence, "born": p.born,
	})
}

// leave removes the entry. The replica goes on to serve.
func (p *replica) leave() {
	p.lock.Lock()
	p.listed = false
	p.lock.Unlock()
	p.world.store.remove("servers/" + p.id)
	p.world.log("replica %s: its entry is removed; it serves on", p.id)
}

// crash ends the replica at once; it is back under its ID after the time that it is down.
func (p *replica) crash(why string) {
	p.lock.Lock()
	if p.stopped {
		p.lock.Unlock()
		return
	}
	p.stopped, p.listed = true, false
	p.lock.Unlock()
	p.world.log("replica %s: crashes (%s)", p.id, why)
	p.server.close()
	go func() {
		time.Sleep(p.down)
		if err := p.server.open(); err != nil {
			p.world.log("replica %s: not back: %v", p.id, err)
			return
		}
		p.lock.Lock()
		p.stopped = false
		p.lock.Unlock()
		p.begin()
		p.world.log("replica %s: back", p.id)
	}()
}

// listRan returns what the replica has begun to run.
func (p *replica) listRan() []arrival {
	p.lock.Lock()
	defer p.lock.Unlock()
	return append([]arrival{}, p.ran...)
}

// ServeHTTP serves one request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Verbenaroad-Attempt-Id")
	w.Header().Set("X-Verbenaroad-Attempt-Id", id)
	if expected := r.Header.Get("X-Verbenaroad-Expect-Replica"); expected != "" && expected != p.id {
		p.world.log("replica %s: answers 421 to %s, which expects %s", p.id, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Verbenaroad-Replica-Id", p.id)
		return
	}
	if p.batch > 0 && strings.HasPrefix(r.URL.Path, "/api/stage-") {
		p.servePool(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if id == "" {
		w.Header().Set("X-Verbenaroad-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.lock.Lock()
	p.ran = append(p.ran, arrival{id: id, path: r.URL.Path, replica: p.id, at: time.Now()})
	p.lock.Unlock()
	p.world.log("replica %s (%s, version %s): runs %s %s", p.id, p.service, p.version, id, r.URL.Path)
	if p.crashes != nil && p.crashes(r) {
		p.crash("it began to run " + id)
		return
	}
	w.Header().Set("X-Verbenaroad-Replica-Signature", "3e1b."+id)
	p.nameLimit(w)
	if p.events > 0 {
		p.stream(w, r)
		return
	}
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "%s answers %s", p.id, id)
}

// nameLimit names the limit of the replica in an answer, if it has one.
func (p *replica) nameLimit(w http.ResponseWriter) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(p.limit, 'f', -1, 64))
	}
}

// stream sends the events after Last-Event-Id. Each event names the version that made it.
func (p *replica) stream(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := after + 1; n <= p.events; n++ {
		select {
		case <-time.After(p.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, p.version); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}
