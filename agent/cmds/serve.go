package cmds

import (
	"context"
	"expvar"
	"io"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/agent/services/claims"
	"verbenaroad.example/agent/services/gate"
	"verbenaroad.example/agent/services/intake"
	"verbenaroad.example/agent/services/target"
	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/decide/drain"
	"verbenaroad.example/share/decide/queue"
	"verbenaroad.example/share/models/roster"
	"verbenaroad.example/share/modules/kvapi"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/spans"
	"verbenaroad.example/share/modules/stats"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/follow"
	"verbenaroad.example/share/services/kvport"
	"verbenaroad.example/share/services/peers"
	"verbenaroad.example/share/services/procs"
	"verbenaroad.example/share/services/stops"
)

const (
	// silentBeats is how many heartbeats may be missing before a session counts as silent.
	silentBeats = 3.5
	// guardAttempts and guardAnswers bound the memory of claims; see claim.GuardLimits.
	guardAttempts = 100_000
	guardAnswers  = 64
	closeTimeout  = 2 * time.Second
)

// Agent is the assembled process.
type Agent struct {
	settings *Settings
	log      *zap.Logger
	tracer   *spans.Tracer
	store    *kvapi.Client
	follower *follow.Follower
	keeper   *claims.Keeper
	gate     *gate.Gate
	intake   *intake.Intake
	stopper  *stops.Stopper
	server   *peers.Server
	metrics  *stats.Server
	watcher  *procs.ListPoller
}

// Serve runs the agent until a signal has stopped it, and reports whether any work was cut.
func Serve(ctx context.Context, settings *Settings, output io.Writer) error {
	a, err := newAgent(ctx, settings, output)
	if err != nil {
		return err
	}
	return a.serve(ctx)
}

func newAgent(ctx context.Context, settings *Settings, output io.Writer) (*Agent, error) {
	log, err := logs.NewLogger(output, settings.Log.Level)
	if err != nil {
		return nil, err
	}
	a := &Agent{settings: settings, log: log.With(zap.String("instance", settings.Instance.Name))}
	a.tracer, err = spans.NewTracer(ctx, spans.Options{
		Program:     "agent",
		Instance:    settings.Instance.Name,
		File:        settings.Trace.File,
		Collector:   settings.Trace.Collector,
		SampleRatio: settings.Trace.Share,
	})
	if err != nil {
		return nil, err
	}
	a.build()
	return a, a.listen()
}

// build wires the services; none of them does I/O yet.
func (a *Agent) build() {
	s := a.settings
	incarnation := link.NewIncarnation()
	a.store = kvapi.NewClient(kvapi.Options{Address: s.Platform.Store, CallTimeout: s.Platform.StoreTimeout})
	port := kvport.NewPort(a.store)
	a.stopper = stops.NewStopper(drain.Settings{Grace: s.Stop.Grace, Linger: min(s.Peers.Linger, s.Stop.Grace)})
	a.follower = procs.NewFollower(s.Instance.Name, s.Instance.Domain, port, a, a.log)
	guard := claim.NewGuard(incarnation, claim.GuardLimits{Attempts: guardAttempts, CachedAnswers: guardAnswers})
	a.keeper = claims.NewKeeper(guard, port, a.log)
	a.gate = gate.NewGate(queue.Settings{
		Mode:               queue.Mode(s.Backend.QueueMode),
		MaxWaiting:         s.Backend.QueueLimit,
		Slots:              s.Backend.Slots,
		InitialServiceTime: s.Backend.ServiceGuess,
	})
	a.intake = intake.NewIntake(intake.Options{
		Incarnation:    incarnation,
		Follower:       a.follower,
		Keeper:         a.keeper,
		Gate:           a.gate,
		Backend:        target.NewServer(s.Backend.Address),
		Doorman:        a.stopper,
		Tracer:         a.tracer,
		Log:            a.log,
		MaxAnswerBytes: s.Backend.MaxAnswerBytes,
	})
	a.watcher = procs.NewListPoller(procs.ListOptions{
		List:     roster.NewClient(roster.Options{Address: s.Platform.List, CallTimeout: s.Platform.StoreTimeout}),
		Interval: s.Platform.ListEvery,
		Observer: a.follower,
		Log:      a.log,
	})
}

