package state

import (
	"bytes"
	"cmp"
	"strings"
	"time"

	"verbenaroad.example/share/decide/alive"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
)

const (
	// serverHold is how long what a server has stated overrides an older registration in a restored store. A
	// server that is alive registers again within this time; the registration of one that is not expires.
	serverHold = 10 * time.Second
	// ingressHold is the same for an ingress, which registers again when it next renews its lease.
	ingressHold = 30 * time.Second
	// evacuationHold is how long an evacuation, or its end, overrides a restored store. The operator writes it
	// again.
	evacuationHold = time.Minute
)

// holdPolicy decides which records stay in force after the store was restored. A configuration is ordered by its
// version, and a server's registration by what the server states in it. Nothing orders the other records, so
// that one from before the restore is held until it is written again.
type holdPolicy struct {
	codec Codec
}

// Decide implements mirror.Policy.
func (p holdPolicy) Decide(earlier, present site.Record, isFresh bool) mirror.Decision {
	isServer := strings.HasPrefix(earlier.Key, p.codec.ServerPrefix())
	switch {
	case p.codec.IsConfig(earlier.Key):
		return mirror.Decision{Held: p.isLaterConfig(earlier, present)}
	case isFresh:
		return mirror.Decision{}
	case isServer && present.Key == "":
		return mirror.Decision{Held: !earlier.Deleted, Limit: alive.ReregisterTime}
	case isServer:
		return mirror.Decision{Held: p.isLaterServer(earlier, present), Limit: serverHold}
	case earlier.Deleted && earlier.Value == nil, !isLive(earlier) && !isLive(present), isLive(earlier) && isLive(present) && bytes.Equal(earlier.Value, present.Value):
		return mirror.Decision{}
	case strings.HasPrefix(earlier.Key, p.codec.EvacuationPrefix()):
		return mirror.Decision{Held: true, Limit: evacuationHold}
	case p.isOwn(earlier.Key):
		return mirror.Decision{Held: true}
	default:
		return mirror.Decision{Held: true, Limit: ingressHold}
	}
}

// NeedsRevision implements mirror.Policy. Quarantines and the inventory are changed under the condition of their
// revision.
func (p holdPolicy) NeedsRevision(key string) bool { return p.isOwn(key) }

func isLive(r site.Record) bool { return r.Key != "" && !r.Deleted }

// isOwn reports whether the ingresses write the record of a key, other than their registrations.
func (p holdPolicy) isOwn(key string) bool {
	return strings.HasPrefix(key, p.codec.QuarantinePrefix()) || key == p.codec.InventoryKey()
}

// isLaterConfig reports whether a configuration has a higher version than the present one, or that one is missing
// or unreadable.
func (p holdPolicy) isLaterConfig(earlier, present site.Record) bool {
	if !isLive(earlier) {
		return false
	}
	c, err := p.codec.ReadConfig(earlier.Value)
	if err != nil {
		return false
	}
	if !isLive(present) {
		return true
	}
	other, err := p.codec.ReadConfig(present.Value)
	return err != nil || c.Version > other.Version
}

// isLaterServer reports whether a registration, or its end, came after the present one. A registration that
// cannot be read names no server to use.
func (p holdPolicy) isLaterServer(earlier, present site.Record) bool {
	other, err := p.codec.ReadServer(present.Key, present.Value)
	if isUsable := isLive(present) && err == nil; !isUsable {
		return isLive(earlier) && isLive(present)
	}
	server, err := p.codec.ReadServer(earlier.Key, earlier.Value)
	if err != nil {
		return earlier.Deleted // whether it ever registered before is not known, and using a server that left is worse
	}
	if earlier.Deleted {
		return compareStatements(&server, &other) >= 0
	}
	return compareStatements(&server, &other) > 0
}

// compareStatements compares two registrations of a server by when it wrote them.
func compareStatements(a, b *site.Server) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(countDraining(a), countDraining(b)))
}

// countDraining returns 1 if the server drains, which it does at its end only, or else 0.
func countDraining(s *site.Server) int {
	if s.State == site.ServerDraining {
		return 1
	}
	return 0
}
