// Package screen keeps requests that crash backend servers from reaching any more of them. In:
// attempts that broke off, and requests that were served. Out: whether a request is
// quarantined.
//
// One ingress counts for each request, by rendezvous hashing; the others tell it of crashes. A
// quarantine is a record in the platform's store, so that it reaches every ingress and outlasts them all.
package screen

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// Peers reaches the other ingresses.
type Peers interface {
	// Rank lists the ingresses that can be reached by their score for a key.
	Rank(key string) []string
	Self() string
	ReportCrash(ctx context.Context, name string, c *wire.Crash) (*wire.CrashNoted, error)
	ReportServed(ctx context.Context, name string, s *wire.Served) error
}

// Store writes records.
type Store interface {
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// PutIf writes a record whose last change was that of a revision.
	PutIf(ctx context.Context, key string, value []byte, revision uint64) error
	Remove(ctx context.Context, key string) error
}

// Codec writes quarantines.
type Codec interface {
	QuarantineKey(id string) string
	WriteQuarantine(q site.Quarantine) ([]byte, error)
}

// Prober finds out whether a server is up.
type Prober interface {
	IsUp(ctx context.Context, address netip.AddrPort) bool
}

// Options are the settings of a Screen.
type Options struct {
	Peers  Peers
	Store  Store
	Codec  Codec
	Prober Prober
	// Limit is how many servers a request may crash.
	Limit int
	// Trials are when a quarantined request is tried again.
	Trials poison.TrialSchedule
	Log    *zap.Logger
}

// Screen knows the requests that crash servers; its methods may be used by many goroutines.
type Screen struct {
	options Options
	view    atomic.Pointer[state.View]

	lock sync.Mutex
	// ledger holds what is counted here, served what was served here.
	ledger *poison.CrashCounter
	served *poison.ServedSet
	// decided are quarantines that the view does not hold yet.
	decided map[poison.ID]bool
	// reported are the requests of which this ingress reported a crash, and that were not served since.
	reported map[poison.ID]bool
	probes   map[string]*probe
	// since holds when the last change of a quarantine was seen.
	since map[poison.ID]time.Time
}

// maxReported bounds the requests whose service would be told.
const maxReported = 4096

// NewScreen returns a screen that knows no request.
func NewScreen(options Options) *Screen {
	s := &Screen{
		options: options, ledger: poison.NewCrashCounter(options.Limit), served: poison.NewServedSet(),
		decided: map[poison.ID]bool{}, reported: map[poison.ID]bool{}, probes: map[string]*probe{},
		since: map[poison.ID]time.Time{},
	}
	s.view.Store(&state.View{})
	return s
}

// TakeView takes the quarantines of a new view. One of a request that was served here is ended: it
// was a bystander.
func (s *Screen) TakeView(v *state.View) {
	before := s.view.Swap(v)
	s.lock.Lock()
	defer s.lock.Unlock()
	for id, q := range v.Quarantines {
		if old, known := before.Quarantines[id]; known && old.Revision == q.Revision {
			continue
		}
		delete(s.decided, id)
		s.since[id] = time.Now()
		if s.served.Has(id) {
			go s.runEnd(id, "it was served here")
		}
	}
	for id := range before.Quarantines {
		if _, stays := v.Quarantines[id]; !stays {
			s.ledger.Clear(id)
			delete(s.since, id)
		}
	}
}

// IsQuarantined tells whether a request is to reach no server.
func (s *Screen) IsQuarantined(id poison.ID) bool {
	v := s.view.Load()
	if q, known := v.Quarantines[id]; known && poison.QuarantineApplies(q, v.Servers[q.Service]) {
		return true
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.decided[id]
}

// NoteServed notes a request that a server answered whole. It does not crash servers.
func (s *Screen) NoteServed(id poison.ID) {
	s.lock.Lock()
	s.served.Add(id)
	reported := s.reported[id]
	delete(s.reported, id)
	s.lock.Unlock()
	if reported {
		go s.runTellServed(id)
	}
	if _, quarantined := s.view.Load().Quarantines[id]; quarantined {
		go s.runEnd(id, "it was served")
	}
}

// NoteBroken notes an attempt that broke off its server, and has it counted where the server crashed.
func (s *Screen) NoteBroken(id poison.ID, server site.Server, sent time.Time) {
	go s.runReport(id, server, poison.Crash{Server: startOf(server), Version: server.Version, SentAt: sent, BrokeAt: time.Now()})
}

// startOf names one start of a server.
func startOf(s site.Server) string { return s.ID + "/" + strconv.FormatInt(s.Incarnation, 10) }

// ownerKey is that by which the ingress that counts for a request is chosen.
func ownerKey(id poison.ID) string { return "poison/" + string(id) }

// count counts a crash here and tells whether the request is quarantined.
func (s *Screen) count(id poison.ID, service string, c poison.Crash) bool {
	q, known := s.view.Load().Quarantines[id]
	s.lock.Lock()
	suspect := s.ledger.Record(time.Now(), id, c)
	// Attempts that were under way when it was quarantined change nothing; other software does.
	found := s.ledger.IsPoison(suspect) && !known || known && !slices.Contains(q.Versions, c.Version)
	found = found && !s.decided[id] && !s.served.Has(id)
	if found {
		s.decided[id] = true
		s.ledger.Clear(id)
	}
	s.lock.Unlock()
	s.options.Log.Warn("crash-counted", zap.String("digest", string(id)), zap.String("service", service),
		zap.Strings("servers", suspect.Servers), zap.Strings("versions", suspect.Versions), zap.Bool("quarantined", found))
	if found {
		go s.runPut(id, poison.ExtendQuarantine(q, service, suspect))
	}
	return s.IsQuarantined(id)
}

// ServeCrash counts a crash for another ingress.
func (s *Screen) ServeCrash(told *wire.Crash) *wire.CrashNoted {
	now := time.Now()
	quarantined := s.count(poison.ID(told.GetRequest()), told.GetService(), poison.Crash{
		Server: told.GetServerId(), Version: told.GetVersion(),
		SentAt:  now.Add(-time.Duration(told.GetSentAgoNanos())),
		BrokeAt: now.Add(-time.Duration(told.GetBrokeAgoNanos())),
	})
	return &wire.CrashNoted{Quarantined: quarantined}
}

// ServeServed takes back what is held against a request.
func (s *Screen) ServeServed(told *wire.Served) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ledger.Clear(poison.ID(told.GetRequest()))
}
