package calls_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/entry/services/calls"
	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/entry/services/policy"
	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/spans"
	"verbenaroad.example/share/modules/wire"
)

const incarnation = "one"

// agent is a test agent that ends each call with the record that reply returns; nil leaves the call
// unanswered.
type agent struct {
	listener net.Listener
	reply    func(attempt uint32) *wire.End
	data     []byte
}

func newOptions(name string) link.Options {
	return link.Options{
		Hello:        &wire.Hello{Version: wire.Version, Name: name},
		NewHeartbeat: func() *wire.Beat { return &wire.Beat{} },
	}
}

func (a *agent) run() {
	conn, err := a.listener.Accept()
	if err != nil {
		return
	}
	session, err := link.Accept(conn, newOptions("agent"))
	if err != nil {
		return
	}
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go a.runStream(stream)
	}
}

// runStream answers the calls of one stream one after another, as agents do.
func (a *agent) runStream(stream net.Conn) {
	defer func() { _ = stream.Close() }()
	reader := wire.NewReader(stream)
	for {
		frame, err := reader.Next()
		if err != nil {
			return
		}
		a.answer(stream, frame)
	}
}

func (a *agent) answer(stream net.Conn, frame *wire.Frame) {
	call := frame.GetCall()
	end := a.reply(call.GetAttempt())
	if end == nil {
		return
	}
	if end.GetCode() == uint32(codes.OK) {
		_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Part{Part: &wire.Part{Data: a.data}}})
		end.Bytes = uint64(len(a.data))
	}
	end.RequestId, end.Stage, end.Attempt, end.Incarnation = call.GetRequestId(), call.GetStage(), call.GetAttempt(), incarnation
	_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_End{End: end}})
}

// singleAgent is a fleet of one agent that records the results of attempts.
type singleAgent struct {
	session *link.Session

	lock    sync.Mutex
	results []route.CallResult
}

func (f *singleAgent) ChooseAgent(time.Time, fleet.ChooseOptions) (fleet.Attempt, *codes.Result) {
	return fleet.Attempt{Choice: route.Choice{Name: "llm-1", Incarnation: incarnation}, Session: f.session}, nil
}

func (f *singleAgent) EndAttempt(_ time.Time, _ string, result route.CallResult) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.results = append(f.results, result)
}

// configuration is a configuration that never changes.
type configuration struct{ snapshot *config.Snapshot }

func (c configuration) GetUsable(context.Context) (*config.Snapshot, *codes.Result) {
	return c.snapshot, nil
}

func (c configuration) WaitRevision(context.Context, uint64) error { return nil }

func (c configuration) OnPeerRevision(string, uint64) {}

func (c configuration) GetRevision(time.Time) (uint64, time.Duration) { return 1, 0 }

func newRunner(t *testing.T, a *agent) (*calls.Runner, *singleAgent) {
	t.Helper()
	is := is.New(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	a.listener = listener
	go a.run()
	session, err := link.Dial(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), newOptions("entry"))
	is.NoErr(err)
	t.Cleanup(func() { _ = session.Close(); _ = listener.Close() })
	tracer, err := spans.NewTracer(t.Context(), spans.Options{Program: "entry"})
	is.NoErr(err)
	set := config.Set{Services: []config.Service{{Name: "llm", RetryShare: 1}}}
	f := &singleAgent{session: session}
	return calls.NewRunner(calls.Options{
		Fleet:         f,
		Configuration: configuration{config.NewSnapshot(1, set)},
		Budget:        policy.NewPolicy(policy.AdmissionDeadline),
		Tracer:        tracer,
	}), f
}

func newCall() *calls.Call {
	return &calls.Call{
		RequestID:  "r-1",
		Stage:      "generate",
		Service:    "llm",
		Team:       &config.Team{Name: "kranj"},
		Priority:   config.PriorityNormal,
		Deadline:   time.Now().Add(time.Minute),
		Idempotent: true,
		Stream:     true,
		Prefixes:   []route.Prefix{{Digest: 1, Tokens: 128}},
	}
}

func ok() *wire.End { return &wire.End{Code: uint32(codes.OK), Outcome: string(codes.OutcomeRan)} }

func TestRunReportsCachedTokens(t *testing.T) {
	usage := `data: {"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":7}}}` + "\n\ndata: [DONE]\n\n"
	cases := []struct {
		name   string
		data   string
		cached int
	}{
		{"reported in the last event", "data: {\"choices\":[{\"text\":\"a\"}]}\n\n" + usage, 7},
		{"after a long answer", "data: " + string(make([]byte, 8192)) + "\n\n" + usage, 7},
		{"not reported", "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n", -1},
		{"usage without details", "data: {\"usage\":{\"prompt_tokens\":9}}\n\n", -1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			runner, f := newRunner(t, &agent{reply: func(uint32) *wire.End { return ok() }, data: []byte(tc.data)})
			got, result := runner.Run(t.Context(), newCall())
			is.Equal(result, nil)
			is.Equal(string(got.Body), tc.data)
			is.Equal(f.results[0].CachedTokens, tc.cached)
		})
	}
}

// Guards against calls that keep failing while one backend server is down: its agent refuses at
// once, so it has no calls outstanding and would be chosen first each time.
func TestRunCountsAgentWithoutBackendAsFaulty(t *testing.T) {
	is := is.New(t)
	runner, f := newRunner(t, &agent{data: []byte("whole"), reply: func(attempt uint32) *wire.End {
		if attempt == 1 {
			return &wire.End{Code: uint32(codes.NoBackend), Outcome: string(codes.OutcomeNotRun)}
		}
		return ok()
	}})
	got, result := runner.Run(t.Context(), newCall())
	is.Equal(result, nil)
	is.Equal(got.Attempts, 2)
	is.Equal(f.results[0].Code, codes.NoBackend) // the router ejects the agent at once
}

// Guards against a batch call that fails although it was accepted, because urgent work preempted
// it. The call is retried, and its answer is complete.
func TestRunRetriesPreemptedCall(t *testing.T) {
	is := is.New(t)
	runner, _ := newRunner(t, &agent{data: []byte("whole"), reply: func(attempt uint32) *wire.End {
		if attempt == 1 {
			return &wire.End{Code: uint32(codes.Preempted), Outcome: string(codes.OutcomeRan)}
		}
		return ok()
	}})
	got, result := runner.Run(t.Context(), newCall())
	is.Equal(result, nil)
	is.Equal(string(got.Body), "whole")
	is.Equal(got.Attempts, 2)
}
