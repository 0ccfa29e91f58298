package hosted_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/cutter"
	"verbenaroad.example/fakes/services/hosted"
)

// framing is a way in which a server marks the end of an answer.
type framing string

const (
	byLength   framing = "length"
	byChunks   framing = "chunks"
	byTrailer  framing = "chunks and a trailer"
	byBareLine framing = "lines without carriage returns"
	afterHints framing = "after a 103"
	byClose    framing = "end of the connection"
)

func framings() []framing {
	return []framing{byLength, byChunks, byTrailer, byBareLine, afterHints, byClose}
}

// render returns an answer to an attempt.
func (f framing) render(attempt, header string, parts []string) (text string, headBytes int) {
	body := strings.Join(parts, "")
	head := "HTTP/1.1 200 OK\r\nX-Verbenaroad-Attempt-Id: " + attempt + "\r\nX-Verbenaroad-Replica-Signature: s\r\n" + header
	switch f {
	case byLength, byBareLine, afterHints:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	case byChunks, byTrailer:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		body = ""
		for _, part := range parts {
			body += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		body += "0\r\n"
		if f == byTrailer {
			body += "X-Sum: 1\r\n"
		}
		body += "\r\n"
	case byClose:
		head += "\r\n"
	}
	if f == byBareLine {
		head = strings.ReplaceAll(head, "\r\n", "\n")
	}
	if f == afterHints {
		head = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head
	}
	return head + body, len(head)
}

// cuts is a deployment whose servers stop their answers after a number of bytes.
type cuts struct {
	*deployment
	framing framing

	lock sync.Mutex
	// answerCut is the number of bytes of the first answer to the present attempt, callCut that of the first pool call.
	answerCut, callCut int
	// handles are the results of the last pool call that was answered whole, inputs those with which an engine was sent
	// the present attempt.
	handles, inputs string
}

// wholeAnswer is the number of bytes of an answer that does not stop.
const wholeAnswer = 1 << 20

// add starts a server and registers it.
func (c *cuts) add(id, service string, handler func(*http.Request) cutter.Answer) {
	c.t.Helper()
	s := &cutter.Server{Handler: handler}
	if err := s.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(s.Close)
	c.Store.Put("servers/"+id, map[string]any{
		"Service": service, "Address": s.Address().String(), "Zone": "a1", "Version": "v1", "Slots": 6, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1, "born": 1,
	})
}

// take returns how many bytes of an answer are sent. The next answer is sent whole.
func (c *cuts) take(cut *int, text string) int {
	sent := min(*cut, len(text))
	*cut = wholeAnswer
	return sent
}

func (c *cuts) answerPlain(r *http.Request) cutter.Answer {
	c.lock.Lock()
	defer c.lock.Unlock()
	id := r.Header.Get("X-Verbenaroad-Attempt-Id")
	text, _ := c.framing.render(id, "", []string{"answer to ", id})
	return cutter.Answer{Text: text, Sent: c.take(&c.answerCut, text)}
}

func (c *cuts) answerStream(r *http.Request) cutter.Answer {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.inputs = r.Header.Get("X-Verbenaroad-Input-Count")
	text, _ := c.framing.render(r.Header.Get("X-Verbenaroad-Attempt-Id"), streamHeader, threeEvents(r))
	return cutter.Answer{Text: text, Sent: c.take(&c.answerCut, text)}
}

// answerCall answers a pool call for two results.
func (c *cuts) answerCall(r *http.Request) cutter.Answer {
	c.lock.Lock()
	defer c.lock.Unlock()
	if r.URL.Path != "/api/stage-run" {
		return cutter.Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Sent: wholeAnswer}
	}
	first := fmt.Sprintf("127.0.0.1:9/%d", lastAttemptID.Add(1))
	text, _ := c.framing.render("", "Content-Type: application/json\r\n", []string{`{"Items":[{"Handle":"` + first, `1"},{"Handle":"` + first, `2"}]}`})
	if c.callCut >= len(text) {
		c.handles = first + "1," + first + "2"
	}
	return cutter.Answer{Text: text, Sent: c.take(&c.callCut, text)}
}

// setCuts sets after how many bytes the next answers stop.
func (c *cuts) setCuts(answerCut, callCut int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.answerCut, c.callCut = answerCut, callCut
	c.handles, c.inputs = "", ""
}

