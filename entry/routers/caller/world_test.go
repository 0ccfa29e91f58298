package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/entry/routers/caller"
	"verbenaroad.example/entry/services/calls"
	"verbenaroad.example/entry/services/direct"
	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/entry/services/policy"
	"verbenaroad.example/entry/services/walk"
	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/httpd"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/spans"
	"verbenaroad.example/share/modules/wire"
)

const (
	maxBodyBytes      = 64 << 10
	endlessEventBytes = 32 << 10
)

// world is the caller API of an entry, served by nbhttp, and one agent that a session connects to
// the entry.
type world struct {
	server  *httpd.Server
	router  *caller.Router
	session *link.Session
	claims  map[string]claim.Stored

	lock sync.Mutex
	// received holds the calls that reached the agent.
	received []*wire.Call
	// endlessBytes counts the bytes of endless answers that the agent has written. endlessEnded is
	// closed when a write of an endless answer fails.
	endlessBytes int
	endlessEnded chan struct{}
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{claims: map[string]claim.Stored{}, endlessEnded: make(chan struct{})}
	w.connectAgent(t)
	tracer, err := spans.NewTracer(t.Context(), spans.Options{})
	must(t, err)
	entryPolicy := policy.NewPolicy(policy.AdmissionDeadline)
	runner := calls.NewRunner(calls.Options{Fleet: w, Configuration: w, Budget: entryPolicy, Tracer: tracer})
	w.router = caller.NewRouter(caller.Options{
		Configuration: w,
		Walker:        walk.NewWalker(runner, entryPolicy, w, w),
		Direct: direct.NewCaller(direct.Options{
			Runner: runner, Policy: entryPolicy, Agents: w, Claims: w, Configuration: w, Log: zap.NewNop(),
		}),
		Admission:    w,
		Tracer:       tracer,
		Log:          zap.NewNop(),
		MaxBodyBytes: maxBodyBytes,
	})
	w.server, err = httpd.NewServer(httpd.Options{
		Address:      netip.MustParseAddrPort("127.0.0.1:0"),
		Handler:      w.router.NewHandler(),
		MaxBodyBytes: maxBodyBytes,
		Refuse:       w.router.Refuse,
	})
	must(t, err)
	t.Cleanup(func() { _ = w.server.Shutdown(context.Background()) })
	return w
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// connectAgent starts the agent and opens a session to it.
func (w *world) connectAgent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go w.runAgent(listener)
	w.session, err = link.Dial(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), newOptions("entry-1"))
	must(t, err)
	t.Cleanup(func() { _ = w.session.Close() })
}

func newOptions(name string) link.Options {
	return link.Options{
		Hello:        &wire.Hello{Version: wire.Version, Name: name, Incarnation: "i1"},
		NewHeartbeat: func() *wire.Beat { return &wire.Beat{Revision: 1} },
	}
}

func (w *world) runAgent(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	session, err := link.Accept(conn, newOptions("agent-1"))
	if err != nil {
		return
	}
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go w.runCall(stream)
	}
}

func (w *world) runCall(stream net.Conn) {
	defer func() { _ = stream.Close() }()
	frame, err := wire.NewReader(stream).Next()
	if err != nil || frame.GetCall() == nil {
		return
	}
	call := frame.GetCall()
	w.lock.Lock()
	w.received = append(w.received, call)
	w.lock.Unlock()
	if strings.Contains(string(call.GetBody()), "endless") {
		w.answerEndlessly(stream)
		return
	}
	text := []byte("data: {\"choices\":[{\"text\":\"spruce\"}]}\n\ndata: [DONE]\n\n")
	_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Part{Part: &wire.Part{Data: text}}})
	_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_End{End: &wire.End{
		RequestId: call.GetRequestId(), Stage: call.GetStage(), Attempt: call.GetAttempt(), Incarnation: "i1",
		Outcome: string(codes.OutcomeRan), Status: http.StatusOK, ContentType: "text/plain", Bytes: uint64(len(text)),
	}}})
}

// answerEndlessly writes answer parts until the entry cancels the call.
func (w *world) answerEndlessly(stream net.Conn) {
	defer close(w.endlessEnded)
	go runAbortWrites(stream)
	event := []byte("data: {\"choices\":[{\"text\":\"" + strings.Repeat("x", endlessEventBytes) + "\"}]}\n\n")
	for {
		if wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Part{Part: &wire.Part{Data: event}}}) != nil {
			return
		}
		w.lock.Lock()
		w.endlessBytes += len(event)
		w.lock.Unlock()
	}
}

