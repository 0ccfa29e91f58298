package gossip

import "time"

// renewalPercent is the percentage of ConfirmationTTL after which a process renews its confirmation
// with a read of its own.
const renewalPercent = 75

// Settings are the periods and limits of State.
type Settings struct {
	// ConfirmationTTL is how long a confirmation by the store remains valid, on the monotonic
	// clock.
	ConfirmationTTL time.Duration
	// WatcherPollPeriod is the mean period of the reads that a watcher sends in addition to its
	// watch.
	WatcherPollPeriod time.Duration
	// PollPeriod is the mean period of the reads of all other processes.
	PollPeriod time.Duration
	// RetryBackoff is the base of the backoff after failed reads. The wait after n consecutive
	// failures is RetryBackoff * 2^n, but at most PollPeriod, or ConfirmationTTL at a watcher.
	RetryBackoff time.Duration
	// PeerReportWait is how long a process waits for reports of peers after a read failed, before
	// it continues to serve without confirmation.
	PeerReportWait time.Duration
	// FreezeThreshold is the gap between two ticks above which the process counts as having been
	// frozen. It spans several tick periods.
	FreezeThreshold time.Duration
	// ReadTimeout is the time after which a read counts as failed if the caller has not reported its
	// result, and a fetch from a peer if the caller has reported neither its result nor a part of it.
	ReadTimeout time.Duration
	// StoreFetchTimeout is the same for a fetch from the store. A starting process fetches all
	// chunks there, one by one.
	StoreFetchTimeout time.Duration
	// WatchersPerDomain is the number of instances of a failure domain that hold a watch.
	WatchersPerDomain int
}

// DefaultSettings returns settings under which a change is in force everywhere within 8 s.
func DefaultSettings() Settings {
	return Settings{
		ConfirmationTTL:   5 * time.Second,
		WatcherPollPeriod: time.Second,
		PollPeriod:        30 * time.Second,
		RetryBackoff:      250 * time.Millisecond,
		PeerReportWait:    2 * time.Second,
		FreezeThreshold:   2 * time.Second,
		ReadTimeout:       2 * time.Second,
		StoreFetchTimeout: 20 * time.Second,
		WatchersPerDomain: 2,
	}
}