const streamHeader = "Content-Type: text/event-stream\r\n"

func threeEvents(r *http.Request) []string {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events := []string{}
	for n := after + 1; n <= 3; n++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s\n\n", n, r.Header.Get("X-Verbenaroad-Attempt-Id")))
	}
	return events
}

// cutRoutes returns routes of the servers whose answers stop: plain ones that may run twice and once, streams that may go on at
// another engine or not, and a stream with a stage.
func cutRoutes() []hosted.Route {
	route := func(name, kind, service string, attempts int, resumable bool) hosted.Route {
		return hosted.Route{
			"Name": name, "Host": host, "Prefix": "/" + name + "/", "Type": kind, "Service": service, "TimeoutMs": 3000,
			"TargetLatencyMs": 1000, "TargetGapMs": 500, "MaxAttempts": attempts, "Resumable": resumable, "Priority": 2,
		}
	}
	staged := route("cutstaged", "streaming", "cutengine", 1, false)
	staged["Stages"] = []map[string]any{{"Service": "cutpool", "After": []int{}, "SizeBytes": 1000}}
	return []hosted.Route{
		route("cutorder", "unsafe", "cutplain", 1, false), route("cutread", "safe", "cutplain", 2, false),
		route("cutstream", "streaming", "cutengine", 1, false), route("cutnovel", "streaming", "cutengine", 2, true), staged,
	}
}

// newCuts starts an ingress and servers of the routes of cutRoutes.
func newCuts(t *testing.T, f framing) *cuts {
	t.Helper()
	c := &cuts{deployment: newDeployment(t, 1), framing: f}
	c.addedRoutes = cutRoutes()
	engine, pool := services()[1], services()[2]
	engine["Name"], pool["Name"] = "cutengine", "cutpool"
	c.addedServices = []map[string]any{{"Name": "cutplain", "HealthPath": "/healthz", "MaxConnections": 100}, engine, pool}
	c.add("i-cut-0", "cutplain", c.answerPlain)
	c.add("i-cut-1", "cutengine", c.answerStream)
	c.add("i-cut-2", "cutengine", c.answerStream)
	c.add("i-cut-3", "cutpool", c.answerCall)
	version := c.putConfig(tenants())
	i := c.ingresses[0]
	eventually(t, "the version is in force", i.hasApplied(version))
	eventually(t, "the servers are known", func() bool { return len(i.output.lines("event=server-seen", "server=i-cut-")) == 4 })
	return c
}

// send sends a request to a route.
func (c *cuts) send(route, lastEvent string) (answer, request) {
	q := newRequest("/" + route + "/1")
	q.body = q.id
	q.header = map[string]string{"X-Verbenaroad-Segment-Count": "2", "X-Verbenaroad-Segment-Key": q.id}
	if lastEvent != "" {
		q.header["Last-Event-Id"] = lastEvent
	}
	return c.ingresses[0].send(context.Background(), q), q
}

// Guards against an answer that stops, in its head or later, and that its caller gets as a whole one: as a success with an empty
// or a short body, or as a stream that ends before its last event.
func TestAnswersThatStopAreNeverWhole(t *testing.T) {
	for _, f := range framings() {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			c := newCuts(t, f)
			for _, route := range []string{"cutorder", "cutread", "cutstream", "cutnovel"} {
				c.checkAnswers(route, "")
			}
			c.checkAnswers("cutnovel", "1")
			c.checkCalls()
		})
	}
}

