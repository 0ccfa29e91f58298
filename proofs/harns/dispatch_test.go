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

// secondEntry speaks to an agent as an entry does, so that dispatches can be copied and sent late.
type secondEntry struct {
	t       *testing.T
	session *link.Session
}

func (d *deployment) connect(agent, name string) *secondEntry {
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
	return &secondEntry{t: d.t, session: session}
}

func (s *secondEntry) newCall(attempt string, revision uint64) *wire.Call {
	return &wire.Call{
		RequestId: attempt, Stage: "orders", Attempt: 1, Incarnation: s.session.Peer().GetIncarnation(),
		Revision: revision, RemainingNanos: int64(20 * time.Second), Team: "workshop", Priority: "normal", Weight: 1, Cost: 1,
		ClaimKey: "claims/" + attempt, ClaimAttempt: attempt, Method: "POST", Path: "/orders",
		Headers: []*wire.Header{{Name: "Idempotency-Key", Value: attempt}},
		Body:    []byte(orderBody(attempt)),
	}
}

func (s *secondEntry) dispatch(call *wire.Call) net.Conn {
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

func (s *secondEntry) readEnd(stream net.Conn) *wire.End {
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

// Two entries hold the same attempt and both dispatch it, since a dispatch was
// copied on the way. The board is cut once; the copy's sender is told that it
// runs, and a copy that comes after the end changes nothing.
func TestDuplicatedDispatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 1, backends: []backend{slowDesk("ord-1", "500ms")}})
	revision := d.agents["ord-1"].figures().Verbena.Config.Revision
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

// An entry gives an attempt up and the agent promises that it will not start;
// then the dispatch arrives from a buffer. Nothing runs, and the refusal says so.
// The same holds for a dispatch to an earlier start of the agent.
func TestLateDispatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, plan{entries: 1, backends: []backend{orderDesk("ord-1")}})
	revision := d.agents["ord-1"].figures().Verbena.Config.Revision
	s := d.connect("ord-1", "late")
	call := s.newCall("late", revision)
	told, err := link.RequestTombstone(context.Background(), s.session, &wire.Ask{
		ClaimKey: call.GetClaimKey(), Attempt: call.GetClaimAttempt(), Incarnation: call.GetIncarnation(),
	})
	is.NoErr(err)
	is.Equal(told.GetState(), "tombstoned")
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
