package cmds

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/memory"
	"verbenaroad.example/ingress/routers/ops"
	"verbenaroad.example/ingress/routers/public"
	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/flow"
	"verbenaroad.example/ingress/services/gates"
	"verbenaroad.example/ingress/services/ledger"
	"verbenaroad.example/ingress/services/limits"
	"verbenaroad.example/ingress/services/mesh"
	"verbenaroad.example/ingress/services/meters"
	"verbenaroad.example/ingress/services/origin"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/ingress/services/recall"
	"verbenaroad.example/ingress/services/sched"
	"verbenaroad.example/ingress/services/screen"
	"verbenaroad.example/ingress/services/stages"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/heads"
	"verbenaroad.example/platform/keyval"
	"verbenaroad.example/platform/pools"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/decide/drain"
	"verbenaroad.example/share/decide/feed"
	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/peers"
	"verbenaroad.example/share/services/stops"
)

const (
	// silenceFactor times the heartbeat interval is how long a link may be silent before it is closed.
	silenceFactor = 3.5
	// graceReserve is the part of the grace period that is kept for closing the servers, closeReserve the part that is
	// kept for ending the process after that. The drain gets the rest.
	graceReserve = 500 * time.Millisecond
	closeReserve = 200 * time.Millisecond
	// sendReserve is how long before the end of the drain requests are no longer sent to backend servers, answerReserve
	// how long before it answers no longer begin. A stream that began later would be cut.
	sendReserve   = time.Second
	answerReserve = 300 * time.Millisecond
	// closeTimeout limits the time to close the servers if the drain ends early.
	closeTimeout = time.Second
	// registrationTimeout limits the time to mark the registration as ended.
	registrationTimeout = 100 * time.Millisecond
	// flushTimeout limits the time to write the last log lines.
	flushTimeout = 200 * time.Millisecond
)

// Process is what the ingress gets from the process that it runs in.
type Process struct {
	// Reload loads the settings again from the same sources.
	Reload func() (*Settings, error)
	// Stops and Reloads receive the signals to stop and to load the settings again.
	Stops   <-chan os.Signal
	Reloads <-chan os.Signal
	// Output receives the log.
	Output io.Writer
}

// Ingress is the assembled process.
type Ingress struct {
	settings  *Settings
	process   Process
	log       *zap.Logger
	logOutput *logs.AsyncWriter
	// linkTLS is used at both ends of the links between ingresses; nil: links without TLS.
	linkTLS *tls.Config
	meters  *meters.Meters
	memory  *memory.Budget
	self    site.Ingress
	// incarnation differs between two starts under the same name.
	incarnation   string
	store         *keyval.Client
	book          *state.Book
	restorer      *state.Restorer
	mesh          *mesh.Mesh
	feeder        *mesh.Feeder
	puller        *mesh.Puller
	batcher       *stages.Batcher
	producer      *stages.Producer
	placer        *assign.Placer
	dispatcher    *assign.Dispatcher
	features      *gates.Registry
	limits        *limits.Registry
	ledger        *ledger.Ledger
	screen        *screen.Screen
	recall        *recall.Registry
	origins       *origin.Registry
	flow          *flow.Server
	stopper       *stops.Stopper
	watcher       *sched.Watcher
	callerServer  *CallerServer
	readyServer   *http.Server
	metricsServer *http.Server
	peerServer    *peers.Server
}

// Serve runs the ingress until a signal stops it and the drain has ended.
func Serve(ctx context.Context, settings *Settings, process Process) error {
	i := &Ingress{settings: settings, process: process}
	i.memory = memory.NewBudget(settings.Callers.RequestMemory())
	i.meters = meters.NewMeters(func() time.Duration { return i.book.Age() }, i.memory.Used)
	log, logOutput, err := logs.NewAsyncLogger(process.Output, settings.Log.Level, i.meters.CountDroppedLines)
	if err != nil {
		return err
	}
	i.log = log.With(zap.String("instance", settings.Place.Name))
	i.logOutput = logOutput
	debug.SetMemoryLimit(settings.Callers.CollectedMemory())
	i.linkTLS, err = settings.Secure.BuildConfig()
	if err != nil {
		return err
	}
	i.build()
	if err := i.listen(ctx); err != nil {
		return err
	}
	return i.serve(ctx)
}

