package fleet

import (
	"time"

	"verbenaroad.example/share/models/member"
)

// Report holds a fleet's counters.
type Report struct {
	Agents   int `json:"agents"`
	Sessions int `json:"sessions"`
	Entries  int `json:"entries"`
	// SessionBytes counts the bytes on all open sessions. CrossBytes counts those on sessions to
	// other regions, open and ended, since the process started.
	SessionBytes uint64 `json:"session-bytes"`
	CrossBytes   uint64 `json:"cross-region-bytes"`
}

// GetReport returns the current counters.
func (f *Fleet) GetReport() Report {
	f.lock.Lock()
	defer f.lock.Unlock()
	report := Report{Agents: len(f.peers), Entries: f.entries, CrossBytes: f.closedCrossBytes}
	for _, p := range f.peers {
		if p.session == nil {
			continue
		}
		report.Sessions++
		read, written := p.session.Traffic()
		report.SessionBytes += read + written
		if p.instance.Region != f.options.Self.Region {
			report.CrossBytes += read + written
		}
	}
	return report
}

// PeerState is the fleet's view of one agent.
type PeerState struct {
	Instance member.Instance
	// Connected is set while a session is open; Delay is that session's one-way delay.
	Connected bool
	Delay     time.Duration
}

// FindPeers returns all listed agents and unlisted ones with a session, in no particular order.
func (f *Fleet) FindPeers() []PeerState {
	f.lock.Lock()
	defer f.lock.Unlock()
	peers := make([]PeerState, 0, len(f.peers))
	for _, p := range f.peers {
		state := PeerState{Instance: p.instance}
		if p.session != nil {
			state.Connected = true
			state.Delay = p.session.Delay()
		}
		peers = append(peers, state)
	}
	return peers
}
