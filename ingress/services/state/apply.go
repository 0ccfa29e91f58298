package state

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
)

// applyRecord updates the state derived from one changed record.
func (b *Book) applyRecord(r site.Record, source string) {
	c := b.options.Codec
	switch {
	case c.IsConfig(r.Key):
		b.applyConfig(r, source)
	case strings.HasPrefix(r.Key, c.ServerPrefix()):
		b.applyServer(r, source)
	case strings.HasPrefix(r.Key, c.IngressPrefix()):
		b.applyIngress(r)
	case strings.HasPrefix(r.Key, c.EvacuationPrefix()):
		b.applyEvacuation(r, source)
	case strings.HasPrefix(r.Key, c.QuarantinePrefix()):
		b.applyQuarantine(r, source)
	case r.Key == c.InventoryKey():
		b.applyInventory(r, source)
	}
}

// applyInventory replaces the inventory of software versions. One that cannot be read tells nothing.
func (b *Book) applyInventory(r site.Record, source string) {
	b.inventory = nil
	if r.Deleted {
		b.options.Log.Warn("inventory-removed", zap.Stringer("revision", r.Revision), zap.String("source", source))
		return
	}
	inventory, err := b.options.Codec.ReadInventory(r.Value)
	if err != nil {
		b.options.Log.Warn("inventory-unreadable", zap.Stringer("revision", r.Revision), logs.Err(err))
		return
	}
	inventory.Revision = r.Revision
	b.inventory = &inventory
	b.options.Log.Info("inventory-seen", zap.Stringers("software", inventory.ListSoftware()), zap.Stringers("announced", inventory.ListPending()), zap.Bool("complete", inventory.IsComplete),
		zap.Uint64("confirmed-in-era", inventory.Era), zap.Stringer("revision", r.Revision), zap.String("source", source))
}

// applyQuarantine adds or removes the quarantine of a request that crashes servers. An unreadable
// record removes it.
func (b *Book) applyQuarantine(r site.Record, source string) {
	id := poison.ID(b.options.Codec.QuarantineID(r.Key))
	updated := maps.Clone(b.quarantines)
	if updated == nil {
		updated = map[poison.ID]site.Quarantine{}
	}
	delete(updated, id)
	b.quarantines = updated
	if r.Deleted {
		b.options.Log.Info("quarantine-ended", zap.String("digest", string(id)), zap.String("source", source))
		return
	}
	q, err := b.options.Codec.ReadQuarantine(r.Value)
	if err != nil {
		b.options.Log.Warn("quarantine-unreadable", zap.String("key", r.Key), logs.Err(err))
		return
	}
	q.Revision = r.Revision
	updated[id] = q
	b.options.Log.Info("quarantine-seen", zap.String("digest", string(id)), zap.String("service", q.Service),
		zap.Strings("servers", q.Servers), zap.Strings("versions", q.Versions),
		zap.Stringer("revision", r.Revision), zap.String("source", source))
}

// applyEvacuation starts or ends the evacuation of a failure domain.
func (b *Book) applyEvacuation(r site.Record, source string) {
	domain := b.options.Codec.EvacuatedDomain(r.Key)
	if r.Deleted {
		b.servers.EndEvacuation(domain, time.Now(), b.coldTime)
	} else {
		b.servers.Evacuate(domain)
	}
	b.options.Log.Info("domain-evacuated", zap.String("domain", domain), zap.Bool("evacuated", !r.Deleted),
		zap.Stringer("revision", r.Revision), zap.String("source", source))
}

// coldTime returns how long the servers of a service are cold after a start, 0 if unknown.
func (b *Book) coldTime(service string) time.Duration {
	if b.table == nil {
		return 0
	}
	if s := b.table.FindService(service); s != nil {
		return s.ColdTime
	}
	return 0
}

// applyConfig applies a configuration if its version is higher than the current one. A lower
// version comes from a peer or a listing page that is outdated. The current configuration also
// stays in force if the record is unreadable or deleted, because its routes are still needed.
func (b *Book) applyConfig(r site.Record, source string) {
	if r.Deleted {
		b.options.Log.Warn("config-kept", zap.String("reason", "the record was deleted"), zap.Stringer("revision", r.Revision))
		return
	}
	config, err := b.options.Codec.ReadConfig(r.Value)
	if err != nil {
		b.options.Log.Error("config-kept", zap.String("reason", "unreadable"), zap.Stringer("revision", r.Revision), logs.Err(err))
		return
	}
	if b.table != nil && config.Version <= b.table.Config().Version {
		b.options.Log.Info("config-kept", zap.String("reason", "not newer"),
			zap.Uint64("version", config.Version), zap.Stringer("revision", r.Revision))
		return
	}
	b.table = access.NewTable(config)
	b.options.Log.Info("config-applied",
		zap.Uint64("version", config.Version), zap.Stringer("revision", r.Revision), zap.String("source", source),
		zap.Int("bytes", len(r.Value)), zap.Int("routes", len(config.Routes)), zap.Int("services", len(config.Services)), zap.Int("teams", len(config.Teams)))
}

