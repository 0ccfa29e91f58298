package hosted_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

// A timber order is in a server's hands when something goes wrong. Whatever it
// is, the order must run at most once, and a caller that is told to come back
// must hear so of an order only that did not run and never will.
func TestOrderRunsAtMostOnce(t *testing.T) {
	d := newDeployment(t, 1)
	for _, c := range []struct {
		fault  hosted.Fault
		status int
		runs   int
	}{
		{hosted.Well, http.StatusOK, 1},
		{hosted.CutAfterRun, http.StatusBadGateway, 1},
		{hosted.Vague, http.StatusBadGateway, 1},
		{hosted.WrongID, http.StatusBadGateway, 1},
		{hosted.Unsigned, http.StatusBadGateway, 1},
		{hosted.Truncate, http.StatusBadGateway, 1},
		{hosted.Fail, http.StatusInternalServerError, 1},
		{hosted.Hang, http.StatusGatewayTimeout, 1},
		{hosted.Shed, http.StatusServiceUnavailable, 0},
	} {
		t.Run("fault "+string(c.fault), func(t *testing.T) {
			is := is.New(t)
			for _, s := range d.plain {
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
			for _, s := range d.plain {
				s.SetFaults()
			}
		})
	}
}

// The nearest server refuses an order, which it did not run. Another one takes it.
func TestRefusedOrderGoesToAnotherServer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.plain[0].SetFaults(hosted.Shed)
	q := newRequest("/order/1")
	got := d.ingresses[0].send(context.Background(), q)
	is.Equal(got.status, http.StatusOK)
	is.Equal(len(d.Runs(q.id)), 1)
	is.Equal(d.Runs(q.id)[0].Server, d.plain[1].ID)
}

// A server has crashed and its entry is still in the store. Nothing was sent, so
// orders go elsewhere; when all have crashed callers hear at once that theirs did not run.
func TestCrashedServers(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.plain[0].Crash()
	q := newRequest("/order/1")
	is.Equal(d.ingresses[0].send(context.Background(), q).status, http.StatusOK)
	is.Equal(len(d.Runs(q.id)), 1)
	d.plain[1].Crash()
	got := d.ingresses[0].send(context.Background(), newRequest("/order/1"))
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.took < time.Second)
	is.NoErr(d.plain[0].Restart())
	eventually(t, "the restarted server is used", func() bool {
		return d.ingresses[0].send(context.Background(), newRequest("/order/1")).status == http.StatusOK
	})
}

// A catalogue entry is read from a server that fails. Reads may be repeated, at as
// many servers as the route allows and no more.
func TestReadsAreRepeated(t *testing.T) {
	for _, fault := range []hosted.Fault{hosted.Fail, hosted.CutAfterRun, hosted.Truncate, hosted.WrongID, hosted.Hang} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1)
			d.plain[0].SetFaults(fault)
			q := newRequest("/read/1")
			q.method = http.MethodGet
			q.body = ""
			got := d.ingresses[0].send(context.Background(), q)
			is.Equal(got.status, http.StatusOK)
			is.Equal(len(d.Runs(q.id)), 2)

			d.plain[0].SetFaults(fault, fault)
			d.plain[1].SetFaults(fault, fault)
			q = newRequest("/read/2")
			got = d.ingresses[0].send(context.Background(), q)
			is.True(got.status >= http.StatusInternalServerError)
			is.Equal(len(d.Runs(q.id)), 2)
		})
	}
}

// A catalogue entry is read at the only server that takes work, which runs it and
// breaks off. No other server is left; the caller must not hear that it did not run.
func TestRefusalAfterARunIsTrue(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.plain[1].Register("draining")
	eventually(t, "the drain is known", func() bool { return len(d.ingresses[0].output.lines(d.plain[1].ID, "state=draining")) == 1 })
	d.plain[0].SetFaults(hosted.CutAfterRun)
	q := newRequest("/read/1")
	got := d.ingresses[0].send(context.Background(), q)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(len(d.Runs(q.id)), 1)

	// The same with a stream that breaks off before its first event, and no other engine.
	d.engines[1].Register("draining")
	eventually(t, "the drain is known", func() bool { return len(d.ingresses[0].output.lines(d.engines[1].ID, "state=draining")) == 1 })
	d.engines[0].SetFaults(hosted.CutAtOnce)
	q = newReview()
	got = d.ingresses[0].send(context.Background(), q)
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(len(d.Runs(q.id)), 1)
}

