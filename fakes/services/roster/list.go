// Package roster is a stand-in for the platform's list of instances, in the format of Consul's
// catalog. Changes become visible only after a lag.
package roster

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"verbenaroad.example/fakes/modules/serve"
)

// node is one element of the catalog's answer; the field names are part of Consul's format.
type node struct {
	Node           string
	Address        string
	ServiceID      string
	ServiceName    string
	ServiceAddress string
	ServicePort    uint16
	ServiceMeta    map[string]string
}

// registration is the body of a call that registers an instance.
type registration struct {
	Node    string
	Address string
	Service *struct {
		ID      string
		Service string
		Address string
		Port    uint16
		Meta    map[string]string
	}
}

// deregistration is the body of a call that removes an instance.
type deregistration struct {
	Node      string
	ServiceID string
}

// change is a registration or deregistration that becomes visible at a certain time. A nil node
// removes the instance with the id.
type change struct {
	visibleAt time.Time
	id        string
	node      *node
}

// List holds the registered instances by id and the changes that are not visible yet.
type List struct {
	mutex sync.Mutex
	lag   time.Duration
	nodes map[string]node
	// pending is in the order of the changes, which is also the order in which they become visible.
	pending []change
}

// NewList returns an empty List whose changes become visible after lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, nodes: map[string]node{}}
}

// NewRouter returns the HTTP handler of the catalog.
func (l *List) NewRouter() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/catalog/service/{name}", l.getService)
	mux.HandleFunc("PUT /v1/catalog/register", l.putRegister)
	mux.HandleFunc("PUT /v1/catalog/deregister", l.putDeregister)
	return mux
}

// KindOf returns the kind under which a call is counted: read or write.
func KindOf(r *http.Request) string {
	if r.Method == http.MethodGet {
		return "read"
	}
	return "write"
}

func (l *List) getService(w http.ResponseWriter, r *http.Request) {
	writeCompressed(w, r, l.find(r.PathValue("name")))
}

// find returns the visible instances of a service, sorted by id.
func (l *List) find(name string) []node {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applyLocked(time.Now())
	found := []node{}
	for _, n := range l.nodes {
		if n.ServiceName == name {
			found = append(found, n)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ServiceID < found[j].ServiceID })
	return found
}

// applyLocked applies the pending changes that have become visible.
func (l *List) applyLocked(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.node == nil {
			delete(l.nodes, c.id)
			continue
		}
		l.nodes[c.id] = *c.node
	}
}

// addChange queues a change that becomes visible after the lag.
func (l *List) addChange(id string, n *node) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pending = append(l.pending, change{visibleAt: time.Now().Add(l.lag), id: id, node: n})
}

func (l *List) putRegister(w http.ResponseWriter, r *http.Request) {
	var body registration
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Service == nil {
		http.Error(w, "a registration needs a Service", http.StatusBadRequest)
		return
	}
	id := body.Service.ID
	if id == "" {
		id = body.Service.Service
	}
	l.addChange(id, &node{
		Node:           body.Node,
		Address:        body.Address,
		ServiceID:      id,
		ServiceName:    body.Service.Service,
		ServiceAddress: body.Service.Address,
		ServicePort:    body.Service.Port,
		ServiceMeta:    body.Service.Meta,
	})
	serve.WriteJSON(w, true)
}

func (l *List) putDeregister(w http.ResponseWriter, r *http.Request) {
	var body deregistration
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.addChange(body.ServiceID, nil)
	serve.WriteJSON(w, true)
}
