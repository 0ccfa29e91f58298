package hosted

import (
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// Fault selects how a backend server mishandles a request.
type Fault string

// The faults. Plain requests, streams and pool calls each support some of them and ignore the
// others.
const (
	// NoFault handles the request normally.
	NoFault Fault = ""
	// RefuseNotRun answers 503 with the header that marks the request as not run.
	RefuseNotRun Fault = "shed"
	// UnclassifiedFailure runs the request and answers 503 without that header.
	UnclassifiedFailure Fault = "vague"
	// CutAfterRun runs the request and resets the connection instead of answering.
	CutAfterRun Fault = "cut-after-run"
	// Hang runs the request and never answers.
	Hang Fault = "hang"
	// WrongID answers with the attempt ID of another request.
	WrongID Fault = "wrong-id"
	// Unsigned answers without the server's signature header.
	Unsigned Fault = "unsigned"
	// Truncate resets the connection in the middle of the body.
	Truncate Fault = "truncate"
	// Fail runs the request and answers 500.
	Fail Fault = "fail"
	// CutBeforeAnswer resets the connection of a stream before the answer begins.
	CutBeforeAnswer Fault = "cut-at-once"
	// CutStream resets the connection of a stream in the middle of the third event that it sends.
	CutStream Fault = "cut-stream"
	// Unframed answers correctly with neither a length nor chunks: the answer ends with its connection.
	Unframed Fault = "unframed"
	// UnframedReset resets the connection in the middle of such an answer.
	UnframedReset Fault = "unframed-reset"
	// UnframedStop closes the connection of such a stream in the middle of the third event that it sends.
	UnframedStop Fault = "unframed-stop"
)

// Run is one run of a request, as the backend server received it.
type Run struct {
	AttemptID string
	Server    string
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      string
	StartedAt time.Time
	// EndedAt is when the run ended; zero while it runs. CanceledAt is the same if it ended because its connection
	// had closed before the answer was complete, and zero otherwise.
	EndedAt    time.Time
	CanceledAt time.Time
}

// Server is a backend server: of a plain service, of an engine if Events is above 0, or of a pool
// if MaxBatch is above 0.
type Server struct {
	ID      string
	Service string
	Zone    string
	// ColdRemaining is the remaining cold time that the server registers.
	ColdRemaining time.Duration
	// WorkTime is how long a plain request or a pool call takes.
	WorkTime time.Duration
	// AnswerBytes is the least length of the answer to a plain request.
	AnswerBytes int
	// Events is the number of events of a stream, EventInterval the time before each of them.
	Events        int
	EventInterval time.Duration
	// MaxBatch is the maximum number of items of a pool call, MaxResults the maximum number of
	// results held.
	MaxBatch   int
	MaxResults int
	// Slots is the number of plain requests or streams that run at the same time; the others wait for their turn.
	// 0: all run at once. It is set before the server is added.
	Slots int
	// EarlyHead sends the head of a stream as soon as the request has arrived, before its turn.
	EarlyHead bool
	// Advertised is the address to register in the store if a proxy stands in front of the server;
	// the zero value registers the address that the server listens on.
	Advertised netip.AddrPort
	// Version is the software version that the server registers; empty: v1. SetVersion changes it.
	Version string

	store  *Store
	world  *World
	server *httpServer

	lock sync.Mutex
	// crashed is set from a crash by a poisonous request until the restart.
	crashed bool
	crashes int
	// restarts is the number of restarts; the registered incarnation is derived from it.
	restarts int64
	// state is that of the last registration, sequence the number of registrations since the last start.
	state    string
	sequence int64
	faults   []Fault
	// header holds additional headers of every answer.
	header http.Header
	// pause is the Retry-After with which all requests are turned away; empty: none are.
	pause string
	// pauses holds the requests that were turned away with a Retry-After.
	pauses []Pause
	runs   []Run
	// arrivals holds when requests, pool calls and releases of results arrived.
	arrivals []time.Time
	// attempts holds the arrivals of plain requests and streams.
	attempts []Attempt
	// refusing is set while SetRefusing applies.
	refusing bool
	running  int
	// turns has room for the requests that run; nil: there is no limit.
	turns chan struct{}
	// busy is set while a pool call runs; waiting is the number of pool calls that wait for it.
	busy    bool
	waiting int
	results int
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return s.server.address }

// SetFaults sets the faults of the next requests, one fault for each request.
func (s *Server) SetFaults(faults ...Fault) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = faults
}

// Runs returns the runs of plain requests and streams so far.
func (s *Server) Runs() []Run {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.runs)
}

// Running returns the number of plain requests and streams in flight.
func (s *Server) Running() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.running
}

// registeredAddress returns the address at which others reach the server.
func (s *Server) registeredAddress() netip.AddrPort {
	if s.Advertised.IsValid() {
		return s.Advertised
	}
	return s.Address()
}

