package drain

// keptRetired is how many earlier incarnations of a name are remembered.
const keptRetired = 8

// Peers keeps what is known of the stops of others. News of a leaving
// incarnation counts from whichever source brings it first, and is never
// taken back; only a new incarnation of the name takes work again.
type Peers struct {
	peers map[string]*peer
}

type peer struct {
	incarnation string
	// leaving holds for incarnation, and stays.
	leaving bool
	// listed is the list's flag, which knows names only.
	listed bool
	// outdated is set while listed was raised before incarnation was seen: it speaks of an earlier one.
	outdated bool
	// retired holds earlier incarnations, the latest last; at most keptRetired.
	retired []string
}

// NewPeers returns Peers that know nobody.
func NewPeers() *Peers {
	return &Peers{peers: map[string]*peer{}}
}

// Usable tells whether new work may go to the instance.
func (p *Peers) Usable(name string) bool {
	o, known := p.peers[name]
	return !known || !o.leaving && (!o.listed || o.outdated)
}

// Listed takes the lagging list's word about an instance that it shows.
func (p *Peers) Listed(name string, leaving bool) {
	o := p.get(name)
	if !leaving {
		o.outdated = false
	}
	o.listed = leaving
}

// Gone forgets an instance that the list no longer shows and no session reaches.
func (p *Peers) Gone(name string) {
	delete(p.peers, name)
}

// Heard takes the instance's own word, from a hello or heartbeat.
//
// Guards against news in the wrong order: a delayed heartbeat of an earlier
// incarnation says nothing about the present one, and a heartbeat sent before
// the instance began to leave does not take back that it leaves.
func (p *Peers) Heard(name, incarnation string, leaving bool) {
	o := p.get(name)
	if o.isRetired(incarnation) {
		return
	}
	if o.incarnation != incarnation {
		o.replace(incarnation)
	}
	o.leaving = o.leaving || leaving
}

// Refused takes a refusal with codes.Draining as the instance's own word.
func (p *Peers) Refused(name, incarnation string) {
	p.Heard(name, incarnation, true)
}

func (p *Peers) get(name string) *peer {
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

// replace begins a new incarnation. The list's flag is old news only where
// an earlier incarnation was seen; else it may speak of this one.
func (o *peer) replace(incarnation string) {
	if o.incarnation != "" {
		o.outdated = o.listed
		o.retired = append(o.retired, o.incarnation)
	}
	if len(o.retired) > keptRetired {
		o.retired = o.retired[1:]
	}
	o.incarnation = incarnation
	o.leaving = false
}
