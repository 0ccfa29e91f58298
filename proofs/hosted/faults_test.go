package hosted_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

// A non-idempotent order reaches a server that has one of the faults of the stand-in. Whatever the
// fault, the order must run at most once, and the answer may carry Retry-After only if the order
// did not run and never will.
func TestOrderRunsAtMostOnce(t *testing.T) {
	d := newDeployment(t, 1)
	for _, c := range []struct {
		fault  hosted.Fault
		status int
		runs   int
	}{
		{hosted.NoFault, http.StatusOK, 1},
		{hosted.CutAfterRun, http.StatusBadGateway, 1},
		{hosted.UnclassifiedFailure, http.StatusBadGateway, 1},
		{hosted.WrongID, http.StatusBadGateway, 1},
		{hosted.Unsigned, http.StatusBadGateway, 1},
		{hosted.Truncate, http.StatusBadGateway, 1},
		{hosted.Fail, http.StatusInternalServerError, 1},
		{hosted.Hang, http.StatusGatewayTimeout, 1},
		{hosted.RefuseNotRun, http.StatusServiceUnavailable, 0},
	} {
		t.Run("fault "+string(c.fault), func(t *testing.T) {
			is := is.New(t)
			for _, s := range d.plainServers {
				s.SetFaults(c.fault, c.fault, c.fault)
			}
			q := newRequest("/order/1")
			got := d.ingresses[0].send(context.Background(), q)
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(len(d.Runs(q.id)), c.runs)
			is.Equal(got.header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			if c.status != http.StatusOK && c.fault != hosted.Fail {
				is.Equal(got.header.Get("X-Verbenaroad-Replica-Signature"), "")
			}
			for _, s := range d.plainServers {
				s.SetFaults()
			}
		})
	}
}

// The local server refuses an order and reports that it did not run it. The order must go to the
// other server.
func TestRefusedOrderIsRetriedOnAnotherServer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.plainServers[0].SetFaults(hosted.RefuseNotRun)
	q := newRequest("/order/1")
	got := d.ingresses[0].send(context.Background(), q)
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(d.Runs(q.id)), 1)
	is.Equal(d.Runs(q.id)[0].Server, d.plainServers[1].ID)
}

// A server has crashed and its entry is still in the store. An order cannot be sent to it, so it
// must go to another server. When all servers have crashed, callers must receive status 503
// within a second, which states that their order did not run. A restarted server must be used
// again.
func TestCrashedServers(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.plainServers[0].Crash()
	q := newRequest("/order/1")
	is.Equal(d.ingresses[0].send(context.Background(), q).status, http.StatusOK)
	is.Equal(len(d.Runs(q.id)), 1)
	d.plainServers[1].Crash()
	got := d.ingresses[0].send(context.Background(), newRequest("/order/1"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.took < time.Second)
	is.NoErr(d.plainServers[0].Restart())
	eventually(t, "the restarted server is used", func() bool {
		return d.ingresses[0].send(context.Background(), newRequest("/order/1")).status == http.StatusOK
	})
}

// A server fails while it answers a read. Reads are idempotent, so the ingress must retry them, but
// with no more attempts than the route allows.
func TestReadsAreRetried(t *testing.T) {
	for _, fault := range []hosted.Fault{hosted.Fail, hosted.CutAfterRun, hosted.Truncate, hosted.WrongID, hosted.Hang} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1)
			d.plainServers[0].SetFaults(fault)
			q := newRequest("/read/1")
			q.method = http.MethodGet
			q.body = ""
			got := d.ingresses[0].send(context.Background(), q)
			is.Equal(got.status, http.StatusOK)
			is.Equal(len(d.Runs(q.id)), 2)

			d.plainServers[0].SetFaults(fault, fault)
			d.plainServers[1].SetFaults(fault, fault)
			q = newRequest("/read/2")
			got = d.ingresses[0].send(context.Background(), q)
			is.True(got.status >= http.StatusInternalServerError)
			is.Equal(len(d.Runs(q.id)), 2)
		})
	}
}

