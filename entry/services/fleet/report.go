package fleet

import (
	"time"

	"verbenaroad.example/share/models/member"
)

// Report is a fleet's figures.
type Report struct {
	Agents   int `json:"agents"`
	Sessions int `json:"sessions"`
	Entries  int `json:"entries"`
	// SessionBytes and CrossBytes count all bytes on open sessions, and on those to other regions since the start.
	SessionBytes uint64 `json:"session-bytes"`
	CrossBytes   uint64 `json:"cross-region-bytes"`
}

// GetReport returns the figures.
func (f *Fleet) GetReport() Report {
	f.lock.Lock()
	defer f.lock.Unlock()
	report := Report{Agents: len(f.peers), Entries: f.entries, CrossBytes: f.crossRetired}
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

// PeerState is what the fleet knows of one agent.
type PeerState struct {
	Instance member.Instance
	// Connected is set while a session is open; Delay is its one-way delay.
	Connected bool
	Delay     time.Duration
}

// FindPeers lists the agents that the fleet knows.
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
