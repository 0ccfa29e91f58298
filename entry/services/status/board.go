// Package status shows operators the system as this entry sees it.
// In: heartbeats, the instance list, the entry's own figures. Out: one report.
package status

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/wire"
)

// Watcher is told what heartbeats and the list say of the configuration.
type Watcher interface {
	OnPeerHeartbeat(peer string, beat *wire.Beat, notBefore time.Time)
	OnPeerDisconnected(peer string)
	OnInstances(instances []member.Instance)
	AnswerFetch(fetch *wire.Fetch) *wire.Chunks
}

// Board keeps the last heartbeat of each agent and passes everything on to
// the watcher that it stands before.
type Board struct {
	next Watcher

	lock sync.Mutex
	// instances are those of the last list, guarded by lock.
	instances []member.Instance
	// beats holds the last heartbeat of each open session by agent, guarded by lock.
	beats map[string]*wire.Beat
}

// NewBoard returns a board before the next watcher.
func NewBoard(next Watcher) *Board {
	return &Board{next: next, beats: map[string]*wire.Beat{}}
}

// OnPeerHeartbeat keeps the heartbeat.
func (b *Board) OnPeerHeartbeat(peer string, beat *wire.Beat, notBefore time.Time) {
	b.lock.Lock()
	b.beats[peer] = beat
	b.lock.Unlock()
	b.next.OnPeerHeartbeat(peer, beat, notBefore)
}

// OnPeerDisconnected forgets the agent's heartbeat.
func (b *Board) OnPeerDisconnected(peer string) {
	b.lock.Lock()
	delete(b.beats, peer)
	b.lock.Unlock()
	b.next.OnPeerDisconnected(peer)
}

// OnInstances keeps the list.
func (b *Board) OnInstances(instances []member.Instance) {
	b.lock.Lock()
	b.instances = slices.Clone(instances)
	b.lock.Unlock()
	b.next.OnInstances(instances)
}

// AnswerFetch passes an agent's question on.
func (b *Board) AnswerFetch(fetch *wire.Fetch) *wire.Chunks {
	return b.next.AnswerFetch(fetch)
}

// FindInstances returns the instances of the last list by role and name.
func (b *Board) FindInstances() []member.Instance {
	b.lock.Lock()
	defer b.lock.Unlock()
	found := slices.Clone(b.instances)
	slices.SortFunc(found, func(x, y member.Instance) int {
		return cmp.Or(-cmp.Compare(x.Role, y.Role), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Name, y.Name))
	})
	return found
}

// getBeat returns the last heartbeat of an agent, or nil without a session.
func (b *Board) getBeat(name string) *wire.Beat {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.beats[name]
}