// checkAnswers sends a request for each number of bytes after which its answer stops. An answer that ends with its connection is
// whole once its head is, and a stream at the end of an event; one that is taken up also if it brings no further event.
func (c *cuts) checkAnswers(route, lastEvent string) {
	isStream := route == "cutstream" || route == "cutnovel"
	newBody := func(id string) (header string, parts []string) {
		if !isStream {
			return "", []string{"answer to ", id}
		}
		r := &http.Request{Header: http.Header{"X-Verbenaroad-Attempt-Id": {id}, "Last-Event-Id": {lastEvent}}}
		return streamHeader, threeEvents(r)
	}
	header, parts := newBody("0123456789abcdef")
	text, headBytes := c.framing.render("0123456789abcdef", header, parts)
	ends := map[string]int{}
	for cut := 0; cut <= len(text); cut++ {
		c.setCuts(cut, wholeAnswer)
		got, q := c.send(route, lastEvent)
		_, parts := newBody(q.id)
		complete := strings.Join(parts, "")
		wanted := []string{complete}
		mustServe := cut == len(text)
		if c.framing == byClose && cut >= headBytes {
			ended := complete[:cut-headBytes]
			if !isStream || ended == "" && lastEvent != "" || strings.HasSuffix(ended, "\n\n") {
				wanted, mustServe = append(wanted, ended), true
			}
		}
		isServed := got.err == nil && got.status == http.StatusOK
		ends[fmt.Sprint(got.status, " whole=", got.err == nil)]++
		if isServed && !slices.Contains(wanted, got.body) {
			c.t.Errorf("%s, cut after %d of %d bytes: 200 with %q, framed as whole", route, cut, len(text), got.body)
		}
		if mustServe && !isServed {
			c.t.Errorf("%s, whole after %d of %d bytes: status %d, error %v", route, cut, len(text), got.status, got.err)
		}
	}
	c.t.Logf("%s: %v", route, ends)
}

// checkCalls sends a request for each number of bytes after which the answer to its pool call stops. Its engine must get the
// results of a whole answer.
func (c *cuts) checkCalls() {
	text, _ := c.framing.render("", "Content-Type: application/json\r\n", []string{`{"Items":[{"Handle":"127.0.0.1:9/12345`, `1"},{"Handle":"127.0.0.1:9/12345`, `2"}]}`})
	ends := map[string]int{}
	for cut := 0; cut <= len(text); cut++ {
		c.setCuts(wholeAnswer, cut)
		got, q := c.send("cutstaged", "")
		ends[fmt.Sprint(got.status, " whole=", got.err == nil)]++
		c.lock.Lock()
		handles, inputs := c.handles, c.inputs
		c.lock.Unlock()
		if inputs != handles {
			c.t.Errorf("%s, call cut after %d of %d bytes: sent with the results %q in place of %q", q.id, cut, len(text), inputs, handles)
		}
	}
	c.t.Logf("cutstaged: %v", ends)
}

// Guards against an empty success for a caller that closes its side of the connection after its request: to the HTTP server it
// has left, but it still reads.
func TestCallerThatClosesItsSideGetsNoEmptySuccess(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, target := range []string{"/order/1", "/advice/1"} {
		conn, err := net.Dial("tcp", d.ingresses[0].callerAddress.String())
		is.NoErr(err)
		q := newRequest(target)
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Verbenaroad-Attempt-Id: %s\r\nX-Verbenaroad-Key: key-1\r\nContent-Length: 1\r\n\r\nx", target, host, q.id)
		is.NoErr(err)
		time.Sleep(5 * time.Millisecond)
		is.NoErr(conn.(*net.TCPConn).CloseWrite())
		got, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		body, err := io.ReadAll(got.Body)
		is.NoErr(err)
		is.Equal(got.StatusCode, http.StatusBadGateway)
		is.True(strings.Contains(string(body), `"name":"canceled"`))
	}
}

// Guards against a broken answer that looks whole to a caller of HTTP/1.0, for which an answer without a length ends with its
// connection.
func TestBrokenAnswerToACallerOfHTTP10IsReset(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, fault := range []hosted.Fault{hosted.NoFault, hosted.CutStream} {
		for _, e := range d.engines {
			e.SetFaults(fault)
		}
		conn, err := net.Dial("tcp", d.ingresses[0].callerAddress.String())
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "POST /advice/1 HTTP/1.0\r\nHost: %s\r\nX-Verbenaroad-Attempt-Id: %s\r\nX-Verbenaroad-Key: key-1\r\nContent-Length: 1\r\n\r\nx", host, newRequest("").id)
		is.NoErr(err)
		text, err := io.ReadAll(conn)
		is.True(strings.HasPrefix(string(text), "HTTP/1.0 200 OK\r\n"))
		is.Equal(err == nil, fault == hosted.NoFault)
		is.Equal(strings.HasSuffix(eventIDs(string(text)), "6"), fault == hosted.NoFault)
	}
}