// build creates the services and connects them to each other. It does no I/O.
func (i *Ingress) build() {
	s := i.settings
	i.self = site.Ingress{
		Name: s.Place.Name, Address: s.Peers.Listen, Domain: s.Place.Domain, Capacity: s.Place.Cores,
	}
	i.incarnation = link.NewIncarnation()
	i.stopper = stops.NewStopper(drain.Settings{
		Grace: s.Stop.Grace - graceReserve, Linger: s.Stop.Admit, AdmitPeriod: s.Stop.AdmitPeriod(),
		SendReserve: sendReserve, AnswerReserve: answerReserve,
	})
	i.store = keyval.NewClient(keyval.Options{
		Address: s.Store.Address, CallTimeout: s.Store.Timeout,
		OnArrival: func() { i.book.ObserveOwnAnswer(time.Now()) },
		OnCall:    func(call keyval.Call, err error) { i.meters.CountStoreCall(string(call), err) },
		OnEra:     func(era uint64) { i.log.Warn("store-era", zap.Uint64("era", era)) },
	})
	i.watcher = sched.NewWatcher(sched.Options{ProcessorTime: processorTime, Cores: s.Place.Cores, Meter: i.meters, Log: i.log})
	i.features = gates.NewRegistry(s.Features.Modes, i.log)
	i.limits = limits.NewRegistry(limits.Options{Meter: i.meters, Log: i.log, OnLeaving: func() { i.book.Refresh() }})
	i.book = state.NewBook(state.Options{Codec: record.Codec{}, Log: i.log, OnChange: i.setView, IsLeaving: i.limits.IsLeaving})
	i.mesh = mesh.NewMesh(mesh.Options{
		Self: i.self, Regions: s.Place.Regions, IsLeaving: i.stopper.IsLeaving, Link: i.newLinkOptions(), Log: i.log,
		OnBacklog: func(backlog *wire.Outlook) { i.producer.RecordBacklog(backlog) },
		OnStoreStatus: func(name string, status *wire.Reading, notBefore time.Time) {
			i.feeder.ObserveStoreStatus(name, status, notBefore)
		},
		OnStatements: i.mergeStatements,
	})
	i.puller = &mesh.Puller{Mesh: i.mesh, Book: i.book, Seeds: s.Peers.Seeds, Log: i.log}
	i.feeder = mesh.NewFeeder(mesh.FeederOptions{
		Mesh: i.mesh, Book: i.book, Puller: i.puller, Self: i.self, Regions: s.Place.Regions, LeaseTTL: s.Store.Lease, IsLeaving: i.stopper.IsLeaving, Log: i.log,
		Reader: &state.Reader{Book: i.book, Store: i.store, Name: i.self.Name, Domain: s.Place.Domain, Wait: s.Store.WatchTime(), HistoryGone: keyval.ErrHistoryGone, OnFirstRun: func() { i.ledger.MarkFirstRun() }, OnFirstStart: func() { i.origins.MarkFirstRun() }, Log: i.log},
	})
	i.puller.Feed = i.feeder
	i.recall = recall.NewRegistry(recall.Options{Peers: i.mesh, Views: i.book, Log: i.log})
	i.ledger = ledger.NewLedger(ledger.Options{Name: s.Place.Name, Retries: s.Repeats.Settings, Memos: i.recall, Log: i.log})
	client := reach.NewClient(heads.Codec{}, i.limits)
	i.batcher = stages.NewBatcher(stages.BatcherOptions{
		Pools: pools.Client{HTTP: client, Heads: heads.Codec{}}, Meter: i.meters, Retries: i.ledger, Limits: i.limits, Pauses: i.limits, Log: i.log,
		Regions: s.Place.Regions, Region: s.Place.Region,
		Discard: func(service string, handles []string) { i.producer.Discard(service, handles) },
		OnCrash: func(c batch.Crash) {
			i.screen.RecordCrash(poison.Identity{Request: poison.ID(c.RequestDigest)}, c.Server, c.SentAt, false)
		},
	})
	i.placer = assign.NewPlacer(s.Place.Regions, s.Cold.Settings, i.limits)
	i.dispatcher = assign.NewDispatcher(i.mesh, i.book, i.placer, i.log)
	writer := &state.Writer{Book: i.book, Writes: i.store}
	i.restorer = &state.Restorer{Book: i.book, Writes: writer, Ranks: i.mesh, Log: i.log}
	i.screen = screen.NewScreen(screen.Options{
		Peers: i.mesh, Store: writer, Codec: record.Codec{}, Prober: client, Limit: poison.DefaultLimit,
		Trials: poison.DefaultTrialSchedule(), Log: i.log,
	})
	i.origins = origin.NewRegistry(origin.Options{Memos: i.recall, News: i.book, Peers: i.mesh, Store: writer, Codec: record.Codec{}, Log: i.log})
	i.recall.SetArchive(recall.ArchiveOptions{
		Store: i.store, Codec: record.Codec{}, Select: i.origins.Select, Age: i.book.Age, LeaseGone: keyval.ErrLeaseGone, Prefix: origin.MemoPrefix, Process: i.self.Name + "-" + i.incarnation,
	})
	i.producer = stages.NewProducer(i.mesh, i.batcher, i.log)
	i.flow = flow.NewServer(flow.Options{
		Views: i.book, Sender: client, StageRunner: i.producer, EnginePlacer: i.dispatcher, Screen: i.screen, Origins: i.origins, Meter: i.meters, Log: i.log,
		Domain: s.Place.Domain, Region: s.Place.Region, Regions: s.Place.Regions, Retries: i.ledger,
		Cold: s.Cold.Settings, Peers: i.mesh, Limits: i.limits, Admitter: i.dispatcher, Stop: i.stopper,
	})
}