func (b *Book) applyServer(r site.Record, source string) {
	id := b.options.Codec.ServerID(r.Key)
	if r.Deleted {
		kept := b.removeServer(id, r.Revision)
		b.options.Log.Info("server-removed", zap.String("server", id), zap.Stringer("revision", r.Revision),
			zap.String("source", source), zap.Bool("kept-for-now", kept))
		return
	}
	server, err := b.options.Codec.ReadServer(r.Key, r.Value)
	if err != nil {
		b.servers.Remove(id, time.Now())
		b.options.Log.Warn("server-unreadable", zap.String("key", r.Key), zap.Stringer("revision", r.Revision), logs.Err(err))
		return
	}
	if server.ColdRemaining > 0 {
		server.ColdUntil = time.Now().Add(server.ColdRemaining)
	}
	b.servers.Put(server)
	b.options.Log.Info("server-seen", zap.String("server", id), zap.String("service", server.Service),
		zap.Stringer("address", server.Address), zap.String("state", string(server.State)), zap.Duration("cold-for", server.ColdRemaining),
		zap.String("version", server.Version), zap.Int64("incarnation", server.Incarnation),
		zap.Stringer("revision", r.Revision), zap.String("source", source))
}

// removeServer handles the end of a registration. It returns true if the server is kept for now. An end of an
// earlier era was seen while the store answered, so that it is no expiry caused by an outage.
func (b *Book) removeServer(id string, revision site.Revision) (kept bool) {
	if revision.Era < b.records.CompleteRevision().Era {
		b.servers.Drop(id)
		return false
	}
	return b.servers.Remove(id, time.Now())
}

func (b *Book) applyIngress(r site.Record) {
	name := b.options.Codec.IngressName(r.Key)
	if r.Deleted {
		b.removeIngress(name, r.Key)
		return
	}
	ingress, err := b.options.Codec.ReadIngress(r.Key, r.Value)
	if err != nil {
		b.options.Log.Warn("ingress-unreadable", zap.String("key", r.Key), logs.Err(err))
		return
	}
	if ingress.Ended {
		b.removeIngress(name, r.Key)
		return
	}
	b.peers[name] = ingress
	b.peerKeys[name] = r.Key
	delete(b.removedPeers, name)
	b.options.Log.Info("ingress-seen", zap.String("ingress", name), zap.Stringer("address", ingress.Address))
}

// removeIngress records that the registration with a key has ended, unless the ingress is not known or has
// registered under another key since.
func (b *Book) removeIngress(name, key string) {
	if b.peerKeys[name] != key {
		return
	}
	b.removedPeers[name] = time.Now()
	b.options.Log.Info("ingress-removed", zap.String("ingress", name))
}

// Refresh publishes a new view after the result of IsLeaving has changed.
func (b *Book) Refresh() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.publish()
}

// removeLeaving removes the servers that said that they leave from those that may be sent new work, and
// returns them.
func (b *Book) removeLeaving(servers map[string][]site.Server) (leaving []site.Server) {
	if b.options.IsLeaving == nil {
		return nil
	}
	for service, list := range servers {
		servers[service] = slices.DeleteFunc(list, func(s site.Server) bool {
			if !b.options.IsLeaving(&s) {
				return false
			}
			leaving = append(leaving, s)
			return true
		})
	}
	return leaving
}

// publish replaces the view and passes it to OnChange. The caller must hold the lock.
func (b *Book) publish() {
	table := b.table
	if b.unconfirmed {
		table = nil
	}
	v := &View{
		Table: table, Servers: b.servers.List(), Evacuated: b.servers.Evacuated(), Quarantines: b.quarantines, Versions: b.servers.Versions(), Inventory: b.inventory,
		IsComplete: b.isComplete(), Era: b.records.CompleteRevision().Era,
	}
	v.Leaving = b.removeLeaving(v.Servers)
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		v.Ingresses = append(v.Ingresses, b.peers[name])
	}
	b.view.Store(v)
	if b.options.OnChange != nil {
		b.options.OnChange(v)
	}
}
