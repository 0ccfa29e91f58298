package harns_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

// fakeEntry is a session to an agent in the role of an entry. It can send a dispatch twice or late.
type fakeEntry struct {
	t       *testing.T
	session *link.Session
}

// connect opens a session to an agent under the name of an entry.
func (d *deployment) connect(agent, name string) *fakeEntry {
	d.t.Helper()
	options := link.Options{
		Hello:        &wire.Hello{Version: wire.Version, Name: name, Incarnation: name, Role: "entry", Region: region, Domain: region + "-1"},
		NewHeartbeat: func() *wire.Beat { return &wire.Beat{ConfirmedAgeNanos: -1} },
	}
	session, err := link.Dial(context.Background(), d.agents[agent].address("", "peers="), options)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = session.Close() })
	return &fakeEntry{t: d.t, session: session}
}

// newCall returns the call of an order whose idempotency key is the attempt's id.
func (s *fakeEntry) newCall(attempt string, revision uint64) *wire.Call {
	return &wire.Call{
		RequestId: attempt, Stage: "orders", Attempt: 1, Incarnation: s.session.Peer().GetIncarnation(),
		Revision: revision, RemainingNanos: int64(20 * time.Second), Team: "workshop", Priority: "normal", Weight: 1, Cost: 1,
		ClaimKey: "claims/" + attempt, ClaimAttempt: attempt, Method: "POST", Path: "/orders",
		Headers: []*wire.Header{{Name: "Idempotency-Key", Value: attempt}},
		Body:    []byte(orderBody(attempt)),
	}
}

// dispatch sends the call on a new stream.
func (s *fakeEntry) dispatch(call *wire.Call) net.Conn {
	s.t.Helper()
	stream, err := s.session.Open()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = stream.Close() })
	if err := wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Call{Call: call}}); err != nil {
		s.t.Fatal(err)
	}
	return stream
}

// readEnd reads the stream up to its end record.
func (s *fakeEntry) readEnd(stream net.Conn) *wire.End {
	s.t.Helper()
	reader := wire.NewReader(stream)
	for {
		frame, err := reader.Next()
		if err != nil {
			s.t.Fatal(err)
		}
		if end := frame.GetEnd(); end != nil {
			return end
		}
	}
}

// Guards against an order that runs twice because its dispatch was duplicated. Two entries dispatch
// the same attempt; it runs once, and the other entry is answered in-progress. A duplicate that
// arrives after the end does not run, and its answer does not claim that the order did not run.
func TestDuplicateDispatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 1, backends: []backend{slowOrderServer("ord-1", "500ms")}})
	revision := d.agents["ord-1"].debugVars().Verbena.Config.Revision
	one, two := d.connect("ord-1", "copy-1"), d.connect("ord-1", "copy-2")
	call := one.newCall("copied", revision)
	first, second := one.dispatch(call), two.dispatch(call)
	ends := []*wire.End{one.readEnd(first), two.readEnd(second)}
	ran := 0
	for _, end := range ends {
		if end.GetCode() == uint32(codes.OK) {
			ran++
			continue
		}
		is.Equal(end.GetCode(), uint32(codes.InProgress))
		is.True(end.GetOutcome() != string(codes.OutcomeNotRun))
	}
	is.Equal(ran, 1)
	late := two.readEnd(two.dispatch(call))
	is.True(late.GetOutcome() != string(codes.OutcomeNotRun))
	is.Equal(d.countRuns("copied"), 1)
}

// Guards against an order that runs after its entry abandoned it. The agent confirms that the
// attempt is tombstoned, and then the dispatch arrives late; it is refused as not run. The same
// holds for a dispatch that names an earlier incarnation of the agent.
func TestLateDispatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 1, backends: []backend{orderServer("ord-1")}})
	revision := d.agents["ord-1"].debugVars().Verbena.Config.Revision
	s := d.connect("ord-1", "late")
	call := s.newCall("late", revision)
	report, err := link.RequestTombstone(context.Background(), s.session, &wire.Ask{
		ClaimKey: call.GetClaimKey(), Attempt: call.GetClaimAttempt(), Incarnation: call.GetIncarnation(),
	})
	is.NoErr(err)
	is.Equal(report.GetState(), "tombstoned")
	end := s.readEnd(s.dispatch(call))
	is.Equal(end.GetCode(), uint32(codes.Tombstoned))
	is.Equal(end.GetOutcome(), string(codes.OutcomeNotRun))
	earlier := s.newCall("earlier", revision)
	earlier.Incarnation = "before-the-restart"
	end = s.readEnd(s.dispatch(earlier))
	is.Equal(end.GetCode(), uint32(codes.OtherIncarnation))
	is.Equal(end.GetOutcome(), string(codes.OutcomeNotRun))
	is.Equal(d.countRuns("late"), 0)
	is.Equal(d.countRuns("earlier"), 0)
}
