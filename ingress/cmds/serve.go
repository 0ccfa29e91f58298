package cmds

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/routers/ops"
	"verbenaroad.example/ingress/routers/public"
	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/flow"
	"verbenaroad.example/ingress/services/mesh"
	"verbenaroad.example/ingress/services/meters"
	"verbenaroad.example/ingress/services/pieces"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/ingress/services/screen"
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
	// silentBeats is how many heartbeats of a link may be missing.
	silentBeats = 3.5
	// closeTimeout bounds closing what is left after the drain.
	closeTimeout = 300 * time.Millisecond
	// graceReserve is kept of the grace time for closing and leaving.
	graceReserve = 700 * time.Millisecond
	// flushTimeout bounds writing the last log lines.
	flushTimeout = 200 * time.Millisecond
)

// Ingress is the assembled process.
type Ingress struct {
	settings *Settings
	reload   ReloadFunc
	log      *zap.Logger
	lines    *logs.Bounded
	// security is that of the links, both ends; nil: plain.
	security *tls.Config
	meters   *meters.Meters
	self     site.Ingress
	store    *keyval.Client
	book     *state.Book
	mesh     *mesh.Mesh
	feeder   *mesh.Feeder
	puller   *mesh.Puller
	owner    *pieces.Owner
	maker    *pieces.Maker
	placer   *assign.Placer
	desk     *assign.Desk
	screen   *screen.Screen
	flow     *flow.Server
	stopper  *stops.Stopper
	front    *Front
	ready    *http.Server
	metrics  *http.Server
	links    *peers.Server
}

// ReloadFunc reads the settings again.
type ReloadFunc func() (*Settings, error)

// Serve runs the ingress until a signal has stopped it.
func Serve(ctx context.Context, settings *Settings, reload ReloadFunc, output io.Writer) error {
	i := &Ingress{settings: settings, reload: reload}
	i.meters = meters.NewMeters(func() time.Duration { return i.book.Age() })
	log, lines, err := logs.NewBounded(output, settings.Log.Level, i.meters.CountDropped)
	if err != nil {
		return err
	}
	i.log = log.With(zap.String("instance", settings.Place.Name))
	i.lines = lines
	i.security, err = settings.Secure.BuildConfig()
	if err != nil {
		return err
	}
	i.build()
	if err := i.listen(ctx); err != nil {
		return err
	}
	return i.serve(ctx)
}

// build wires the services; none of them does I/O yet.
func (i *Ingress) build() {
	s := i.settings
	i.self = site.Ingress{
		Name: s.Place.Name, Address: s.Peers.Listen, Domain: s.Place.Domain, Capacity: s.Place.Cores,
		Incarnation: link.NewIncarnation(),
	}
	i.stopper = stops.NewStopper(drain.Settings{
		Grace: s.Stop.Grace - graceReserve, Linger: s.Stop.Admit, Admit: s.Stop.Admit,
	})
	i.store = keyval.NewClient(keyval.Options{
		Address: s.Store.Address, CallTimeout: s.Store.Timeout,
		OnArrival: func() { i.book.ConfirmOwn(time.Now()) },
	})
	i.book = state.NewBook(state.Options{Codec: record.Codec{}, Log: i.log, OnChange: i.takeView})
	i.mesh = mesh.NewMesh(mesh.Options{
		Self: i.self, Regions: s.Place.Regions, IsLeaving: i.stopper.IsLeaving, Link: i.newLink(), Log: i.log,
		OnBacklog:     func(told *wire.Outlook) { i.maker.TakeOutlook(told) },
		OnStoreStatus: func(name string, told *wire.Reading) { i.feeder.ObserveStoreStatus(name, told) },
	})
	i.puller = &mesh.Puller{Mesh: i.mesh, Book: i.book, Seeds: s.Peers.Seeds, Log: i.log}
	i.feeder = mesh.NewFeeder(mesh.FeederOptions{
		Mesh: i.mesh, Book: i.book, Puller: i.puller, Self: i.self, Regions: s.Place.Regions, IsLeaving: i.stopper.IsLeaving, Log: i.log,
		Reader: &state.Reader{Book: i.book, Store: i.store, Wait: s.Store.Wait, HistoryGone: keyval.ErrHistoryGone, Log: i.log},
	})
	i.puller.Feed = i.feeder
	client := reach.NewClient(heads.Codec{})
	i.owner = pieces.NewOwner(pieces.OwnerOptions{
		Pools: pools.Client{HTTP: client, Heads: heads.Codec{}}, Meter: i.meters, Repeats: s.Repeats.Settings, Log: i.log,
		Regions: s.Place.Regions, Region: s.Place.Region,
		Discard: func(service string, handles []string) { i.maker.Discard(service, handles) },
		OnCrash: func(c batch.Crash) { i.screen.NoteBroken(poison.ID(c.RequestDigest), c.Server, c.SentAt) },
	})
	i.placer = assign.NewPlacer(s.Place.Regions, s.Cold.Settings)
	i.desk = assign.NewDesk(i.mesh, i.book, i.placer, i.log)
	i.screen = screen.NewScreen(screen.Options{
		Peers: i.mesh, Store: i.store, Codec: record.Codec{}, Prober: client, Limit: poison.DefaultLimit,
		Trials: poison.DefaultTrialSchedule(), Log: i.log,
	})
	i.maker = pieces.NewMaker(i.mesh, i.owner, i.log)
	i.flow = flow.NewServer(flow.Options{
		Views: i.book, Sender: client, Maker: i.maker, Desk: i.desk, Screen: i.screen, Meter: i.meters, Log: i.log,
		Domain: s.Place.Domain, Region: s.Place.Region, Regions: s.Place.Regions, Repeats: s.Repeats.Settings,
		Cold: s.Cold.Settings, Peers: i.mesh,
	})
}

