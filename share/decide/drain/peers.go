package drain

// maxRetired is the greatest number of earlier incarnations remembered for each peer.
const maxRetired = 8

// Peers tracks which other instances are leaving. An instance counts as leaving
// as soon as one source reports it. What an incarnation has reported itself is
// never taken back: only a new incarnation of the same name receives work again.
type Peers struct {
	peers map[string]*peer
}

type peer struct {
	incarnation string
	// leaving is set once incarnation has reported that it is leaving; only a new incarnation
	// resets it.
	leaving bool
	// listedLeaving is the leaving flag of the instance list, which names the instance but not its
	// incarnation.
	listedLeaving bool
	// listingOutdated is set when listedLeaving was set before incarnation was first seen, so that
	// it is about an earlier incarnation. It is reset when the list no longer shows the instance as
	// leaving.
	listingOutdated bool
	// retired holds at most maxRetired earlier incarnations, the latest last.
	retired []string
}

// NewPeers returns Peers without any instance.
func NewPeers() *Peers {
	return &Peers{peers: map[string]*peer{}}
}

// Usable reports whether new work may be sent to the instance. An unknown instance is usable.
func (p *Peers) Usable(name string) bool {
	o, known := p.peers[name]
	return !known || !o.leaving && (!o.listedLeaving || o.listingOutdated)
}

// ObserveListing records the leaving flag of an instance in the instance list, which may lag
// behind.
func (p *Peers) ObserveListing(name string, leaving bool) {
	o := p.getOrAdd(name)
	if !leaving {
		o.listingOutdated = false
	}
	o.listedLeaving = leaving
}

// Remove drops an instance that is no longer listed and has no session.
func (p *Peers) Remove(name string) {
	delete(p.peers, name)
}

// ObserveReport records what an instance reports about itself in a hello or heartbeat.
//
// It guards against reports that arrive out of order: a delayed heartbeat of an
// earlier incarnation is ignored, and a heartbeat sent before the instance began
// to leave does not reset leaving.
func (p *Peers) ObserveReport(name, incarnation string, leaving bool) {
	o := p.getOrAdd(name)
	if o.isRetired(incarnation) {
		return
	}
	if o.incarnation != incarnation {
		o.startIncarnation(incarnation)
	}
	o.leaving = o.leaving || leaving
}

// ObserveRefusal records a refusal with codes.Draining as the instance's own report that it is
// leaving.
func (p *Peers) ObserveRefusal(name, incarnation string) {
	p.ObserveReport(name, incarnation, true)
}

func (p *Peers) getOrAdd(name string) *peer {
	o, known := p.peers[name]
	if !known {
		o = &peer{}
		p.peers[name] = o
	}
	return o
}

func (o *peer) isRetired(incarnation string) bool {
	for _, r := range o.retired {
		if r == incarnation {
			return true
		}
	}
	return false
}

// startIncarnation switches the peer to a new incarnation. The list's leaving
// flag is outdated only if an earlier incarnation was seen; otherwise it may be
// about this one.
func (o *peer) startIncarnation(incarnation string) {
	if o.incarnation != "" {
		o.listingOutdated = o.listedLeaving
		o.retired = append(o.retired, o.incarnation)
	}
	if len(o.retired) > maxRetired {
		o.retired = o.retired[1:]
	}
	o.incarnation = incarnation
	o.leaving = false
}
