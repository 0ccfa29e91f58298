package spread

import "time"

// renewAt is the percentage of GoodFor after which a process renews its confirmation by itself.
const renewAt = 75

// Settings are the periods of spreading.
type Settings struct {
	// GoodFor is how long a confirmation by the key-value service holds, on the monotonic clock.
	GoodFor time.Duration
	// WatchPoll is the period between a watcher's reads of the head beside its watch.
	WatchPoll time.Duration
	// SlowPoll is the mean period of everybody else's reads.
	SlowPoll time.Duration
	// Retry is the first wait after a read that failed; it doubles up to SlowPoll.
	Retry time.Duration
	// PeerWait is how long peers are listened to after a read failed, before the process goes on without.
	PeerWait time.Duration
	// Pause is the gap between two ticks that shows that the process was frozen; several tick periods.
	Pause time.Duration
	// ReadTimeout is after how long a read, or a fetch from a peer, counts as failed though the shell said nothing.
	ReadTimeout time.Duration
	// FetchTimeout is the same for a fetch from the service, which a starting process makes chunk by chunk.
	FetchTimeout time.Duration
	// Watchers is how many instances of a failure domain hold a watch.
	Watchers int
}

// DefaultSettings returns periods under which a change is in force within 8 s.
func DefaultSettings() Settings {
	return Settings{
		GoodFor:      5 * time.Second,
		WatchPoll:    time.Second,
		SlowPoll:     30 * time.Second,
		Retry:        250 * time.Millisecond,
		PeerWait:     2 * time.Second,
		Pause:        2 * time.Second,
		ReadTimeout:  2 * time.Second,
		FetchTimeout: 20 * time.Second,
		Watchers:     2,
	}
}