func (i *Ingress) newLink() link.Options {
	beat := i.settings.Peers.BeatEvery
	return link.Options{
		Hello: &wire.Hello{
			Version: wire.Version, Name: i.self.Name, Incarnation: i.self.Incarnation, Role: "ingress",
			Region: i.settings.Place.Region, Domain: i.self.Domain,
		},
		TLS:         i.security,
		Private:     i.settings.Peers.Private,
		BeatEvery:   beat,
		SilentAfter: time.Duration(silentBeats * float64(beat)),
		Beat: func() *wire.Beat {
			return &wire.Beat{
				Leaving: i.stopper.IsLeaving(), Outlooks: i.owner.Outlooks(), Reading: mesh.EncodeStoreStatus(i.book),
			}
		},
	}
}

func (i *Ingress) takeView(v *state.View) {
	i.flow.TakeView(v)
	i.placer.TakeView(v)
	i.maker.TakeView(v)
	i.owner.TakeView(v)
	i.mesh.SetView(v)
	i.screen.TakeView(v)
	i.meters.SetVersion(v.Version())
}

// checkReady says why the process takes no new connections.
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

func (i *Ingress) listen(ctx context.Context) error {
	s := i.settings
	var err error
	i.links, err = peers.NewServer(peers.Options{
		Address: s.Peers.Listen, Link: i.newLink(),
		Handler: &mesh.Handler{Producer: i.maker, Placer: i.desk, Screen: i.screen, Feeder: i.feeder, Log: i.log}, Log: i.log,
	})
	if err != nil {
		return err
	}
	i.front, err = NewFront(ctx, FrontOptions{
		Address: s.Callers.Listen, Views: i.book, Log: i.log, MaxConnections: s.Callers.MaxConnections(),
		Handler: public.NewRouter(public.Options{
			Codec: heads.Codec{}, Views: i.book, Flow: i.flow, Doorman: i.stopper, Peers: i.mesh, Store: i.book, Log: i.log,
		}),
	})
	if err != nil {
		return err
	}
	o := ops.Options{
		ReadyPath: s.Callers.ReadyPath, Ready: i.checkReady, MetricsPath: s.Metrics.Path, Metrics: i.meters.Handler(),
	}
	i.ready, err = listenHTTP(ctx, s.Callers.Ready, ops.NewReady(o))
	if err != nil {
		return err
	}
	i.metrics, err = listenHTTP(ctx, s.Metrics.Listen, ops.NewMetrics(o))
	return err
}

// side is one of the small HTTP servers beside the callers'.
type side struct {
	server   *http.Server
	listener net.Listener
}

func (s side) run() { _ = s.server.Serve(s.listener) } // ends when the server is closed

func listenHTTP(ctx context.Context, address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	settings := net.ListenConfig{}
	listener, err := settings.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s := side{server: server, listener: listener}
	go s.run()
	return server, nil
}

// serve runs until the drain is over.
func (i *Ingress) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := i.settings
	i.feeder.Start(ctx)
	registrar := &state.Registrar{
		Leases: i.store, Codec: record.Codec{}, Self: i.self, TTL: s.Store.Lease, LeaseGone: keyval.ErrLeaseGone,
		Book: i.book, ProbeEvery: feed.ProbeEvery, Log: i.log,
	}
	registrar.Start(ctx)
	(&state.Sweeper{Book: i.book}).Start(ctx)
	i.mesh.Start(ctx)
	i.puller.Start(ctx)
	i.owner.Start(ctx)
	i.links.Start(ctx)
	i.log.Info("started", zap.Stringer("callers", s.Callers.Listen), zap.Stringer("peers", s.Peers.Listen),
		zap.Stringer("metrics", s.Metrics.Listen), zap.Stringer("store", s.Store.Address),
		zap.String("incarnation", i.self.Incarnation))
	i.waitStop(ctx)
	closing, done := context.WithTimeout(context.Background(), closeTimeout)
	defer done()
	err := errors.Join(i.front.Close(closing), i.ready.Close(), i.metrics.Close())
	cancel()
	i.links.Close()
	registrar.Close(closing)
	i.log.Info("ended")
	i.lines.Flush(flushTimeout)
	return err
}

// waitStop waits for the signal, lets the callers' connections end, and waits for the drain.
func (i *Ingress) waitStop(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	stopped := make(chan struct{})
	w := waiter{stopper: i.stopper, log: i.log, stopped: stopped}
	go w.run(ctx)
	for {
		select {
		case <-signals:
			i.takeReload()
		case <-stopped:
			return
		}
	}
}

// takeReload puts in force what can change while the process runs. A file that
// cannot be read changes nothing.
func (i *Ingress) takeReload() {
	s, err := i.reload()
	if err != nil {
		i.meters.CountReload("kept")
		i.log.Error("reload", zap.String("outcome", "kept"), logs.Err(err))
		return
	}
	i.lines.SetLevel(s.Log.Level)
	i.flow.SetRepeats(s.Repeats.Settings)
	i.owner.SetRepeats(s.Repeats.Settings)
	i.meters.CountReload("applied")
	i.log.Info("reload", zap.String("outcome", "applied"), zap.String("log-level", s.Log.Level),
		zap.Float64("repeats-ratio", s.Repeats.Ratio), zap.Float64("repeats-slack", s.Repeats.Slack))
}

// waiter waits for the drain beside the other signals.
type waiter struct {
	stopper *stops.Stopper
	log     *zap.Logger
	stopped chan struct{}
}

func (w waiter) run(ctx context.Context) {
	stops.Wait(ctx, w.stopper, w.log)
	close(w.stopped)
}