// An engine breaks off in the middle of an event. A stream that may be resumed goes
// on at another engine after the last whole event, within the same answer; one
// that may not must not look complete.
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
	is.True(got.err != nil) // the second engine broke off as well
	is.Equal(events(got.body), "1,2,3,4")

	q = newReview()
	d.engines[0].SetFaults(hosted.CutStream)
	d.engines[1].SetFaults()
	for range 2 {
		q = newReview()
		got = d.ingresses[0].send(context.Background(), q)
		is.NoErr(got.err)
		is.Equal(events(got.body), "1,2,3,4,5,6")
	}

	for _, e := range d.engines {
		e.SetFaults(hosted.CutStream)
	}
	q = newRequest("/advice/1")
	got = d.ingresses[0].send(context.Background(), q)
	is.True(got.err != nil)
	is.Equal(events(got.body), "1,2")
	is.Equal(len(d.Runs(q.id)), 1)
}

// An engine answers a stream with a failure of its own, a short text and no events.
// A stream that may be resumed goes to another engine; where that is not
// allowed, or fails as well, the caller gets the failure whole and unchanged.
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
		is.Equal(events(got.body), "1,2,3,4,5,6")
	}
}

// A pool's answer is lost after its results were made. They are made again, and
// no item is ever given those of another request.
func TestLostResultsAreMadeAgain(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, p := range d.pools {
		p.SetFaults(hosted.CutAfterRun)
	}
	for _, i := range d.ingresses {
		got := i.send(context.Background(), newReview())
		is.NoErr(got.err)
		is.Equal(events(got.body), "1,2,3,4,5,6")
	}
	is.Equal(d.Notes(), []string{})
}

// A review's second stage breaks off while its server works, and the results of the
// first were released as soon as that server had fetched them. The stage cannot be
// sent to another server; the review's stages are made once more and it is served.
func TestChainBeginsAnewWhenItsInputsAreGone(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for _, p := range d.pools {
		p.Work = 300 * time.Millisecond
	}
	ingress := d.ingresses[0]
	for range 4 { // until both servers have told that they are idle
		is.Equal(ingress.send(context.Background(), newReview()).status, http.StatusOK)
	}
	q := newReview()
	answered := make(chan answer, 1)
	go func() { answered <- ingress.send(context.Background(), q) }()
	eventually(t, "the second stage has its inputs", func() bool {
		return len(ingress.output.lines("event=inputs-released", "request="+q.id)) > 0
	})
	for _, p := range d.pools {
		p.SetFaults(hosted.CutAfterRun)
	}
	got := <-answered
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(events(got.body), "1,2,3,4,5,6")
	is.Equal(len(ingress.output.lines("event=chain-restarted", "request="+q.id)), 1)
	is.Equal(len(d.Runs(q.id)), 1)
	eventually(t, "all results are released", func() bool { return d.Held() == 0 })
	is.Equal(d.Notes(), []string{})
}

// Entries of another writer stand among the servers, and a configuration that
// cannot be read is written. What is known stays in force.
func TestGarbageInTheStore(t *testing.T) {
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
	eventually(t, "the records were looked at", func() bool {
		o := d.ingresses[0].output
		return len(o.lines("event=server-unreadable")) >= 5 && len(o.lines("event=config-kept", "unreadable")) == 1
	})
	for range 6 {
		is.Equal(d.ingresses[0].send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
	}
}

// Somebody opens connections and leaves them, many more than the ingress may have.
// Orders of others must still be taken.
func TestFloodOfConnections(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	for range 300 {
		conn, err := net.Dial("tcp", d.ingresses[0].callers.String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
	}
	for range 5 {
		is.Equal(d.ingresses[0].send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
	}
	is.True(len(d.ingresses[0].output.lines("event=connection-closed")) >= 200)
}

// Garbage comes in at the callers' port and at the peers' port.
func TestGarbageAtThePorts(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2)
	for _, text := range []string{"\x16\x03\x01\x00", "GET", strings.Repeat("A", 1<<16), "POST / HTTP/9.9\r\n\r\n"} {
		for _, address := range []string{d.ingresses[0].callers.String(), d.ingresses[0].links.String()} {
			throw(t, address, text)
		}
	}
	is.Equal(d.ingresses[0].send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
	got := d.ingresses[1].send(context.Background(), newReview())
	is.Equal(events(got.body), "1,2,3,4,5,6")
}
