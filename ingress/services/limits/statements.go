package limits

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// maxStatements limits the statements in one heartbeat, to about 3 KB. Of more, each heartbeat
// carries a random selection.
const maxStatements = 64

// Statements returns what the heartbeats of this ingress tell the others about the limits of servers.
func (r *Registry) Statements() []*wire.RateLimit {
	now := time.Now()
	r.lock.Lock()
	list := r.limiter.Statements(now)
	if r.hasClosed.Load() {
		r.countClosed(now) // pauses have ended since
	}
	r.lock.Unlock()
	if len(list) > maxStatements {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:maxStatements]
	}
	messages := make([]*wire.RateLimit, 0, len(list))
	for _, s := range list {
		messages = append(messages, encodeStatement(s))
	}
	return messages
}

// Statement returns what other ingresses are told about the limit of one server, or nil if none is
// known.
func (r *Registry) Statement(server *site.Server) *wire.RateLimit {
	r.lock.Lock()
	defer r.lock.Unlock()
	s, known := r.limiter.FindStatement(server)
	if !known {
		return nil
	}
	return encodeStatement(s)
}

func encodeStatement(s quota.Statement) *wire.RateLimit {
	return &wire.RateLimit{
		ServerId: s.ServerID, Incarnation: s.Incarnation, Limited: s.Limited, PerSecond: s.PerSecond, Version: s.Version,
	}
}

// Merge records what a heartbeat of another ingress tells about the limits of servers. Statements
// about servers that are not in the view are ignored.
func (r *Registry) Merge(ingress string, messages []*wire.RateLimit) {
	now := time.Now()
	for _, m := range messages {
		s := quota.Statement{
			ServerID: m.GetServerId(), Incarnation: m.GetIncarnation(), Limited: m.GetLimited(), PerSecond: m.GetPerSecond(), Version: m.GetVersion(),
		}
		r.lock.Lock()
		server, known := r.getServers()[s.ServerID]
		changed := known && r.limiter.Merge(now, s)
		if changed {
			r.countLimits()
		}
		r.lock.Unlock()
		if changed {
			r.log.Info("server-limit", zap.String("server", s.ServerID), zap.String("service", server.Service),
				zap.Stringer("per-second", rateLimitOf(s)), zap.String("source", ingress))
		}
	}
}

func rateLimitOf(s quota.Statement) site.RateLimit {
	if !s.Limited {
		return site.RateLimit{}
	}
	return site.RateLimit{State: site.RateLimited, PerSecond: s.PerSecond}
}
