package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// servePool makes pieces of stages, one call after the other, or gives up their results.
func (p *replica) servePool(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/stage-free" {
		p.nameLimit(w)
		reply(w, http.StatusOK, map[string]any{})
		return
	}
	call := struct{ Items []struct{ Id string } }{}
	if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Items) > p.batch || r.URL.Path != "/api/stage-run" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.nameLimit(w)
	p.lock.Lock()
	p.ran = append(p.ran, arrival{path: r.URL.Path, replica: p.id, at: time.Now()})
	p.lock.Unlock()
	p.turn.Lock()
	defer p.turn.Unlock()
	time.Sleep(p.work)
	p.lock.Lock()
	defer p.lock.Unlock()
	results := []map[string]string{}
	for range call.Items {
		p.handles++
		results = append(results, map[string]string{"Handle": fmt.Sprintf("%s/%x", p.server.address, p.handles)})
	}
	p.world.log("replica %s: makes %d pieces", p.id, len(results))
	reply(w, http.StatusOK, map[string]any{"Items": results})
}