func (a *Agent) listen() error {
	s := a.settings
	security, err := s.Secure.BuildConfig()
	if err != nil {
		return err
	}
	a.server, err = peers.NewServer(peers.Options{
		Address: s.Peers.Listen,
		Handler: a.intake,
		Log:     a.log,
		Link: link.Options{
			Hello:             a.newHello(),
			TLS:               security,
			HeartbeatInterval: s.Peers.BeatEvery,
			SilenceTimeout:    time.Duration(silentBeats * float64(s.Peers.BeatEvery)),
			NewHeartbeat:      a.newBeat,
			OnHeartbeat:       a.takeBeat,
		},
	})
	if err != nil {
		return err
	}
	a.metrics, err = stats.NewServer(s.Metrics.Listen, a.checkReady)
	if err != nil {
		return err
	}
	expvar.Publish("verbena", expvar.Func(a.report))
	return s.Metrics.WriteAddresses(map[string]netip.AddrPort{
		"peers":   a.server.Address(),
		"metrics": a.metrics.Address(),
	})
}

func (a *Agent) newHello() *wire.Hello {
	s := a.settings
	hello := &wire.Hello{
		Version:     wire.Version,
		Name:        s.Instance.Name,
		Incarnation: a.intake.Incarnation(),
		Role:        "agent",
		Region:      s.Instance.Region,
		Domain:      s.Instance.Domain,
		Service:     s.Backend.Service,
	}
	for key, value := range s.Instance.Labels {
		hello.Labels = append(hello.Labels, &wire.Label{Key: key, Value: value})
	}
	return hello
}

func (a *Agent) newBeat() *wire.Beat {
	beat := a.follower.NewHeartbeat(a.stopper.IsLeaving())
	beat.Load = a.intake.GetLoad()
	return beat
}

func (a *Agent) takeBeat(session *link.Session, beat *wire.Beat, notBefore time.Time) {
	a.follower.OnPeerHeartbeat(session.Peer().GetName(), beat, notBefore)
}

// FetchChunks asks an entry for configuration.
func (a *Agent) FetchChunks(ctx context.Context, peer string, fetch *wire.Fetch) (*wire.Chunks, error) {
	return procs.FetchChunks(ctx, a.server.GetSession(peer), fetch)
}

func (a *Agent) checkReady() error {
	return procs.CheckReady(a.follower, a.stopper)
}

// serve runs until the drain is over.
func (a *Agent) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.follower.Start(ctx)
	a.gate.Start(ctx)
	a.watcher.Start(ctx)
	a.server.Start(ctx)
	a.log.Info("started", zap.Stringer("peers", a.server.Address()), zap.Stringer("metrics", a.metrics.Address()))
	stops.Wait(ctx, a.stopper, a.log)
	a.waitUnwritten()
	a.server.Close()
	closing, done := context.WithTimeout(context.Background(), closeTimeout)
	defer done()
	_ = a.metrics.Close(closing)
	return a.tracer.Close(closing)
}

// waitUnwritten keeps the process until the answers that only it knows are
// written, or the grace period ends: a caller's repeated key would get
// "outcome unknown" otherwise.
func (a *Agent) waitUnwritten() {
	limit := time.Now().Add(a.settings.Stop.Grace)
	for a.keeper.CountUnwritten() > 0 && time.Now().Before(limit) {
		time.Sleep(procs.StopCheckInterval)
	}
	if left := a.keeper.CountUnwritten(); left > 0 {
		a.log.Error("answers-unwritten", zap.Int("count", left))
	}
}

// report is the process's expvar.
func (a *Agent) report() any {
	read, written := a.server.CountBytes()
	counts := a.intake.GetCounts()
	return map[string]any{
		"role":          "agent",
		"calls":         counts.Calls,
		"calls-ok":      counts.OK,
		"calls-refused": counts.Refused,
		"calls-failed":  counts.Failed,
		"tokens":        counts.Tokens,
		"sessions":      a.server.CountSessions(),
		"session-bytes": read + written,
		"unwritten":     a.keeper.CountUnwritten(),
		"load":          a.gate.GetLoad(),
		"config":        procs.DescribeConfig(a.follower),
		"store":         a.store.Stats(),
	}
}
