package caller_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/entry/routers/caller"
	"verbenaroad.example/share/modules/codes"
)

const question = `{"input": "which plectrum?"}`

// Guards against a refusal without a result code and the outcome "not run", and against a refused
// request that reaches an agent.
func TestRefusalsRunNothing(t *testing.T) {
	const notesPath = "/v1/pipelines/notes"
	tests := []struct {
		name   string
		raw    string
		status int
		code   codes.Code
	}{
		{"unknown pipeline", request("POST", "/v1/pipelines/none", question), 404, codes.UnknownPipeline},
		{"unknown service", request("POST", "/v1/services/none/orders", "{}"), 404, codes.UnknownService},
		{"unknown route", request("POST", "/v1/services/orders/bills", "{}"), 404, codes.UnknownRoute},
		{"method without a route", request("DELETE", "/v1/services/orders/orders", ""), 404, codes.UnknownRoute},
		{"unknown path", request("GET", "/", ""), 404, codes.UnknownRoute},
		{"service without a path", request("POST", "/v1/services/orders", "{}"), 404, codes.UnknownRoute},
		{"path that the mux would redirect", request("POST", "/v1//pipelines/notes", question), 404, codes.UnknownRoute},
		{"path with dots", request("POST", "/v1/services/orders/../orders/orders", "{}"), 404, codes.UnknownRoute},
		{"wrong method", request("GET", notesPath, ""), 404, codes.UnknownRoute},
		{"OPTIONS method", request("OPTIONS", notesPath, ""), 404, codes.UnknownRoute},
		{"no token", strings.Replace(request("POST", notesPath, question), "Authorization", "X-Other", 1), 401, codes.BadToken},
		{"bad token", strings.Replace(request("POST", notesPath, question), "kranj-token", "guess", 1), 401, codes.BadToken},
		{"empty token", strings.Replace(request("POST", notesPath, question), "kranj-token", "", 1), 401, codes.BadToken},
		{"deadline without unit", request("POST", notesPath, question, "Verbena-Deadline: 250"), 400, codes.BadDeadline},
		{"negative deadline", request("POST", notesPath, question, "Verbena-Deadline: -1s"), 400, codes.BadDeadline},
		{"zero deadline", request("POST", notesPath, question, "Verbena-Deadline: 0s"), 400, codes.BadDeadline},
		{"deadline that overflows", request("POST", notesPath, question, "Verbena-Deadline: 99999999999h"), 400, codes.BadDeadline},
		{"unknown priority", request("POST", notesPath, question, "Verbena-Priority: top"), 400, codes.BadRequest},
		{"body that is not JSON", request("POST", notesPath, "input"), 400, codes.BadRequest},
		{"truncated JSON", request("POST", notesPath, `{"input": "a`), 400, codes.BadRequest},
		{"no input", request("POST", notesPath, `{"max-tokens": 3}`), 400, codes.BadRequest},
		{"negative tokens", request("POST", notesPath, `{"input": "a", "max-tokens": -3}`), 400, codes.BadRequest},
		{"no body", request("POST", notesPath, ""), 400, codes.BadRequest},
		{"non-idempotent call without key", request("POST", "/v1/services/orders/orders", "{}"), 400, codes.KeyRequired},
		{"long key", request("POST", "/v1/services/orders/orders", "{}", "Idempotency-Key: "+strings.Repeat("k", 256)), 431, codes.HeaderTooLarge},
		{"long header", request("POST", notesPath, question, "X-Long: "+strings.Repeat("h", 5000)), 431, codes.HeaderTooLarge},
		{"many headers", request("POST", notesPath, question, manyHeaders(2000)...), 431, codes.HeaderTooLarge},
		{"more header bytes than the server reads", request("POST", notesPath, question, manyHeaders(20000)...), 431, codes.HeaderTooLarge},
		{"header of 1 MB", request("POST", notesPath, question, "X-Long: "+strings.Repeat("h", 1<<20)), 431, codes.HeaderTooLarge},
		{"body just over the limit", request("POST", notesPath, strings.Repeat(" ", maxBodyBytes+1)), 413, codes.BodyTooLarge},
		{"body far over the limit", request("POST", notesPath, strings.Repeat(" ", 100*maxBodyBytes)), 413, codes.BodyTooLarge},
		{"chunked body just over the limit", chunked(maxBodyBytes + 1), 413, codes.BodyTooLarge},
		{"chunked body far over the limit", chunked(100 * maxBodyBytes), 413, codes.BodyTooLarge},
		{"invalid content length", request("POST", notesPath, "", "Content-Length: many"), 400, codes.BadRequest},
		{"invalid header line", request("POST", notesPath, question, "no colon\x01"), 400, codes.BadRequest},
		{"not HTTP", "\x16\x03\x01 hello\r\n\r\n", 400, codes.BadRequest},
		{"unknown method", request("BREW", notesPath, ""), 400, codes.BadRequest},
	}
	w := newWorld(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := w.send(t, tt.raw)
			is.Equal(a.status, tt.status)
			is.Equal(a.header.Get("Content-Type"), "application/json")
			is.Equal(a.error.Code, tt.code)
			is.Equal(a.error.Name, tt.code.Name())
			is.Equal(a.error.Outcome, codes.OutcomeNotRun)
			is.True(a.error.RequestID != "")
		})
	}
	is.New(t).Equal(len(w.calls()), 0)
}

func manyHeaders(count int) []string {
	lines := make([]string, count)
	for i := range lines {
		lines[i] = "X-Many: " + strings.Repeat("h", 16)
	}
	return lines
}

