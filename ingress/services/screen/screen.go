// Package screen quarantines requests that crash backend servers, so that they reach no further
// servers. It decides based on the attempts that broke and the requests that were served.
//
// The crashes of a request are counted by one ingress, the owner of the request, which is chosen by
// rendezvous hashing. The other ingresses report crashes to it. Requests that all differ may share a
// prompt part that crashes servers; three ingresses count the crashes of all parts of a service. A
// quarantine, of a request or of a part, is a record in the platform's store, so that it applies at every
// ingress and survives their restarts.
package screen

import (
	"context"
	"maps"
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

// Peers communicates with the other ingresses.
type Peers interface {
	// Rank returns the names of the ingresses that can be reached, ordered by their score for a key.
	Rank(key string) []string
	// Self returns the name of this ingress.
	Self() string
	// ReportCrash reports a crash to another ingress, which counts it and replies whether the request
	// is quarantined. ReportServed reports that a request was served.
	ReportCrash(ctx context.Context, name string, c *wire.Crash) (*wire.CrashNoted, error)
	ReportServed(ctx context.Context, name string, s *wire.Served) error
	// ReportPartCrash reports a crash with the prompt parts of a request to another ingress, which counts
	// it and replies which of the parts are quarantined.
	ReportPartCrash(ctx context.Context, name string, c *wire.PartCrash) (*wire.PartCrashNoted, error)
}

// Store writes records.
type Store interface {
	Put(ctx context.Context, key string, value []byte, lease site.Lease) (site.Revision, error)
	// PutIf writes a record if its last change has the given revision.
	PutIf(ctx context.Context, key string, value []byte, revision site.Revision) (site.Revision, error)
	Remove(ctx context.Context, key string) (site.Revision, error)
}

// Codec encodes the records of quarantines.
type Codec interface {
	QuarantineKey(id string) string
	WriteQuarantine(q site.Quarantine) ([]byte, error)
}

// Prober checks whether a server is up.
type Prober interface {
	IsUp(ctx context.Context, address netip.AddrPort) bool
}

// Options are the settings of a Screen.
type Options struct {
	Peers  Peers
	Store  Store
	Codec  Codec
	Prober Prober
	// Limit is the number of crashed servers at which a request is quarantined.
	Limit int
	// Trials schedules the trials of quarantined requests.
	Trials poison.TrialSchedule
	Log    *zap.Logger
}

// Screen tracks the requests that crash servers. It is safe for concurrent use.
type Screen struct {
	options Options
	view    atomic.Pointer[state.View]

	lock sync.Mutex
	// crashes counts the crashes of the requests that this ingress owns. served holds the requests
	// that were served at this ingress.
	crashes *poison.CrashCounter
	served  *poison.ServedSet
	// parts counts the crashes of prompt parts, by service. answered holds the parts of the requests that
	// were answered at this ingress, or at others as far as they reported it.
	parts    map[string]*poison.PartCounter
	answered *poison.AnsweredSet
	// pending holds the quarantined requests and parts whose quarantine is not yet in the view.
	pending map[poison.ID]bool
	// reported holds the requests of which this ingress has reported a crash and that have not been
	// served since.
	reported map[poison.ID]bool
	// probes holds the recent probes by server ID.
	probes map[string]*probe
	// changedAt holds when this ingress observed the last change of each quarantine.
	changedAt map[poison.ID]time.Time
}

// maxReported limits the size of Screen.reported.
const maxReported = 4096

// NewScreen returns a screen without quarantines.
func NewScreen(options Options) *Screen {
	s := &Screen{
		options: options, crashes: poison.NewCrashCounter(options.Limit), served: poison.NewServedSet(),
		parts: map[string]*poison.PartCounter{}, answered: poison.NewAnsweredSet(),
		pending: map[poison.ID]bool{}, reported: map[poison.ID]bool{}, probes: map[string]*probe{},
		changedAt: map[poison.ID]time.Time{},
	}
	s.view.Store(&state.View{})
	return s
}

// SetView replaces the quarantines by those of a new view. It ends the quarantine of a request that
// was served at this ingress, because such a request does not crash servers, and that of a part with which
// a request was answered here lately.
func (s *Screen) SetView(v *state.View) {
	before := s.view.Swap(v)
	s.lock.Lock()
	defer s.lock.Unlock()
	if v.IsComplete && !maps.EqualFunc(before.Versions, v.Versions, slices.Equal) {
		s.forgetAnswers(v)
	}
	for id, q := range v.Quarantines {
		if old, known := before.Quarantines[id]; known && old.Revision == q.Revision {
			continue
		}
		delete(s.pending, id)
		s.changedAt[id] = time.Now()
		switch {
		case id.IsPart():
			s.observePart(id, q)
		case s.served.Has(time.Now(), id, q.Versions...):
			go s.runEnd(id, "it was served here")
		}
	}
	for id := range before.Quarantines {
		if _, stays := v.Quarantines[id]; !stays {
			s.crashes.Clear(id)
			s.clearPart(id)
			delete(s.changedAt, id)
		}
	}
}

// FindQuarantine returns the ID under which a request is quarantined, its own or that of one of its parts.
// It returns false if the request may be sent to servers.
func (s *Screen) FindQuarantine(i poison.Identity) (poison.ID, bool) {
	if s.isQuarantined(i.Request) {
		return i.Request, true
	}
	for _, id := range i.Parts {
		if s.isQuarantined(id) {
			return id, true
		}
	}
	return "", false
}

// isQuarantined reports whether no request with an ID must be sent to any server.
func (s *Screen) isQuarantined(id poison.ID) bool {
	v := s.view.Load()
	if q, known := v.Quarantines[id]; known && poison.QuarantineApplies(q, v.Servers[q.Service]) {
		return true
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.pending[id]
}

// RecordServed records a request that received a complete answer from a server with a software version, and thus
// does not crash such servers. The crashes that this ingress has reported of it are withdrawn, and its quarantine is
// ended if it is for that version. The answer may be an error, which says nothing about the parts of its prompt.
func (s *Screen) RecordServed(id poison.ID, version string) {
	s.lock.Lock()
	s.served.Add(time.Now(), id, version)
	reported := s.reported[id]
	delete(s.reported, id)
	s.lock.Unlock()
	if reported {
		go s.runReportServed(id)
	}
	if q, quarantined := s.view.Load().Quarantines[id]; quarantined && slices.Contains(q.Versions, version) {
		go s.runEnd(id, "it was served")
	}
}

// RecordCrash records an attempt that broke. It is counted as a crash if its server is down, and as one of the
// parts of its prompt unless it had been answered for a while.
func (s *Screen) RecordCrash(i poison.Identity, server site.Server, sent time.Time, isAnswered bool) {
	c := poison.Crash{Server: incarnationName(server), Version: server.Version, SentAt: sent, BrokeAt: time.Now()}
	go s.runReport(i, server, c, isAnswered)
}

// incarnationName identifies one incarnation of a server.
func incarnationName(s site.Server) string { return s.ID + "/" + strconv.FormatInt(s.Incarnation, 10) }

// ownerKey returns the key by which the owner of a request is chosen.
func ownerKey(id poison.ID) string { return "poison/" + string(id) }

// countCrash counts a crash at this ingress and reports whether the request is quarantined.
func (s *Screen) countCrash(id poison.ID, service string, c poison.Crash) bool {
	q, known := s.view.Load().Quarantines[id]
	s.lock.Lock()
	suspect := s.crashes.Record(time.Now(), id, c)
	// Once a request is quarantined, crashes of the listed software versions change nothing, because
	// these attempts were already in flight. A crash of another version extends the quarantine.
	newlyQuarantined := s.crashes.IsPoison(suspect) && !known || known && !slices.Contains(q.Versions, c.Version)
	newlyQuarantined = newlyQuarantined && !s.pending[id] && !s.served.IsTrusted(time.Now(), id, c.Version)
	if newlyQuarantined {
		s.pending[id] = true
		s.crashes.Clear(id)
	}
	s.lock.Unlock()
	s.options.Log.Warn("crash-counted", zap.String("digest", string(id)), zap.String("service", service),
		zap.Strings("servers", suspect.Servers), zap.Strings("versions", suspect.Versions), zap.Bool("quarantined", newlyQuarantined))
	if newlyQuarantined {
		go s.runPut(id, poison.ExtendQuarantine(q, service, suspect))
	}
	return s.isQuarantined(id)
}

// ServeCrash counts a crash that another ingress reports.
func (s *Screen) ServeCrash(report *wire.Crash) *wire.CrashNoted {
	now := time.Now()
	quarantined := s.countCrash(poison.ID(report.GetRequest()), report.GetService(), poison.Crash{
		Server: report.GetServerId(), Version: report.GetVersion(),
		SentAt:  now.Add(-time.Duration(report.GetSentAgoNanos())),
		BrokeAt: now.Add(-time.Duration(report.GetBrokeAgoNanos())),
	})
	return &wire.CrashNoted{Quarantined: quarantined}
}

// ServeServed deletes the counted crashes of a request because an ingress reports that it was
// served.
func (s *Screen) ServeServed(report *wire.Served) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.crashes.Clear(poison.ID(report.GetRequest()))
}
