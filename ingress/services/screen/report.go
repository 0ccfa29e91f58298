package screen

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/wire"
)

const (
	// probeTime is how long the answer of a probe holds: a crash breaks many requests at once.
	probeTime = 500 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = time.Second
	// tellTimeout bounds telling one ingress.
	tellTimeout = time.Second
	// maxOwners bounds the ingresses that are tried in turn for one report.
	maxOwners = 3
	// writeTimeout bounds a write to the store, which is repeated after writePause.
	writeTimeout = 1500 * time.Millisecond
	writePause   = 300 * time.Millisecond
	// writeTime bounds all of them: a store that is away for longer has forgotten nothing, and the
	// request is quarantined here meanwhile.
	writeTime = time.Minute
)

// probe is a question whether a server is up.
type probe struct {
	at   time.Time
	done chan struct{}
	// up is set before done is closed.
	up bool
}

// isUp tells whether a server takes connections. A connection that broke off alone says
// little: it may have been reset, or its answer spoiled.
func (s *Screen) isUp(server site.Server) bool {
	s.lock.Lock()
	now := time.Now()
	p := s.probes[server.ID]
	mine := p == nil || now.Sub(p.at) > probeTime
	if mine {
		for id, other := range s.probes {
			if now.Sub(other.at) > probeTime {
				delete(s.probes, id)
			}
		}
		p = &probe{at: now, done: make(chan struct{})}
		s.probes[server.ID] = p
	}
	s.lock.Unlock()
	if mine {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		p.up = s.options.Prober.IsUp(ctx, server.Address)
		close(p.done)
	}
	<-p.done
	return p.up
}

// runReport has a crash counted by the ingress that counts for the request.
func (s *Screen) runReport(id poison.ID, server site.Server, c poison.Crash) {
	if s.isUp(server) {
		return
	}
	s.lock.Lock()
	wasServed := s.served.Has(id)
	if !wasServed && len(s.reported) < maxReported {
		s.reported[id] = true
	}
	s.lock.Unlock()
	if wasServed {
		return
	}
	for _, name := range s.listOwners(id) {
		if name == s.options.Peers.Self() {
			break
		}
		quarantined, err := s.tellCrash(name, id, server.Service, c)
		if err == nil {
			s.noteWord(id, quarantined)
			return
		}
		s.options.Log.Info("crash-untold", zap.String("digest", string(id)), zap.String("ingress", name), logs.Err(err))
	}
	s.count(id, server.Service, c)
}

// listOwners returns the ingresses that may count for a request, the first that can be reached does.
func (s *Screen) listOwners(id poison.ID) []string {
	ranked := s.options.Peers.Rank(ownerKey(id))
	return ranked[:min(len(ranked), maxOwners)]
}

func (s *Screen) tellCrash(name string, id poison.ID, service string, c poison.Crash) (quarantined bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	now := time.Now()
	got, err := s.options.Peers.ReportCrash(ctx, name, &wire.Crash{
		Request: string(id), Service: service, ServerId: c.Server, Version: c.Version,
		SentAgoNanos: int64(now.Sub(c.SentAt)), BrokeAgoNanos: int64(now.Sub(c.BrokeAt)),
	})
	return got.GetQuarantined(), err
}

// noteWord takes the word of the ingress that counts, which comes before its record.
func (s *Screen) noteWord(id poison.ID, quarantined bool) {
	if !quarantined {
		return
	}
	if s.IsQuarantined(id) {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.served.Has(id) {
		s.decided[id] = true
	}
}

// runTellServed takes back what this ingress reported of a request.
func (s *Screen) runTellServed(id poison.ID) {
	for _, name := range s.listOwners(id) {
		if name == s.options.Peers.Self() {
			s.ServeServed(&wire.Served{Request: string(id)})
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		err := s.options.Peers.ReportServed(ctx, name, &wire.Served{Request: string(id)})
		cancel()
		if err != nil {
			s.options.Log.Info("served-untold", zap.String("digest", string(id)), zap.String("ingress", name), logs.Err(err))
		}
	}
}

// TakeTrial tells whether a quarantined request is to be sent to one server, to see whether it
// still crashes it. The ingress that counts for the request says so, and as often as the record allows over all ingresses.
func (s *Screen) TakeTrial(ctx context.Context, id poison.ID) bool {
	q, known := s.view.Load().Quarantines[id]
	if !known || s.listOwners(id)[0] != s.options.Peers.Self() {
		return false
	}
	now := time.Now()
	s.lock.Lock()
	due := s.options.Trials.IsDue(now, s.since[id], q.Trials)
	if due {
		s.since[id] = now // also where the write fails: it is tried later
	}
	s.lock.Unlock()
	if !due {
		return false
	}
	q.Trials++
	value, err := s.options.Codec.WriteQuarantine(q)
	if err == nil {
		err = s.writeOnce(ctx, func(ctx context.Context) error {
			return s.options.Store.PutIf(ctx, s.options.Codec.QuarantineKey(string(id)), value, q.Revision)
		})
	}
	s.options.Log.Warn("quarantine", zap.String("digest", string(id)), zap.String("what", "tried"),
		zap.Int("trials", q.Trials), logs.Err(err))
	return err == nil
}

// runPut writes a quarantine, and ends the oldest ones where there are too many.
func (s *Screen) runPut(id poison.ID, q site.Quarantine) {
	value, err := s.options.Codec.WriteQuarantine(q)
	if err != nil {
		s.options.Log.Error("quarantine-unwritten", zap.String("digest", string(id)), logs.Err(err))
		return
	}
	s.write(id, "quarantined", func(ctx context.Context) error {
		return s.options.Store.Put(ctx, s.options.Codec.QuarantineKey(string(id)), value, 0)
	})
	for _, old := range poison.FindExcessQuarantines(s.view.Load().Quarantines) {
		s.runEnd(old, "there are too many")
	}
}

// runEnd ends a quarantine.
func (s *Screen) runEnd(id poison.ID, reason string) {
	s.write(id, "released: "+reason, func(ctx context.Context) error {
		return s.options.Store.Remove(ctx, s.options.Codec.QuarantineKey(string(id)))
	})
}

// write repeats a write until the store has confirmed it.
func (s *Screen) write(id poison.ID, what string, do func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTime)
	defer cancel()
	for {
		err := s.writeOnce(ctx, do)
		s.options.Log.Warn("quarantine", zap.String("digest", string(id)), zap.String("what", what), logs.Err(err))
		if err == nil || !pauses.Wait(ctx, writePause) {
			return
		}
	}
}

func (*Screen) writeOnce(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return do(ctx)
}
