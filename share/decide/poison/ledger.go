package poison

import (
	"slices"
	"time"
)

// DefaultLimit is how many servers a request may crash before it is quarantined.
const DefaultLimit = 3

const (
	// suspectTime is how long crashes are held against a request that does not come again.
	suspectTime = 10 * time.Minute
	// maxSuspects bounds the requests that are held; the one that crashed nothing for longest goes first.
	maxSuspects = 4096
)

// Crash is an attempt of a request that ended with its server.
type Crash struct {
	// Server names one start of the server: its ID and when it started.
	Server string
	// Version is that of the server's software.
	Version string
	// Sent and Broke are when the attempt was sent and when it broke off.
	Sent  time.Time
	Broke time.Time
}

// Suspect is what is held against a request.
type Suspect struct {
	// Servers are those that crashed, one after the other, Versions those of their software.
	Servers  []string
	Versions []string
	// crashes do not overlap in time; lastBroke is when the last of them was.
	crashes   []Crash
	lastBroke time.Time
}

// isCounted tells whether a crash is counted already: that of the same server, or of one whose attempt
// was under way at the same time.
func (s *Suspect) isCounted(c Crash) bool {
	return slices.ContainsFunc(s.crashes, func(other Crash) bool {
		return c.Server == other.Server || c.Sent.Before(other.Broke) && other.Sent.Before(c.Broke)
	})
}

// Ledger counts the servers that requests have crashed; its caller guards it.
//
// A crash breaks every request at its server, and most of them are bystanders. A request is told
// from these by its history: it was never served, and crashed one server after the other.
// Attempts that were under way at the same time count once, as where several servers crash together, and so
// do those that found the same server down.
type Ledger struct {
	limit    int
	suspects map[ID]*Suspect
}

// NewLedger returns an empty ledger; limit is how many servers a request may crash.
func NewLedger(limit int) *Ledger {
	return &Ledger{limit: limit, suspects: map[ID]*Suspect{}}
}

// Note counts a crash and returns what is held against its request.
func (l *Ledger) Note(now time.Time, id ID, c Crash) Suspect {
	s := l.suspects[id]
	if s == nil || now.Sub(s.lastBroke) > suspectTime {
		l.makeRoom(now)
		s = &Suspect{lastBroke: c.Broke}
		l.suspects[id] = s
	}
	if s.isCounted(c) {
		return *s
	}
	s.crashes = append(s.crashes, c)
	s.Servers = append(s.Servers, c.Server)
	if !slices.Contains(s.Versions, c.Version) {
		s.Versions = append(s.Versions, c.Version)
	}
	if c.Broke.After(s.lastBroke) {
		s.lastBroke = c.Broke
	}
	return *s
}

// IsPoison tells whether the request has crashed as many servers as it may.
func (l *Ledger) IsPoison(s Suspect) bool { return len(s.Servers) >= l.limit }

// Clear forgets what is held against a request that was served.
func (l *Ledger) Clear(id ID) { delete(l.suspects, id) }

// Count returns the number of suspects.
func (l *Ledger) Count() int { return len(l.suspects) }

// makeRoom forgets old suspects, and the oldest one where there are too many.
func (l *Ledger) makeRoom(now time.Time) {
	if len(l.suspects) < maxSuspects {
		return
	}
	oldest := ID("")
	for id, s := range l.suspects {
		if now.Sub(s.lastBroke) > suspectTime {
			delete(l.suspects, id)
			continue
		}
		if oldest == "" || s.lastBroke.Before(l.suspects[oldest].lastBroke) {
			oldest = id
		}
	}
	if len(l.suspects) >= maxSuspects {
		delete(l.suspects, oldest)
	}
}
