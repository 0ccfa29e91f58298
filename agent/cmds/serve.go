package cmds

import (
	"context"
	"expvar"
	"io"
	"net/netip"
	"os"
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
	// silenceFactor is the number of heartbeat intervals without any data from the peer after which
	// a session is closed.
	silenceFactor = 3.5
	// maxRememberedAttempts and maxCachedAnswers limit the memory for claims; see
	// claim.GuardLimits.
	maxRememberedAttempts = 100_000
	maxCachedAnswers      = 64
	// closeTimeout limits the time to close the metrics server and the tracer.
	closeTimeout = 2 * time.Second
)

// Agent is an agent process with all its services.
type Agent struct {
	settings    *Settings
	log         *zap.Logger
	tracer      *spans.Tracer
	store       *kvapi.Client
	follower    *follow.Follower
	claims      *claims.Manager
	gate        *gate.Gate
	intake      *intake.Intake
	stopSignals <-chan os.Signal
	stopper     *stops.Stopper
	server      *peers.Server
	metrics     *stats.Server
	listPoller  *procs.ListPoller
}

// Serve runs the agent until a signal has stopped it or ctx ends. It returns an error if the agent
// cannot start or the tracer cannot be closed.
func Serve(ctx context.Context, settings *Settings, output io.Writer) error {
	a, err := newAgent(ctx, settings, output)
	if err != nil {
		return err
	}
	return a.serve(ctx)
}

func newAgent(ctx context.Context, settings *Settings, output io.Writer) (*Agent, error) {
	stopSignals := stops.ReceiveStops()
	log, err := logs.NewLogger(output, settings.Log.Level)
	if err != nil {
		return nil, err
	}
	a := &Agent{settings: settings, stopSignals: stopSignals, log: log.With(zap.String("instance", settings.Instance.Name))}
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

// build creates the services. None of them does I/O before listen and serve.
func (a *Agent) build() {
	s := a.settings
	incarnation := link.NewIncarnation()
	a.store = kvapi.NewClient(kvapi.Options{Address: s.Platform.Store, CallTimeout: s.Platform.StoreTimeout})
	port := kvport.NewPort(a.store)
	a.stopper = stops.NewStopper(drain.Settings{Grace: s.Stop.Grace, Linger: min(s.Peers.Linger, s.Stop.Grace)})
	a.follower = procs.NewFollower(s.Instance.Name, s.Instance.Domain, port, a, a.log)
	guard := claim.NewGuard(incarnation, claim.GuardLimits{Attempts: maxRememberedAttempts, CachedAnswers: maxCachedAnswers})
	a.claims = claims.NewManager(guard, port, a.log)
	a.gate = gate.NewGate(queue.Settings{
		Mode:               queue.Mode(s.Backend.QueueMode),
		MaxWaiting:         s.Backend.QueueLimit,
		Slots:              s.Backend.Slots,
		InitialServiceTime: s.Backend.DefaultServiceTime,
	})
	a.intake = intake.NewIntake(intake.Options{
		Incarnation:    incarnation,
		Follower:       a.follower,
		Claims:         a.claims,
		Gate:           a.gate,
		Backend:        target.NewServer(s.Backend.Address),
		Admission:      a.stopper,
		Tracer:         a.tracer,
		Log:            a.log,
		MaxAnswerBytes: s.Backend.MaxAnswerBytes,
	})
	a.listPoller = procs.NewListPoller(procs.ListOptions{
		List:     roster.NewClient(roster.Options{Address: s.Platform.List, CallTimeout: s.Platform.StoreTimeout}),
		Interval: s.Platform.ListEvery,
		Observer: a.follower,
		Log:      a.log,
	})
}

func (a *Agent) listen() error {
	s := a.settings
	tlsConfig, err := s.TLS.BuildConfig()
	if err != nil {
		return err
	}
	a.server, err = peers.NewServer(peers.Options{
		Address: s.Peers.Listen,
		Handler: a.intake,
		Log:     a.log,
		Link: link.Options{
			Hello:             a.newHello(),
			TLS:               tlsConfig,
			HeartbeatInterval: s.Peers.HeartbeatInterval,
			SilenceTimeout:    time.Duration(silenceFactor * float64(s.Peers.HeartbeatInterval)),
			NewHeartbeat:      a.newHeartbeat,
			OnHeartbeat:       a.handleHeartbeat,
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

func (a *Agent) newHeartbeat() *wire.Beat {
	heartbeat := a.follower.NewHeartbeat(a.stopper.IsLeaving())
	heartbeat.Load = a.intake.GetLoad()
	return heartbeat
}

func (a *Agent) handleHeartbeat(session *link.Session, heartbeat *wire.Beat, notBefore time.Time) {
	a.follower.OnPeerHeartbeat(session.Peer().GetName(), heartbeat, notBefore)
}

// FetchChunks fetches chunks of the configuration from a peer, which is an entry.
func (a *Agent) FetchChunks(ctx context.Context, peer string, fetch *wire.Fetch) (*wire.Chunks, error) {
	return procs.FetchChunks(ctx, a.server.GetSession(peer), fetch)
}

func (a *Agent) checkReady() error {
	return procs.CheckReady(a.follower, a.stopper)
}

// serve runs the services until the drain has ended.
func (a *Agent) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.follower.Start(ctx)
	a.gate.Start(ctx)
	a.listPoller.Start(ctx)
	a.server.Start(ctx)
	a.log.Info("started", zap.Stringer("peers", a.server.Address()), zap.Stringer("metrics", a.metrics.Address()))
	stops.Wait(ctx, a.stopper, a.stopSignals, a.log)
	a.waitForWrites()
	a.server.Close()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	_ = a.metrics.Close(closeCtx)
	return a.tracer.Close(closeCtx)
}

// waitForWrites waits until all answers are written to the key-value service, or until a further
// grace period has passed. If the process exited earlier, a retry with the key of such an answer
// would get "outcome unknown".
func (a *Agent) waitForWrites() {
	deadline := time.Now().Add(a.settings.Stop.Grace)
	for a.claims.CountUnwritten() > 0 && time.Now().Before(deadline) {
		time.Sleep(procs.StopCheckInterval)
	}
	if unwritten := a.claims.CountUnwritten(); unwritten > 0 {
		a.log.Error("answers-unwritten", zap.Int("count", unwritten))
	}
}

// report returns the value of the expvar "verbena".
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
		"unwritten":     a.claims.CountUnwritten(),
		"load":          a.gate.GetLoad(),
		"config":        procs.DescribeConfig(a.follower),
		"store":         a.store.Stats(),
	}
}
