// Package status reports the state of the system to operators as this entry observes it, from
// heartbeats, the instance list and the entry's own counters.
package status

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/wire"
)

// Watcher is notified of heartbeats, ended sessions and updates of the instance list.
type Watcher interface {
	OnPeerHeartbeat(peer string, heartbeat *wire.Beat, notBefore time.Time)
	OnPeerDisconnected(peer string)
	OnInstances(instances []member.Instance)
	AnswerFetch(fetch *wire.Fetch) *wire.Chunks
}

// InstanceView keeps the instance list and the last heartbeat of each connected agent. It passes
// every notification on to the next watcher.
type InstanceView struct {
	next Watcher

	lock sync.Mutex
	// instances is the last instance list, guarded by lock.
	instances []member.Instance
	// heartbeats holds the last heartbeat of each agent with an open session, by name, guarded by
	// lock.
	heartbeats map[string]*wire.Beat
}

// NewInstanceView returns an empty view that passes notifications on to the next watcher.
func NewInstanceView(next Watcher) *InstanceView {
	return &InstanceView{next: next, heartbeats: map[string]*wire.Beat{}}
}

// OnPeerHeartbeat stores the agent's heartbeat.
func (v *InstanceView) OnPeerHeartbeat(peer string, heartbeat *wire.Beat, notBefore time.Time) {
	v.lock.Lock()
	v.heartbeats[peer] = heartbeat
	v.lock.Unlock()
	v.next.OnPeerHeartbeat(peer, heartbeat, notBefore)
}

// OnPeerDisconnected deletes the heartbeat of an agent whose session ended.
func (v *InstanceView) OnPeerDisconnected(peer string) {
	v.lock.Lock()
	delete(v.heartbeats, peer)
	v.lock.Unlock()
	v.next.OnPeerDisconnected(peer)
}

// OnInstances stores the instance list.
func (v *InstanceView) OnInstances(instances []member.Instance) {
	v.lock.Lock()
	v.instances = slices.Clone(instances)
	v.lock.Unlock()
	v.next.OnInstances(instances)
}

// AnswerFetch passes an agent's request for configuration on to the next watcher.
func (v *InstanceView) AnswerFetch(fetch *wire.Fetch) *wire.Chunks {
	return v.next.AnswerFetch(fetch)
}

// FindInstances returns the instances of the last list by descending role, then by service and
// name.
func (v *InstanceView) FindInstances() []member.Instance {
	v.lock.Lock()
	defer v.lock.Unlock()
	found := slices.Clone(v.instances)
	slices.SortFunc(found, func(x, y member.Instance) int {
		return cmp.Or(-cmp.Compare(x.Role, y.Role), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Name, y.Name))
	})
	return found
}

// getHeartbeat returns the last heartbeat of an agent, or nil if it has no open session.
func (v *InstanceView) getHeartbeat(name string) *wire.Beat {
	v.lock.Lock()
	defer v.lock.Unlock()
	return v.heartbeats[name]
}
