package poison

import (
	"slices"
	"time"
)

// DefaultLimit is the number of crashed servers at which a request is quarantined.
const DefaultLimit = 3

const (
	// suspectRetention is how long the crashes of a request are kept after its last counted
	// crash.
	suspectRetention = 10 * time.Minute
	// maxSuspects limits the number of suspects. The one whose last crash is the oldest is
	// evicted first.
	maxSuspects = 4096
	// maxOverlapping limits the servers of a suspect that crashed during overlapping attempts.
	maxOverlapping = 16
)

// Crash is an attempt of a request during which its server crashed.
type Crash struct {
	// Server identifies one start of the server: its ID and when it started.
	Server string
	// Version is the version of the server's software.
	Version string
	// SentAt is when the attempt was sent, BrokeAt when its connection broke.
	SentAt  time.Time
	BrokeAt time.Time
}

// Suspect holds the counted crashes of a request that has not been served since.
type Suspect struct {
	// Servers are the servers of the counted crashes, in the order in which they were recorded;
	// Versions are the distinct versions of their software.
	Servers  []string
	Versions []string
	// crashes are the counted crashes; their attempts do not overlap in time. lastCrash is
	// when the last of the attempts broke.
	crashes   []Crash
	lastCrash time.Time
	// overlapping are the other servers that crashed, during attempts that overlap with a counted one.
	overlapping []string
}

// isKnown reports whether a crash of the same server was recorded.
func (s *Suspect) isKnown(c Crash) bool {
	return slices.Contains(s.Servers, c.Server) || slices.Contains(s.overlapping, c.Server)
}

// overlaps reports whether the attempt of a crash overlaps in time with that of a counted one.
func (s *Suspect) overlaps(c Crash) bool {
	return slices.ContainsFunc(s.crashes, func(other Crash) bool {
		return c.SentAt.Before(other.BrokeAt) && other.SentAt.Before(c.BrokeAt)
	})
}

// CrashCounter counts the servers that each request has crashed. It is not safe for concurrent
// use.
//
// A crash breaks every request on its server, and most of these requests did not cause it. The
// request that did has a distinct history: it was never served, and it crashed one server after
// another. Attempts that overlap in time count once, since several servers may crash together; but a
// request that is sent at several servers at once, and crashes all of them again and again, has crashed more
// servers than a bystander would meet. Attempts that broke because the same server was down count once as well.
type CrashCounter struct {
	limit    int
	suspects map[ID]*Suspect
}

// NewCrashCounter returns a counter without suspects. A request that has crashed limit servers
// is poison.
func NewCrashCounter(limit int) *CrashCounter {
	return &CrashCounter{limit: limit, suspects: map[ID]*Suspect{}}
}

// Record counts a crash unless it is a duplicate, and returns the request's counted crashes.
func (cc *CrashCounter) Record(now time.Time, id ID, c Crash) Suspect {
	s := cc.suspects[id]
	if s == nil || now.Sub(s.lastCrash) > suspectRetention {
		cc.evict(now)
		s = &Suspect{lastCrash: c.BrokeAt}
		cc.suspects[id] = s
	}
	switch {
	case s.isKnown(c):
		return *s
	case s.overlaps(c):
		if len(s.overlapping) < maxOverlapping {
			s.overlapping = append(s.overlapping, c.Server)
		}
		return *s
	}
	s.crashes = append(s.crashes, c)
	s.Servers = append(s.Servers, c.Server)
	if !slices.Contains(s.Versions, c.Version) {
		s.Versions = append(s.Versions, c.Version)
	}
	if c.BrokeAt.After(s.lastCrash) {
		s.lastCrash = c.BrokeAt
	}
	return *s
}

// IsPoison reports whether the request has crashed at least as many servers as the limit, one after the other, or two
// groups of servers that are nearly twice as many together.
func (cc *CrashCounter) IsPoison(s Suspect) bool {
	const groups = 2
	return len(s.Servers) >= cc.limit || len(s.Servers) >= groups && len(s.Servers)+len(s.overlapping) >= groups*cc.limit-1
}

// Clear deletes the recorded crashes of a request, for instance because it was served.
func (cc *CrashCounter) Clear(id ID) { delete(cc.suspects, id) }

// Len returns the number of suspects.
func (cc *CrashCounter) Len() int { return len(cc.suspects) }

// evict removes expired suspects if maxSuspects is reached. If that frees no space, it removes
// the suspect whose last crash is the oldest.
func (cc *CrashCounter) evict(now time.Time) {
	if len(cc.suspects) < maxSuspects {
		return
	}
	oldest := ID("")
	for id, s := range cc.suspects {
		if now.Sub(s.lastCrash) > suspectRetention {
			delete(cc.suspects, id)
			continue
		}
		if oldest == "" || s.lastCrash.Before(cc.suspects[oldest].lastCrash) {
			oldest = id
		}
	}
	if len(cc.suspects) >= maxSuspects {
		delete(cc.suspects, oldest)
	}
}