// A read goes to the only server that takes new work. The server runs it and cuts the connection,
// and no server is left for a retry. The answer must not state that the request did not run.
func TestNoRefusalAfterARun(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.plainServers[1].Register("draining")
	eventually(t, "the drain is observed", func() bool { return len(d.ingresses[0].output.lines(d.plainServers[1].ID, "state=draining")) == 1 })
	d.plainServers[0].SetFaults(hosted.CutAfterRun)
	q := newRequest("/read/1")
	got := d.ingresses[0].send(context.Background(), q)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(len(d.Runs(q.id)), 1)

	// The same holds for a stream that breaks off before its first event, with no other engine left.
	d.engines[1].Register("draining")
	eventually(t, "the drain is observed", func() bool { return len(d.ingresses[0].output.lines(d.engines[1].ID, "state=draining")) == 1 })
	d.engines[0].SetFaults(hosted.CutBeforeAnswer)
	q = newReview()
	got = d.ingresses[0].send(context.Background(), q)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(len(d.Runs(q.id)), 1)
}

// An engine cuts a stream in the middle of an event. A resumable stream must continue on another
// engine after the last complete event, within the same answer. A stream that is not resumable must
// end with an error, so that it does not look complete.
func TestBrokenStream(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, e := range d.engines {
		e.SetFaults(hosted.CutStream)
	}
	q := newReview()
	got := d.ingresses[0].send(context.Background(), q)
	runs := d.Runs(q.id)
	is.Equal(len(runs), 2)
	is.Equal(runs[0].Header.Get("Last-Event-Id")+runs[1].Header.Get("Last-Event-Id"), "2")
	is.True(got.err != nil) // the second engine cut the stream as well
	is.Equal(eventIDs(got.body), "1,2,3,4")

	q = newReview()
	d.engines[0].SetFaults(hosted.CutStream)
	d.engines[1].SetFaults()
	for range 2 {
		q = newReview()
		got = d.ingresses[0].send(context.Background(), q)
		is.NoErr(got.err)
		is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
	}

	for _, e := range d.engines {
		e.SetFaults(hosted.CutStream)
	}
	q = newRequest("/advice/1")
	got = d.ingresses[0].send(context.Background(), q)
	is.True(got.err != nil)
	is.Equal(eventIDs(got.body), "1,2")
	is.Equal(len(d.Runs(q.id)), 1)
}

// An engine answers a stream request with status 500, a short text and no events. A resumable
// stream must be retried on another engine. Otherwise the caller must get the failure complete and
// unchanged.
func TestFailedStream(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, e := range d.engines {
		e.SetFaults(hosted.Fail)
	}
	q := newRequest("/advice/1")
	got := d.ingresses[0].send(context.Background(), q)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusInternalServerError)
	is.Equal(got.body, "failed")
	is.True(got.header.Get("X-Verbenaroad-Replica-Signature") != "")
	is.Equal(len(d.Runs(q.id)), 1)

	d.engines[0].SetFaults(hosted.Fail)
	d.engines[1].SetFaults()
	for range 2 {
		got = d.ingresses[0].send(context.Background(), newReview())
		is.NoErr(got.err)
		is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
	}
}

// A pool's answer is lost after its results were produced. They must be produced again, and no item
// may get the results of another request as its inputs.
func TestLostResultsAreProducedAgain(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, p := range d.poolServers {
		p.SetFaults(hosted.CutAfterRun)
	}
	for _, i := range d.ingresses {
		got := i.send(context.Background(), newReview())
		is.NoErr(got.err)
		is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
	}
	is.Equal(d.Violations(), []string{})
}

