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
	// probeLifetime is how long a probe is reused, because a crash breaks many requests at once.
	probeLifetime = 500 * time.Millisecond
	probeTimeout  = time.Second
	// reportTimeout limits a report to one ingress.
	reportTimeout = time.Second
	// maxOwners limits the ingresses that are tried in turn as the owner of a request.
	maxOwners = 3
	// writeTimeout limits a single write to the store. A failed write is retried after
	// writeRetryDelay.
	writeTimeout    = 1500 * time.Millisecond
	writeRetryDelay = 300 * time.Millisecond
	// maxWriteTime limits the time for a write with all its retries. If the store is unavailable for
	// longer, the quarantines that it holds are not lost, and a new one still applies at this ingress.
	maxWriteTime = time.Minute
)

// probe is a check whether a server is up, shared by all callers of isUp.
type probe struct {
	startedAt time.Time
	done      chan struct{}
	// up is the result. It is written before done is closed.
	up bool
}

// isUp reports whether a server accepts connections. A broken attempt alone does not mean that the
// server crashed: the connection may have been reset, or the answer corrupted.
func (s *Screen) isUp(server site.Server) bool {
	s.lock.Lock()
	now := time.Now()
	p := s.probes[server.ID]
	mustProbe := p == nil || now.Sub(p.startedAt) > probeLifetime
	if mustProbe {
		for id, other := range s.probes {
			if now.Sub(other.startedAt) > probeLifetime {
				delete(s.probes, id)
			}
		}
		p = &probe{startedAt: now, done: make(chan struct{})}
		s.probes[server.ID] = p
	}
	s.lock.Unlock()
	if mustProbe {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		p.up = s.options.Prober.IsUp(ctx, server.Address)
		close(p.done)
	}
	<-p.done
	return p.up
}

// runReport reports a crash to the ingresses that count it. It does nothing if the server is up.
func (s *Screen) runReport(i poison.Identity, server site.Server, c poison.Crash, isAnswered bool) {
	if s.isUp(server) {
		return
	}
	if !isAnswered && len(i.Parts) > 0 {
		go s.runReportParts(i, server.Service, c)
	}
	s.reportRequest(i.Request, server, c)
}

// reportRequest reports a crash to the owner of the request. If this ingress is the owner or cannot reach
// the owner, it counts the crash itself. It does nothing if the request was served here, by that software version or a
// moment ago.
func (s *Screen) reportRequest(id poison.ID, server site.Server, c poison.Crash) {
	s.lock.Lock()
	wasServed := s.served.IsTrusted(time.Now(), id, c.Version)
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
		quarantined, err := s.reportCrash(name, id, server.Service, c)
		if err == nil {
			s.recordDecision(id, c.Version, quarantined)
			return
		}
		s.options.Log.Info("crash-untold", zap.String("digest", string(id)), zap.String("ingress", name), logs.Err(err))
	}
	s.countCrash(id, server.Service, c)
}

// listOwners returns the ingresses that may own a request. The first of them that can be reached is
// the owner.
func (s *Screen) listOwners(id poison.ID) []string {
	ranked := s.options.Peers.Rank(ownerKey(id))
	return ranked[:min(len(ranked), maxOwners)]
}

// reportCrash reports a crash to another ingress and returns whether the request is quarantined.
func (s *Screen) reportCrash(name string, id poison.ID, service string, c poison.Crash) (quarantined bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	now := time.Now()
	got, err := s.options.Peers.ReportCrash(ctx, name, &wire.Crash{
		Request: string(id), Service: service, ServerId: c.Server, Version: c.Version,
		SentAgoNanos: int64(now.Sub(c.SentAt)), BrokeAgoNanos: int64(now.Sub(c.BrokeAt)),
	})
	return got.GetQuarantined(), err
}

// recordDecision records the owner's reply to a reported crash of a server with a software version. The reply arrives before the record
// of the quarantine.
func (s *Screen) recordDecision(id poison.ID, version string, quarantined bool) {
	if !quarantined {
		return
	}
	if s.isQuarantined(id) {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.served.IsTrusted(time.Now(), id, version) {
		s.pending[id] = true
	}
}

// runReportServed withdraws the crashes that this ingress has reported of a request.
func (s *Screen) runReportServed(id poison.ID) {
	for _, name := range s.listOwners(id) {
		if name == s.options.Peers.Self() {
			s.ServeServed(&wire.Served{Request: string(id)})
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		err := s.options.Peers.ReportServed(ctx, name, &wire.Served{Request: string(id)})
		cancel()
		if err != nil {
			s.options.Log.Info("served-untold", zap.String("digest", string(id)), zap.String("ingress", name), logs.Err(err))
		}
	}
}

// TakeTrial reports whether a quarantined request is to be sent to a single server as a trial, to
// find out whether it still crashes servers. Only the owner of the request grants trials. The number
// of trials is stored in the record of the quarantine, so that the schedule applies to all ingresses
// together.
func (s *Screen) TakeTrial(ctx context.Context, id poison.ID) bool {
	q, known := s.view.Load().Quarantines[id]
	if !known || s.listOwners(id)[0] != s.options.Peers.Self() {
		return false
	}
	now := time.Now()
	s.lock.Lock()
	due := s.options.Trials.IsDue(now, s.changedAt[id], q.Trials)
	if due {
		s.changedAt[id] = now // even if the write fails, so that the next trial is delayed
	}
	s.lock.Unlock()
	if !due {
		return false
	}
	q.Trials++
	value, err := s.options.Codec.WriteQuarantine(q)
	if err == nil {
		err = s.writeOnce(ctx, func(ctx context.Context) error {
			_, err := s.options.Store.PutIf(ctx, s.options.Codec.QuarantineKey(string(id)), value, q.Revision)
			return err
		})
	}
	s.options.Log.Warn("quarantine", zap.String("digest", string(id)), zap.String("what", "tried"),
		zap.Int("trials", q.Trials), logs.Err(err))
	return err == nil
}

// runPut writes a quarantine to the store, and ends the oldest quarantines if there are too many.
func (s *Screen) runPut(id poison.ID, q site.Quarantine) {
	value, err := s.options.Codec.WriteQuarantine(q)
	if err != nil {
		s.options.Log.Error("quarantine-unwritten", zap.String("digest", string(id)), logs.Err(err))
		return
	}
	s.write(id, "quarantined", func(ctx context.Context) error {
		_, err := s.options.Store.Put(ctx, s.options.Codec.QuarantineKey(string(id)), value, site.Lease{})
		return err
	})
	for _, old := range poison.FindExcessQuarantines(s.view.Load().Quarantines) {
		s.runEnd(old, "there are too many")
	}
}

// runEnd ends a quarantine by removing its record from the store.
func (s *Screen) runEnd(id poison.ID, reason string) {
	s.write(id, "released: "+reason, func(ctx context.Context) error {
		_, err := s.options.Store.Remove(ctx, s.options.Codec.QuarantineKey(string(id)))
		return err
	})
}

// write retries a write until the store confirms it or maxWriteTime has passed.
func (s *Screen) write(id poison.ID, what string, do func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxWriteTime)
	defer cancel()
	for {
		err := s.writeOnce(ctx, do)
		s.options.Log.Warn("quarantine", zap.String("digest", string(id)), zap.String("what", what), logs.Err(err))
		if err == nil || !pauses.Wait(ctx, writeRetryDelay) {
			return
		}
	}
}

// writeOnce makes a single attempt at a write.
func (*Screen) writeOnce(ctx context.Context, do func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return do(ctx)
}
