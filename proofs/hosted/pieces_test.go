package hosted_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/cutter"
	"verbenaroad.example/fakes/services/hosted"
	"verbenaroad.example/proofs/relay"
)

// pieces is a deployment with engines whose answers a test writes itself, byte by byte.
type pieces struct {
	*deployment
	engines []*cutter.Server
}

// pieceRoutes maps the routes of these engines to their types.
func pieceRoutes() map[string]string {
	return map[string]string{"resumable": "streaming", "stream": "streaming", "piece-read": "safe", "piece-order": "unsafe"}
}

// newPieces starts an ingress and two engines, behind relays if these are in the way.
func newPieces(t *testing.T, isRelayed bool, answer func(*http.Request) cutter.Answer) *pieces {
	t.Helper()
	p := &pieces{deployment: newDeployment(t, 1)}
	for n := range 2 {
		e := &cutter.Server{Handler: answer}
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		p.engines = append(p.engines, e)
		address := e.Address()
		if isRelayed {
			r, err := relay.NewRelay(address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			address = r.Address()
		}
		p.Store.Put(fmt.Sprintf("servers/i-piece-%d", n), map[string]any{
			"Service": "pieces", "Address": address.String(), "Zone": "a1", "Version": "v1", "Slots": 60, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": 1, "born": 1,
		})
	}
	for name, kind := range pieceRoutes() {
		p.addedRoutes = append(p.addedRoutes, hosted.Route{
			"Name": name, "Host": host, "Prefix": "/" + name + "/", "Type": kind, "Service": "pieces", "TimeoutMs": 8000,
			"TargetLatencyMs": 2000, "TargetGapMs": 500, "MaxAttempts": 2, "Resumable": name == "resumable", "Priority": 2,
		})
	}
	engine := services()[1]
	engine["Name"] = "pieces"
	p.addedServices = []map[string]any{engine}
	version := p.putConfig(tenants())
	i := p.ingresses[0]
	eventually(t, "the version is in force", i.hasApplied(version))
	eventually(t, "the engines are known", func() bool { return len(i.output.lines("event=server-seen", "server=i-piece-")) == 2 })
	return p
}

// renderEvents returns an answer with the events after Last-Event-Id up to the last one.
func (f framing) renderEvents(r *http.Request, last int, pause time.Duration) cutter.Answer {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events := []string{}
	for n := after + 1; n <= last; n++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: x\n\n", n))
	}
	text, _ := f.render(r.Header.Get("X-Verbenaroad-Attempt-Id"), streamHeader, events)
	return cutter.Answer{Text: text, Sent: len(text), Pause: pause}
}

// checkPieces checks that a stream lacks no event up to its last one, and holds none twice.
func checkPieces(t *testing.T, body string) (events int) {
	t.Helper()
	for n, event := range strings.SplitAfter(body, "\n\n") {
		if event == "" || !strings.HasSuffix(event, "\n\n") {
			break
		}
		events++
		if id := eventIDs(event); id != strconv.Itoa(n+1) {
			t.Errorf("event %d of a stream has the ID %s", n+1, id)
		}
	}
	return events
}

// Guards against an answer that ends as complete too early, because its server was killed and it has neither a length nor
// chunks: the kernel ends the connection as a server does that has sent all.
func TestAnswerOfAKilledServerIsNotTakenForWhole(t *testing.T) {
	const requests, events = 8, 16
	for _, f := range []framing{byLength, byChunks, byClose} {
		for _, isRelayed := range []bool{false, true} {
			t.Run(fmt.Sprint(f, " relayed=", isRelayed), func(t *testing.T) {
				t.Parallel()
				p := newPieces(t, isRelayed, func(r *http.Request) cutter.Answer { return f.renderEvents(r, events, 50*time.Millisecond) })
				lock, done, ends, sentTo := sync.Mutex{}, sync.WaitGroup{}, map[string]int{}, map[string]int{}
				for route, kind := range pieceRoutes() {
					if kind != "streaming" && isRelayed && f == byClose {
						continue // the end of a plain answer does not wait for a relay to close a new connection
					}
					sentTo[route] = requests
					for range requests {
						done.Go(func() {
							got := p.ingresses[0].send(context.Background(), newRequest("/"+route+"/1"))
							lock.Lock()
							defer lock.Unlock()
							passed, isWhole := checkPieces(t, got.body), got.err == nil && got.status == http.StatusOK
							ends[fmt.Sprint(route, " complete=", passed == events, " whole=", isWhole)]++
							if isWhole != (passed == events) {
								t.Errorf("%s: an answer of %d events has %d, whole=%v: %v", route, events, passed, isWhole, got.err)
							}
						})
					}
				}
				time.Sleep(400 * time.Millisecond)
				p.engines[0].Close()
				done.Wait()
				t.Log(ends)
				for _, route := range []string{"resumable", "piece-read"} {
					if sent, whole := sentTo[route], ends[route+" complete=true whole=true"]; whole != sent {
						t.Errorf("%s: only %d of %d requests that may run again are answered", route, whole, sent)
					}
				}
				for _, route := range []string{"stream", "piece-order"} {
					if sentTo[route] > 0 && ends[route+" complete=false whole=false"] == 0 {
						t.Errorf("%s: no request ran at the server that was killed", route)
					}
				}
			})
		}
	}
}

// Guards against a stream to a caller of HTTP/1.0 that ends as complete before its last event, because its ingress is killed:
// such an answer ends with its connection, and the kernel closes it.
func TestStreamOfAKilledIngressToACallerOfHTTP10IsReset(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.slowStreams()
	for _, isKilled := range []bool{false, true} {
		conn, err := net.Dial("tcp", d.ingresses[0].callerAddress.String())
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "POST /advice/1 HTTP/1.0\r\nHost: %s\r\nX-Verbenaroad-Attempt-Id: %s\r\nX-Verbenaroad-Key: key-1\r\nContent-Length: 1\r\n\r\nx", host, newRequest("").id)
		is.NoErr(err)
		if isKilled {
			time.Sleep(midStream)
			d.ingresses[0].kill()
		}
		text, err := io.ReadAll(conn)
		_, body, _ := strings.Cut(string(text), "\r\n\r\n")
		is.Equal(checkPieces(t, body) == d.engines[0].Events, !isKilled)
		is.Equal(err == nil, !isKilled)
	}
}