// The second stage of a request fails on its server, after the results of the first stage were
// released because that server had fetched them. Without its inputs the second stage cannot be
// retried on another server, so the ingress must restart the chain from its first stage. Inputs are
// released this early only from servers that have reported that they are idle.
func TestChainRestartsWhenInputsAreGone(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, p := range d.poolServers {
		p.WorkTime = 300 * time.Millisecond
	}
	ingress := d.ingresses[0]
	for range 4 { // until both pool servers have reported that they are idle
		is.Equal(ingress.send(context.Background(), newReview()).status, http.StatusOK)
	}
	q := newReview()
	answers := make(chan answer, 1)
	go func() { answers <- ingress.send(context.Background(), q) }()
	eventually(t, "the second stage has its inputs", func() bool {
		return len(ingress.output.lines("event=inputs-released", "request="+q.id)) > 0
	})
	for _, p := range d.poolServers {
		p.SetFaults(hosted.CutAfterRun)
	}
	got := <-answers
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
	is.Equal(len(ingress.output.lines("event=chain-restarted", "request="+q.id)), 1)
	is.Equal(len(d.Runs(q.id)), 1)
	eventually(t, "all results are released", func() bool { return d.HeldResults() == 0 })
	is.Equal(d.Violations(), []string{})
}

// Another writer has put unreadable and invalid entries among the servers, and an unreadable
// configuration is written. The ingress must ignore them and keep the servers and the configuration
// that it has.
func TestUnreadableRecordsInTheStore(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for key, value := range map[string]string{
		"servers/x1": "\x00\xff", "servers/x2": `{"Service":7}`, "servers/x3": `{"Service":"orders","State":"ready"}`,
		"servers/x4": `{"Service":"orders","Address":"here:1","State":"ready"}`,
		"servers/x5": `{"Service":"orders","Address":"127.0.0.1:1","State":"sleepy"}`,
		"op/config":  `{"Version":"new"}`, "op/other": "x",
	} {
		d.Store.PutRaw(key, []byte(value))
	}
	eventually(t, "the ingress has logged the unreadable records", func() bool {
		o := d.ingresses[0].output
		return len(o.lines("event=server-unreadable")) >= 5 && len(o.lines("event=config-kept", "unreadable")) == 1
	})
	for range 6 {
		is.Equal(d.ingresses[0].send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
	}
}

// A client opens many more connections than the ingress may have, and leaves them idle. The ingress
// must close idle connections and still accept the orders of other callers.
func TestFloodOfConnections(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for range 300 {
		conn, err := net.Dial("tcp", d.ingresses[0].callerAddress.String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
	}
	for range 5 {
		is.Equal(d.ingresses[0].send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
	}
	is.True(len(d.ingresses[0].output.lines("event=connection-closed")) >= 200)
}

// Malformed bytes arrive on the port for callers and on the port for peers. Both ingresses must
// still serve.
func TestMalformedBytesOnThePorts(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, text := range []string{"\x16\x03\x01\x00", "GET", strings.Repeat("A", 1<<16), "POST / HTTP/9.9\r\n\r\n"} {
		for _, address := range []string{d.ingresses[0].callerAddress.String(), d.ingresses[0].peerAddress.String()} {
			sendRaw(t, address, text)
		}
	}
	is.Equal(d.ingresses[0].send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
	got := d.ingresses[1].send(context.Background(), newReview())
	is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
}

// Guards against a plain answer that ends with its connection being taken for broken, and against one that was
// reset on the way looking complete, whether it is buffered or relayed as it arrives.
func TestPlainAnswersThatEndWithTheirConnection(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, bytes := range []int{0, 3 << 20} {
		for _, s := range d.plainServers {
			s.AnswerBytes = bytes
			s.SetFaults(hosted.Unframed)
		}
		q := newRequest("/order/1")
		got := d.ingresses[0].send(context.Background(), q)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.True(len(got.body) >= bytes && strings.HasPrefix(got.body, "answer of ") && strings.Contains(got.body, q.id))

		for _, s := range d.plainServers {
			s.SetFaults(hosted.UnframedReset)
		}
		got = d.ingresses[0].send(context.Background(), newRequest("/order/1"))
		is.True(got.err != nil || got.status == http.StatusBadGateway)
		for _, s := range d.plainServers {
			s.SetFaults()
		}
	}
}

// Guards against a stream that ends inside an event being taken for complete because it has neither a length nor
// chunks. It must go on at another engine, or end with an error if it may not.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, e := range d.engines {
		e.SetFaults(hosted.Unframed)
	}
	got := d.ingresses[0].send(context.Background(), newReview())
	is.NoErr(got.err)
	is.Equal(eventIDs(got.body), "1,2,3,4,5,6")

	for _, e := range d.engines {
		e.SetFaults(hosted.UnframedStop)
	}
	q := newReview()
	got = d.ingresses[0].send(context.Background(), q)
	is.Equal(eventIDs(got.body), "1,2,3,4")
	is.True(got.err != nil) // the second engine stopped inside an event as well
	is.Equal(len(d.Runs(q.id)), 2)

	d.engines[0].SetFaults(hosted.UnframedStop)
	d.engines[1].SetFaults()
	for range 2 {
		got = d.ingresses[0].send(context.Background(), newReview())
		is.NoErr(got.err)
		is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
	}

	for _, e := range d.engines {
		e.SetFaults(hosted.UnframedStop)
	}
	got = d.ingresses[0].send(context.Background(), newRequest("/advice/1"))
	is.True(got.err != nil)
	is.Equal(eventIDs(got.body), "1,2")
}

// Guards against passing on the head of an answer before its first event: if the engine then breaks, or the ingress stops,
// the caller gets a broken answer in place of an error.
func TestStreamWhoseEngineBreaksBeforeItsFirstEventEndsWithAnError(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, e := range d.engines {
		e.EarlyHead = true
		e.SetFaults(hosted.CutBeforeAnswer)
	}
	got := d.ingresses[0].send(context.Background(), newRequest("/advice/1"))
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway)
	is.True(strings.Contains(got.body, `"name":"backend-lost"`))

	got = d.ingresses[0].send(context.Background(), newReview())
	is.NoErr(got.err) // the other engine
	is.Equal(eventIDs(got.body), "1,2,3,4,5,6")
}

// Guards against a request that ends the process of an ingress, since it asks for more results than any memory holds,
// and with it all other requests there.
func TestRequestOfTooManyResultsIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, i := range d.ingresses {
		for _, counts := range []string{"2,1796401285807920149", "1796401285807920149,3", "2,2000000000"} {
			q := newReview()
			q.header["X-Verbenaroad-Segment-Count"] = counts
			got := i.send(context.Background(), q)
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.took < time.Second)
			is.True(!i.hasExited())
			is.Equal(i.send(context.Background(), newReview()).status, http.StatusOK)
		}
	}
}

