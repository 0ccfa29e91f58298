package hosted

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault says how a backend server treats its next requests.
type Fault string

// The faults.
const (
	Well Fault = ""
	// Shed refuses with the word that the request was not run.
	Shed Fault = "shed"
	// Vague answers 503 without that word, after a run.
	Vague Fault = "vague"
	// CutAfterRun runs the request and resets the connection.
	CutAfterRun Fault = "cut-after-run"
	// Hang runs the request and never answers.
	Hang Fault = "hang"
	// WrongID answers as for another request.
	WrongID Fault = "wrong-id"
	// Unsigned answers without a signature.
	Unsigned Fault = "unsigned"
	// Truncate breaks off in the middle of the body.
	Truncate Fault = "truncate"
	// Fail runs the request and answers 500.
	Fail Fault = "fail"
	// CutAtOnce breaks a stream off before its answer begins.
	CutAtOnce Fault = "cut-at-once"
	// CutStream breaks a stream off in the middle of its third event.
	CutStream Fault = "cut-stream"
)

// Seen is a request as a backend server got it.
type Seen struct {
	AttemptID string
	Server    string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      string
	At        time.Time
	// Left is when its connection ended before its answer did; zero where it did not.
	Left time.Time
}

// Server is a backend server: a plain service, or an engine where Events is above 0,
// or a pool where Batch is.
type Server struct {
	ID      string
	Service string
	Zone    string
	// ColdFor is how much longer it says that it is cold.
	ColdFor time.Duration
	// Work is how long a plain request or a pool's call takes.
	Work time.Duration
	// Events is the length of a stream, Gap the time between two of them.
	Events int
	Gap    time.Duration
	// Batch is the most items of a pool's call, Room the most results that it holds.
	Batch int
	Room  int
	// Advertised is the address that its entry names where something stands before it.
	Advertised netip.AddrPort
	// Version is that of its software; empty: v1.
	Version string

	store  *Store
	world  *World
	server *httpServer

	lock    sync.Mutex
	crashed bool
	crashes int
	// starts counts those after the first.
	starts  int64
	faults  []Fault
	seen    []Seen
	running int
	busy    bool
	waiting int
	results int
}

// Address returns where it listens.
func (s *Server) Address() netip.AddrPort { return s.server.address }

// SetFaults sets how the next requests are treated, one fault for each.
func (s *Server) SetFaults(faults ...Fault) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = faults
}

// Seen returns the requests that were run.
func (s *Server) Seen() []Seen {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.seen)
}

// Running returns how many requests it works on.
func (s *Server) Running() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.running
}

// Register writes the server's entry with a state.
func (s *Server) Register(state string) {
	address := s.Address()
	if s.Advertised.IsValid() {
		address = s.Advertised
	}
	s.lock.Lock()
	starts := s.starts
	s.lock.Unlock()
	version := s.Version
	if version == "" {
		version = "v1"
	}
	s.store.Put("servers/"+s.ID, map[string]any{
		"Service": s.Service, "Address": address.String(), "Zone": s.Zone, "Version": version,
		"Slots": slots, "State": state, "ColdRemainingMs": s.ColdFor.Milliseconds(), "Sequence": 1, "born": 1 + starts,
	})
}

// Crash closes the server without a word; Restart has it listen again.
func (s *Server) Crash() { s.server.close() }

// Restart listens at the same address again.
func (s *Server) Restart() error {
	server, err := listenAt(s.server.address.String(), http.HandlerFunc(s.serve))
	if err != nil {
		return err
	}
	s.server = server
	s.lock.Lock()
	s.starts++
	s.lock.Unlock()
	s.Register("ready")
	return nil
}

// crashFor crashes the server and has it listen again after a time; nothing where it has crashed already.
func (s *Server) crashFor(down time.Duration) {
	s.lock.Lock()
	crashed := s.crashed
	s.crashed = true
	s.lock.Unlock()
	if crashed {
		return
	}
	s.Crash()
	go s.runRestart(down)
}

// noteCrash counts a call that crashes the server.
func (s *Server) noteCrash() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.crashes++
	s.busy = false
}

// Crashes returns how often calls have crashed the server.
func (s *Server) Crashes() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.crashes
}

func (s *Server) runRestart(down time.Duration) {
	time.Sleep(down)
	if err := s.Restart(); err != nil {
		s.world.note(s.ID + " did not restart: " + err.Error())
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.crashed = false
}

const slots = 6

func (s *Server) takeFault() Fault {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.faults) == 0 {
		return Well
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Verbenaroad-Expect-Replica"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/api/stage-run":
		s.serveRun(w, r, body)
		return
	case "/api/stage-free":
		s.serveFree(w, body)
		return
	}
	fault := s.takeFault()
	w.Header().Set("X-Verbenaroad-Attempt-Id", r.Header.Get("X-Verbenaroad-Attempt-Id"))
	if fault == Shed {
		w.Header().Set("X-Verbenaroad-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.Events > 0 && !s.hasInputs(w, r) {
		return
	}
	n := s.begin(r, string(body))
	defer s.end(n, r)
	if down, crashes := s.world.crashTime(string(body)); crashes {
		s.crashFor(down)
		return
	}
	if s.Events > 0 {
		s.stream(w, r, fault)
		return
	}
	s.answer(w, r, fault)
}

// hasInputs refuses a request whose results are not there.
func (s *Server) hasInputs(w http.ResponseWriter, r *http.Request) bool {
	for _, handle := range strings.Split(r.Header.Get("X-Verbenaroad-Input-Count"), ",") {
		if handle != "" && !s.world.has(handle) {
			w.Header().Set("X-Verbenaroad-Not-Executed", "1")
			w.WriteHeader(http.StatusConflict)
			return false
		}
	}
	return true
}

func (s *Server) begin(r *http.Request, body string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running++
	s.seen = append(s.seen, Seen{
		AttemptID: r.Header.Get("X-Verbenaroad-Attempt-Id"), Server: s.ID, Method: r.Method, Target: r.RequestURI,
		Host: r.Host, Header: r.Header.Clone(), Body: body, At: time.Now(),
	})
	return len(s.seen) - 1
}

func (s *Server) end(n int, r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running--
	if r.Context().Err() != nil {
		s.seen[n].Left = time.Now()
	}
}

func sign(w http.ResponseWriter) {
	w.Header().Set("X-Verbenaroad-Replica-Signature", "3e1b.07.c9f2a4d1")
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, fault Fault) {
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		return
	}
	text := "answer of " + s.ID + " to " + r.Header.Get("X-Verbenaroad-Attempt-Id")
	switch fault {
	case Vague:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case CutAfterRun:
		cut(w)
		return
	case Hang:
		<-r.Context().Done()
		return
	case Fail:
		sign(w)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Truncate:
		sign(w)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		cut(w)
		return
	case WrongID:
		w.Header().Set("X-Verbenaroad-Attempt-Id", "ffffffffffffffff")
	}
	if fault != Unsigned {
		sign(w)
	}
	_, _ = io.WriteString(w, text)
}

// stream sends events that say whose they are.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	if fault == CutAtOnce {
		cut(w)
		return
	}
	if fault == Fail {
		sign(w)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
		return
	}
	sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := after + 1; i <= s.Events; i++ {
		select {
		case <-time.After(s.Gap):
		case <-r.Context().Done():
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, r.Header.Get("X-Verbenaroad-Attempt-Id"))
		if fault == CutStream && i == after+3 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = control.Flush()
			cut(w)
			return
		}
		_, _ = io.WriteString(w, event)
		_ = control.Flush()
	}
}
