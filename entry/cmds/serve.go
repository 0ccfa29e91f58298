package cmds

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/entry/routers/admin"
	"verbenaroad.example/entry/routers/caller"
	"verbenaroad.example/entry/services/calls"
	"verbenaroad.example/entry/services/direct"
	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/entry/services/policy"
	"verbenaroad.example/entry/services/status"
	"verbenaroad.example/entry/services/sweep"
	"verbenaroad.example/entry/services/walk"
	"verbenaroad.example/share/decide/drain"
	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/models/roster"
	"verbenaroad.example/share/modules/httpd"
	"verbenaroad.example/share/modules/kvapi"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/spans"
	"verbenaroad.example/share/modules/stats"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/follow"
	"verbenaroad.example/share/services/kvport"
	"verbenaroad.example/share/services/procs"
	"verbenaroad.example/share/services/stops"
)

const (
	// silenceFactor is the number of heartbeat intervals without any data from the peer after which
	// a session is closed.
	silenceFactor = 3.5
	// closeTimeout limits the time to close the servers and the tracer after the drain.
	closeTimeout = 2 * time.Second
	// answerReserveShare is the part of the grace period that is kept to end requests whose answers have not ended, with an
	// answer that says so.
	answerReserveShare = 8
	// entryCountInterval is the interval at which the limits are divided among the live entries.
	entryCountInterval = time.Second
	// adminWriteBuffer is the size limit in bytes of the data that waits for one client of the
	// admin API. The documents of 19,000 teams fit into it.
	adminWriteBuffer = 32 << 20
)

// Entry is the assembled process.
type Entry struct {
	settings      *Settings
	log           *zap.Logger
	tracer        *spans.Tracer
	store         *kvapi.Client
	port          *kvport.Port
	follower      *follow.Follower
	instanceView  *status.InstanceView
	fleet         *fleet.Fleet
	policy        *policy.Policy
	runner        *calls.Runner
	stopSignals   <-chan os.Signal
	stopper       *stops.Stopper
	callerRouter  *caller.Router
	callerServer  *httpd.Server
	adminServer   *httpd.Server
	metricsServer *stats.Server
}

// Serve runs the entry until a signal stops it and the drain has ended.
func Serve(ctx context.Context, settings *Settings, output io.Writer) error {
	stopSignals := stops.ReceiveStops()
	log, err := logs.NewLogger(output, settings.Log.Level)
	if err != nil {
		return err
	}
	e := &Entry{settings: settings, stopSignals: stopSignals, log: log.With(zap.String("instance", settings.Instance.Name))}
	e.tracer, err = spans.NewTracer(ctx, spans.Options{
		Program:     "entry",
		Instance:    settings.Instance.Name,
		File:        settings.Trace.File,
		Collector:   settings.Trace.Collector,
		SampleRatio: settings.Trace.Share,
	})
	if err != nil {
		return err
	}
	if err := e.build(); err != nil {
		return err
	}
	if err := e.listen(); err != nil {
		return err
	}
	return e.serve(ctx)
}

// build creates the services and connects them to each other. It does no I/O except reading the TLS
// files.
func (e *Entry) build() error {
	s := e.settings
	sessionTLS, err := s.TLS.BuildConfig()
	if err != nil {
		return err
	}
	e.store = kvapi.NewClient(kvapi.Options{Address: s.Platform.Store, CallTimeout: s.Platform.StoreTimeout})
	e.port = kvport.NewPort(e.store)
	e.stopper = stops.NewStopper(drain.Settings{
		Grace: s.Stop.Grace, Linger: min(s.Admin.Linger, s.Stop.Grace), SendReserve: s.Stop.Grace / answerReserveShare, AnswerReserve: s.Stop.Grace / answerReserveShare,
	})
	e.policy = policy.NewPolicy(policy.Admission(s.Admission.Mode))
	e.follower = procs.NewFollower(s.Instance.Name, s.Instance.Domain, e.port, e, e.log)
	e.instanceView = status.NewInstanceView(e.follower)
	e.fleet = fleet.NewFleet(fleet.Options{
		Self:         e.describeSelf(),
		ListInterval: s.Platform.ListEvery,
		Route:        e.routeSettings,
		List:         roster.NewClient(roster.Options{Address: s.Platform.List, CallTimeout: s.Platform.StoreTimeout}),
		Watcher:      e.instanceView,
		Log:          e.log,
		Link: link.Options{
			Hello:             e.newHello(),
			TLS:               sessionTLS,
			HeartbeatInterval: s.Routing.HeartbeatInterval,
			SilenceTimeout:    time.Duration(silenceFactor * float64(s.Routing.HeartbeatInterval)),
			NewHeartbeat:      e.newHeartbeat,
		},
	})
	e.runner = calls.NewRunner(calls.Options{
		Fleet:         e.fleet,
		Configuration: e.follower,
		Budget:        e.policy,
		Tracer:        e.tracer,
	})
	return nil
}

func (e *Entry) describeSelf() member.Instance {
	i := e.settings.Instance
	return member.Instance{Name: i.Name, Role: member.RoleEntry, Region: i.Region, Domain: i.Domain, Labels: config.Labels(i.Labels)}
}

