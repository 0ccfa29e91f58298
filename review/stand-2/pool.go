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
		reply(w, http.StatusOK, map[string]any{})
		return
	}
	call := struct{ Items []struct{ Id string } }{}
	if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Items) > p.batch || r.URL.Path != "/api/stage-run" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	time.Sleep(p.work)
	results := []map[string]string{}
	for range call.Items {
		p.handles++
		results = append(results, map[string]string{"Handle": fmt.Sprintf("%s/%x", p.server.address, p.handles)})
	}
	p.world.log("replica %s: makes %d pieces", p.id, len(results))
	reply(w, http.StatusOK, map[string]any{"Items": results})
}