// setView passes a new view of the deployment to the services.
func (i *Ingress) setView(v *state.View) {
	i.features.SetView(v)
	i.limits.SetView(v)
	i.ledger.SetView(v)
	i.flow.SetView(v)
	i.placer.SetView(v)
	i.producer.SetView(v)
	i.batcher.SetView(v)
	i.mesh.SetView(v)
	i.screen.SetView(v)
	i.origins.SetView(v)
	i.meters.SetVersion(v.Version())
}

// checkReady returns nil if the process takes new connections, or else the reason why it does not.
func (i *Ingress) checkReady() error {
	if i.stopper.IsLeaving() {
		return errors.New("leaving")
	}
	v := i.book.View()
	if v.Table == nil {
		return errors.New("no configuration yet")
	}
	if len(v.Servers) == 0 {
		return errors.New("no backend servers yet")
	}
	return nil
}

// listen opens the listeners and starts the servers for callers, readiness checks and metrics. The
// server for peers accepts links only once serve has started it.
func (i *Ingress) listen(ctx context.Context) error {
	s := i.settings
	var err error
	accepted := i.newLinkOptions()
	accepted.OnHeartbeat = i.observeAccepted
	i.peerServer, err = peers.NewServer(peers.Options{
		Address: s.Peers.Listen, Link: accepted,
		Handler: &mesh.Handler{Producer: i.producer, Placer: i.dispatcher, Screen: i.screen, Memos: i.recall, Feeder: i.feeder, Log: i.log}, Log: i.log,
	})
	if err != nil {
		return err
	}
	i.callerServer, err = NewCallerServer(ctx, CallerServerOptions{
		Address: s.Callers.Listen, Views: i.book, Log: i.log, MaxConnections: s.Callers.MaxConnections(), Gate: i.watcher,
		Handler: public.NewRouter(public.Options{
			Codec: heads.Codec{}, Views: i.book, Flow: i.flow, Admission: i.stopper, Peers: i.mesh, StoreStatus: i.book,
			Memory: i.memory, Log: i.log,
		}),
	})
	if err != nil {
		return err
	}
	o := ops.Options{
		ReadyPath: s.Callers.ReadyPath, Ready: i.checkReady, MetricsPath: s.Metrics.Path, Metrics: i.meters.Handler(),
	}
	i.readyServer, err = listenHTTP(ctx, s.Callers.Ready, ops.NewReady(o))
	if err != nil {
		return err
	}
	i.metricsServer, err = listenHTTP(ctx, s.Metrics.Listen, ops.NewMetrics(o))
	return err
}

// serve runs the services until the drain has ended, then closes the servers and the registration.
func (i *Ingress) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := i.settings
	i.feeder.Start(ctx)
	registrar := &state.Registrar{
		Leases: i.store, Codec: record.Codec{}, Self: i.self, TTL: s.Store.Lease, LeaseGone: keyval.ErrLeaseGone,
		Book: i.book, ProbeEvery: feed.ProbeEvery, Looked: i.book.Looked(), Log: i.log,
	}
	registrar.Start(ctx)
	(&state.Sweeper{Book: i.book}).Start(ctx)
	i.restorer.Start(ctx)
	i.mesh.Start(ctx)
	i.puller.Start(ctx)
	i.batcher.Start(ctx)
	i.peerServer.Start(ctx)
	i.recall.Start(ctx)
	i.ledger.Start(ctx)
	i.origins.Start(ctx)
	(&usageReporter{ingress: i}).Start(ctx)
	i.watcher.Start(ctx)
	i.log.Info("started", zap.Stringer("callers", s.Callers.Listen), zap.Stringer("peers", s.Peers.Listen),
		zap.Stringer("metrics", s.Metrics.Listen), zap.Stringer("store", s.Store.Address),
		zap.String("incarnation", i.incarnation))
	i.waitForStop(ctx)
	closeCtx, cancelClose := context.WithDeadline(context.Background(), i.closeDeadline())
	defer cancelClose()
	err := errors.Join(i.callerServer.Close(closeCtx), i.readyServer.Close(), i.metricsServer.Close())
	cancel()
	i.peerServer.Close()
	endCtx, cancelEnd := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancelEnd()
	registrar.Close(endCtx)
	i.log.Info("ended")
	i.logOutput.Flush(flushTimeout)
	return err
}