// chunked returns a request whose chunked body, without Content-Length, is at most one chunk longer
// than size.
func chunked(size int) string {
	const chunkBytes = 1024
	body := strings.Builder{}
	for range size / chunkBytes {
		body.WriteString("400\r\n" + strings.Repeat(" ", chunkBytes) + "\r\n")
	}
	body.WriteString("400\r\n" + strings.Repeat(" ", chunkBytes) + "\r\n0\r\n\r\n")
	return request("POST", "/v1/pipelines/notes", "", "Transfer-Encoding: chunked") + body.String()
}

// The answer to a HEAD request has no body: a client would read one as the beginning of the next
// response on the connection.
func TestHeadAnswerHasNoBody(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	const head = "HEAD /v1/pipelines/notes HTTP/1.1\r\nHost: a\r\n\r\n"
	conn, err := net.Dial("tcp", w.server.Address().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, head+strings.Replace(head, "Host: a", "Host: a\r\nConnection: close", 1))
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
	text, _ := io.ReadAll(conn)
	is.Equal(strings.Count(string(text), "HTTP/1.1 404"), 2)
	is.True(!strings.Contains(string(text), "unknown-route"))
}

func TestPriorityNeverExceedsTheTeams(t *testing.T) {
	tests := []struct{ requested, used string }{
		{"", "normal"}, {"urgent", "normal"}, {"normal", "normal"}, {"batch", "batch"},
	}
	for _, tt := range tests {
		t.Run("requested "+tt.requested, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			headerLines := []string{"Verbena-Priority: " + tt.requested}
			if tt.requested == "" {
				headerLines = nil
			}
			a := w.send(t, request("POST", "/v1/pipelines/notes", question, headerLines...))
			is.Equal(a.status, http.StatusOK)
			is.Equal(w.calls()[0].GetPriority(), tt.used)
		})
	}
}

func TestDeadlineIsNotExtendedByTheCaller(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.send(t, request("POST", "/v1/pipelines/notes", question, "Verbena-Deadline: 1h"))
	w.send(t, request("POST", "/v1/pipelines/notes", question, "Verbena-Deadline: 9s"))
	got := w.calls()
	is.True(time.Duration(got[0].GetRemainingNanos()) <= 20*time.Second)
	is.True(time.Duration(got[1].GetRemainingNanos()) <= 9*time.Second)
}

func TestAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	a := w.send(t, request("POST", "/v1/pipelines/notes", question))
	is.True(strings.Contains(a.text, `"text":"spruce"`))
	stream := w.send(t, request("POST", "/v1/pipelines/notes", question, "Accept: text/event-stream"))
	is.Equal(stream.header.Get("Content-Type"), "text/event-stream")
	is.True(strings.Contains(stream.text, "event: end\ndata: {\"code\":0,\"name\":\"ok\",\"outcome\":\"ran\""))
	order := request("POST", "/v1/services/orders/orders", `{"boards": 2}`, "Idempotency-Key: k1")
	first := w.send(t, order)
	is.Equal(first.status, http.StatusOK)
	is.Equal(w.send(t, strings.Replace(order, "boards\": 2", "boards\": 3", 1)).error.Code, codes.KeyConflict)
}

// A body of exactly the maximum size is accepted.
func TestBodyAtTheLimit(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	body := question + strings.Repeat(" ", maxBodyBytes-len(question))
	is.Equal(w.send(t, request("POST", "/v1/pipelines/notes", body)).status, http.StatusOK)
}

// Guards against unlimited memory use and engine work without end if a caller requests a stream and
// stops reading without closing the connection. The entry closes the connection, which ends the
// work of every stage.
func TestStalledReaderIsDisconnected(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	conn, err := net.Dial("tcp", w.server.Address().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, request("POST", "/v1/pipelines/notes", `{"input": "endless"}`, "Accept: text/event-stream"))
	is.NoErr(err)
	select {
	case <-w.endlessEnded:
	case <-time.After(30 * time.Second):
		t.Fatal("the agent still sends its answer after 30 s; bytes sent:", w.endlessBytes)
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	// The entry buffers up to 4 MB; the rest is in the socket buffers and the flow-control window
	// of the stream.
	is.True(w.endlessBytes < 32<<20)
}

// Guards against memory use that grows with bodies over the limit on many connections. Each body is
// refused by its Content-Length before it is read.
func TestLargeBodiesAreNotKeptInMemory(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const head = "POST /v1/pipelines/notes HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n"
	conns := make([]net.Conn, 100)
	for i := range conns {
		conn, err := net.Dial("tcp", w.server.Address().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		conns[i] = conn
		go runWrite(conn, head+strings.Repeat(" ", 4<<20))
	}
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
		start := make([]byte, len("HTTP/1.1 413"))
		_, err := io.ReadFull(conn, start)
		is.NoErr(err)
		is.Equal(string(start), "HTTP/1.1 413")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	// If the entry kept them in memory, the bodies would take 400 MB.
	is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) < 100<<20)
}

func TestResultCounts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.send(t, request("GET", "/", ""))
	w.send(t, request("POST", "/v1/pipelines/notes", strings.Repeat(" ", 2*maxBodyBytes)))
	counts := w.router.GetResults().GetCounts()
	is.Equal(counts["unknown-route"], uint64(1))
	is.Equal(counts["body-too-large"], uint64(1))
	is.Equal(caller.HeaderIdempotencyKey, "Idempotency-Key")
}