// runAbortWrites makes the writes of a call fail once the entry has closed its end of the stream,
// as an agent does.
func runAbortWrites(stream net.Conn) {
	_, _ = io.Copy(io.Discard, stream)
	_ = stream.SetWriteDeadline(time.Now())
}

func (w *world) calls() []*wire.Call {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]*wire.Call{}, w.received...)
}

// ChooseAgent returns the only agent.
func (w *world) ChooseAgent(time.Time, fleet.ChooseOptions) (fleet.Attempt, *codes.Result) {
	return fleet.Attempt{Choice: route.Choice{Name: "agent-1", Incarnation: "i1"}, Session: w.session}, nil
}

func (w *world) EndAttempt(time.Time, string, route.CallResult) {}

func (w *world) PredictWait(time.Time, fleet.ChooseOptions) (wait, run time.Duration, refusal *codes.Result) {
	return 0, time.Millisecond, nil
}

func (w *world) RequestTombstone(context.Context, string, *wire.Ask) (*wire.Told, error) {
	return &wire.Told{State: string(claim.ReportedTombstoned)}, nil
}

func (w *world) GetClaim(_ context.Context, key string) (*claim.Stored, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if stored, found := w.claims[key]; found {
		return &stored, nil
	}
	return nil, nil
}

func (w *world) SwapClaim(_ context.Context, key string, record claim.Record, index uint64) (bool, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.claims[key].Index != index {
		return false, nil
	}
	w.claims[key] = claim.Stored{Record: record, Index: index + 1}
	return true, nil
}

func (w *world) AdmitWork(string) bool { return true }

func (w *world) EndWork(string) {}

func (w *world) Answers() context.Context { return context.Background() }

func (w *world) WaitRevision(context.Context, uint64) error { return nil }

func (w *world) OnPeerRevision(string, uint64) {}

func (w *world) GetRevision(time.Time) (uint64, time.Duration) { return 1, 0 }

func (w *world) GetUsable(context.Context) (*config.Snapshot, *codes.Result) {
	return config.NewSnapshot(1, config.Set{
		Teams: []config.Team{
			{Name: "kranj", TokenSHA256: []string{config.DigestToken("kranj-token")}, Priority: config.PriorityNormal, Weight: 1},
		},
		Pipelines: []config.Pipeline{{
			Name: "notes", Deadline: config.Duration(20 * time.Second),
			Stages: []config.Stage{{Name: "generate", Kind: config.StageGenerate, Service: "llm", Limit: 16}},
		}},
		Services: []config.Service{
			{Name: "llm", Kind: config.ServiceEngine, Deadline: config.Duration(20 * time.Second)},
			{Name: "orders", Kind: config.ServicePlain, Deadline: config.Duration(20 * time.Second), Routes: []config.ServiceRoute{
				{Method: http.MethodPost, Path: "/orders"},
				{Method: http.MethodGet, Path: "/orders/", Idempotent: true},
				{Method: http.MethodHead, Path: "/orders/", Idempotent: true},
			}},
		},
	}), nil
}

// answer is the response to a request that was sent on its own connection.
type answer struct {
	status int
	header http.Header
	text   string
	error  caller.ErrorBody
}

// send writes raw bytes on a new connection and reads the response. Raw bytes allow for requests
// that an HTTP client library would not send.
func (w *world) send(t *testing.T, raw string) answer {
	t.Helper()
	conn, err := net.Dial("tcp", w.server.Address().String())
	must(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	go runWrite(conn, raw)
	method, _, _ := strings.Cut(raw, " ")
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	must(t, err)
	text, err := io.ReadAll(response.Body)
	must(t, err)
	a := answer{status: response.StatusCode, header: response.Header, text: string(text)}
	_ = json.Unmarshal(text, &a.error)
	return a
}

// runWrite writes raw bytes in its own goroutine, because a refusal may have to be read before all
// bytes are written.
func runWrite(conn net.Conn, raw string) {
	_, _ = io.WriteString(conn, raw)
}

// request returns the bytes of a request with the team's token and additional header lines.
func request(method, path, body string, headerLines ...string) string {
	lines := []string{method + " " + path + " HTTP/1.1", "Host: a", "Authorization: Bearer kranj-token"}
	if body != "" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	lines = append(lines, headerLines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}