// Register writes the server's registration to the store, with the given state.
func (s *Server) Register(state string) {
	address := s.registeredAddress()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.state = state
	s.sequence++
	s.store.Put("servers/"+s.ID, map[string]any{
		"Service": s.Service, "Address": address.String(), "Zone": s.Zone, "Version": s.softwareVersion(),
		"Slots": registeredSlots, "State": state, "ColdRemainingMs": s.ColdRemaining.Milliseconds(), "Sequence": s.sequence, "born": s.born(),
	})
}

// born identifies the present start of the server. The caller holds the lock.
func (s *Server) born() int64 { return 1 + s.restarts }

// SetVersion sets the software version of the server, which must be down.
func (s *Server) SetVersion(version string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.Version = version
}

// softwareVersion returns the version that the server registers. The caller holds the lock.
func (s *Server) softwareVersion() string {
	if s.Version == "" {
		return "v1"
	}
	return s.Version
}

// Crash closes the listener and all connections and leaves the registration in the store. Restart
// undoes it.
func (s *Server) Crash() { s.server.close() }

// Restart listens on the same address again and registers the server as ready.
func (s *Server) Restart() error {
	server, err := listenAt(s.server.address.String(), http.HandlerFunc(s.serve))
	if err != nil {
		return err
	}
	s.server = server
	s.lock.Lock()
	s.restarts++
	s.sequence = 0
	s.lock.Unlock()
	s.Register("ready")
	return nil
}

// crashFor crashes the server and restarts it after downTime; it does nothing if such a crash is
// not over yet.
func (s *Server) crashFor(downTime time.Duration) {
	s.lock.Lock()
	crashed := s.crashed
	s.crashed = true
	s.lock.Unlock()
	if crashed {
		return
	}
	s.Crash()
	go s.runRestart(downTime)
}

// recordCrash counts a pool call that crashes the server, and ends the turn of the call.
func (s *Server) recordCrash() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.crashes++
	s.busy = false
}

// Crashes returns the number of pool calls that crashed the server. Crashes by plain requests and
// streams, and calls of Crash, are not counted.
func (s *Server) Crashes() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.crashes
}

func (s *Server) runRestart(downTime time.Duration) {
	time.Sleep(downTime)
	if err := s.Restart(); err != nil {
		s.world.recordViolation(s.ID + " did not restart: " + err.Error())
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.crashed = false
}

// registeredSlots is the number of slots that every server registers.
const registeredSlots = 6

// takeFault removes and returns the fault of the next request.
func (s *Server) takeFault() Fault {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.refusing {
		return RefuseNotRun
	}
	if len(s.faults) == 0 {
		return NoFault
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
	s.arrive(w, r)
	if s.turnAway(w, r) {
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
	if fault == RefuseNotRun {
		w.Header().Set("X-Verbenaroad-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.Events > 0 && !s.checkInputs(w, r) {
		return
	}
	if s.EarlyHead && s.Events > 0 {
		sendStreamHead(w)
	}
	if !s.awaitTurn(r) {
		return
	}
	defer s.endTurn()
	n := s.begin(r, string(body))
	defer s.end(n, r)
	if downTime, crashes := s.world.checkBody(string(body)); crashes {
		s.crashFor(downTime)
		return
	}
	if downTime, crashes := s.world.checkParts(r.Header.Get("X-Verbenaroad-Prefix-Hash")); crashes {
		s.world.recordPartCrash()
		s.crashFor(downTime)
		return
	}
	if s.Events > 0 {
		s.stream(w, r, fault)
		return
	}
	s.answer(w, r, fault)
}

// awaitTurn waits until the server may run a request. It returns false if the caller disconnects first: the request is
// then not run.
func (s *Server) awaitTurn(r *http.Request) bool {
	if s.turns == nil {
		return true
	}
	select {
	case s.turns <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) endTurn() {
	if s.turns != nil {
		<-s.turns
	}
}

// checkInputs reports whether all input results of a request are held, and refuses the request if
// not.
func (s *Server) checkInputs(w http.ResponseWriter, r *http.Request) bool {
	for _, handle := range strings.Split(r.Header.Get("X-Verbenaroad-Input-Count"), ",") {
		if handle != "" && !s.world.isHeld(handle) {
			w.Header().Set("X-Verbenaroad-Not-Executed", "1")
			w.WriteHeader(http.StatusConflict)
			return false
		}
	}
	return true
}

// begin records the start of a run and returns its index in runs.
func (s *Server) begin(r *http.Request, body string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running++
	s.runs = append(s.runs, Run{
		AttemptID: r.Header.Get("X-Verbenaroad-Attempt-Id"), Server: s.ID, Method: r.Method, Target: r.RequestURI,
		Host: r.Host, Header: r.Header.Clone(), Body: body, StartedAt: time.Now(),
	})
	return len(s.runs) - 1
}

// end records the end of run n.
func (s *Server) end(n int, r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running--
	s.runs[n].EndedAt = time.Now()
	if r.Context().Err() != nil {
		s.runs[n].CanceledAt = s.runs[n].EndedAt
	}
}

func sign(w http.ResponseWriter) {
	w.Header().Set("X-Verbenaroad-Replica-Signature", "3e1b.07.c9f2a4d1")
}