func (e *Entry) newHello() *wire.Hello {
	i := e.settings.Instance
	return &wire.Hello{
		Version:     wire.Version,
		Name:        i.Name,
		Incarnation: link.NewIncarnation(),
		Role:        string(member.RoleEntry),
		Region:      i.Region,
		Domain:      i.Domain,
	}
}

func (e *Entry) newHeartbeat() *wire.Beat {
	return e.follower.NewHeartbeat(e.stopper.IsLeaving())
}

// routeSettings returns the routing settings for one service.
func (e *Entry) routeSettings(service string) route.Settings {
	r := route.DefaultSettings()
	r.Name = e.settings.Instance.Name
	r.Service = service
	r.Region = e.settings.Instance.Region
	r.Policy = route.Policy(e.settings.Routing.Policy)
	r.SubsetSize = e.settings.Routing.SubsetSize
	r.SubsetMax = e.settings.Routing.SubsetMax
	r.RegionRoundTrip = e.settings.Routing.RegionRoundTrip
	if loaded := e.follower.GetLoaded(); loaded != nil {
		r.RegionOrder = loaded.Snapshot.GetLimits().RegionOrder[r.Region]
	}
	return r
}

// FetchChunks fetches chunks of the configuration from a peer.
func (e *Entry) FetchChunks(ctx context.Context, peer string, fetch *wire.Fetch) (*wire.Chunks, error) {
	return e.fleet.FetchChunks(ctx, peer, fetch)
}

func (e *Entry) checkReady() error {
	return procs.CheckReady(e.follower, e.stopper)
}

// listen starts the servers and publishes their addresses and the figures of the process.
func (e *Entry) listen() error {
	s := e.settings
	e.callerRouter = caller.NewRouter(caller.Options{
		Configuration: e.follower,
		Walker:        walk.NewWalker(e.runner, e.policy, e.fleet, e.follower),
		Direct:        e.newDirectCaller(),
		Admission:     e.stopper,
		Tracer:        e.tracer,
		Log:           e.log,
		MaxBodyBytes:  s.Callers.MaxBodyBytes,
	})
	var failures [5]error
	var callerCert, adminCert *httpd.Certificate
	callerCert, failures[3] = httpd.LoadCertificate(s.Callers.Server.Cert, s.Callers.Server.Key)
	adminCert, failures[4] = httpd.LoadCertificate(s.Admin.Server.Cert, s.Admin.Server.Key)
	if err := errors.Join(failures[:]...); err != nil {
		return err
	}
	e.callerServer, failures[0] = httpd.NewServer(httpd.Options{
		Address:      s.Callers.Listen,
		Handler:      e.callerRouter.NewHandler(),
		MaxBodyBytes: s.Callers.MaxBodyBytes,
		Refuse:       e.callerRouter.Refuse,
		Certificate:  callerCert,
	})
	e.adminServer, failures[1] = httpd.NewServer(httpd.Options{
		Address:      s.Admin.Listen,
		Handler:      e.newAdminRouter(),
		MaxBodyBytes: admin.MaxBodyBytes,
		WriteBuffer:  adminWriteBuffer,
		Refuse:       admin.Refuse,
		Certificate:  adminCert,
	})
	e.metricsServer, failures[2] = stats.NewServer(s.Metrics.Listen, e.checkReady)
	if err := errors.Join(failures[:]...); err != nil {
		return err
	}
	expvar.Publish("verbena", expvar.Func(e.report))
	return s.Metrics.WriteAddresses(map[string]netip.AddrPort{
		"callers": e.callerServer.Address(),
		"admin":   e.adminServer.Address(),
		"metrics": e.metricsServer.Address(),
	})
}

func (e *Entry) newDirectCaller() *direct.Caller {
	return direct.NewCaller(direct.Options{
		Runner:        e.runner,
		Policy:        e.policy,
		Agents:        e.fleet,
		Claims:        e.port,
		Configuration: e.follower,
		Log:           e.log,
	})
}

// serve starts the services, waits until the process may exit, and closes the servers and the
// tracer.
func (e *Entry) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.follower.Start(ctx)
	e.fleet.Start(ctx)
	go e.loopEntries(ctx)
	sweep.NewSweeper(sweep.Options{
		Claims:    e.port,
		Snapshots: e.follower,
		Election:  e.fleet,
		Interval:  sweep.DefaultInterval,
		Pause:     sweep.DefaultPause,
		Log:       e.log,
	}).Start(ctx)
	e.log.Info("started",
		zap.Stringer("callers", e.callerServer.Address()),
		zap.Stringer("admin", e.adminServer.Address()),
		zap.Stringer("metrics", e.metricsServer.Address()),
	)
	stops.Wait(ctx, e.stopper, e.stopSignals, e.log)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	return errors.Join(
		e.callerServer.Shutdown(closeCtx),
		e.adminServer.Shutdown(closeCtx),
		e.metricsServer.Close(closeCtx),
		e.tracer.Close(closeCtx),
	)
}

// loopEntries regularly divides limits and committed amounts among the live entries.
func (e *Entry) loopEntries(ctx context.Context) {
	ticker := time.NewTicker(entryCountInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.policy.SetEntryCount(now, e.fleet.CountEntries())
		}
	}
}