// Guards against requests that a stopping ingress holds, or has the stages made of, until the end of its grace period, and
// whose connections it then closes without an answer although no server has run them.
func TestStoppingIngressAnswersWhatItHasNotSent(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, s := range d.poolServers {
		s.WorkTime = 1200 * time.Millisecond
	}
	changed := services()
	changed[2]["Segments"].(map[string]any)["CallMs"] = 1200 //nolint:forcetypeassert // services writes it so
	version := d.PutConfig(routes(), changed, tenants())
	stopped := d.ingresses[0]
	eventually(t, "the version is in force", stopped.hasApplied(version))
	type result struct {
		q request
		a answer
	}
	results := make(chan result)
	const requests = 60
	for n := range requests {
		q := newReview()
		q.callerTimeout = 20 * time.Second
		q.header["X-Verbenaroad-Segment-Count"] = "8,8"
		go func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			results <- result{q, stopped.send(context.Background(), q)}
		}()
	}
	time.Sleep(800 * time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	answers := map[int]int{}
	for range requests {
		r := <-results
		answers[r.a.status]++
		runs := d.Runs(r.q.id)
		switch {
		case r.a.err != nil && len(runs) == 0 && r.a.took > time.Second:
			t.Errorf("%s was closed without an answer after %v, and was not run: %v", r.q.id, r.a.took, r.a.err)
		case r.a.status == http.StatusServiceUnavailable:
			is.Equal(len(runs), 0)
		}
	}
	t.Logf("answers by status: %v", answers)
	<-stopped.exited
	is.Equal(len(stopped.output.lines("event=stopped", "cut=0")), 1)
}
