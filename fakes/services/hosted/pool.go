package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

type stageItem struct {
	Id      string //nolint:revive // the platform's spelling
	Phase   int
	Segment int
	Key     string
	Inputs  []string
}

type stageResult struct {
	Handle string `json:",omitempty"`
	Reason string `json:",omitempty"`
}

const (
	// maxWaiting is how many calls may wait for their turn.
	maxWaiting = 2
	// keepTime is how long a result is held unless it is released.
	keepTime = 4 * time.Second
)

// serveRun makes results, one call at a time.
func (s *Server) serveRun(w http.ResponseWriter, r *http.Request, body []byte) {
	call := struct{ Items []stageItem }{}
	if json.Unmarshal(body, &call) != nil || len(call.Items) > s.Batch {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.takeTurn(r) {
		w.Header().Set("X-Verbenaroad-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if down, crashes := s.world.hasPoison(call.Items); crashes {
		s.noteCrash()
		s.crashFor(down)
		return
	}
	s.world.expire()
	results := []stageResult{}
	for _, i := range call.Items {
		results = append(results, s.makeOne(i))
	}
	time.Sleep(s.Work)
	fault := s.takeFault()
	s.lock.Lock()
	s.busy = false
	load := fmt.Sprintf("0,%d,1", s.waiting)
	s.lock.Unlock()
	if fault == CutAfterRun {
		cut(w)
		return
	}
	w.Header().Set("X-Verbenaroad-Replica-Load", load)
	reply(w, http.StatusOK, map[string]any{"Items": results})
}

func (s *Server) takeTurn(r *http.Request) bool {
	s.lock.Lock()
	if s.waiting >= maxWaiting {
		s.lock.Unlock()
		return false
	}
	s.waiting++
	for s.busy && r.Context().Err() == nil {
		s.lock.Unlock()
		time.Sleep(2 * time.Millisecond)
		s.lock.Lock()
	}
	s.waiting--
	defer s.lock.Unlock()
	if s.busy {
		return false
	}
	s.busy = true
	return true
}

// makeOne makes a result, which notes whose it is and of what.
func (s *Server) makeOne(i stageItem) stageResult {
	for _, input := range i.Inputs {
		if !s.world.has(input) {
			return stageResult{Reason: "gone"}
		}
		if s.world.ownerOf(input) != i.Id {
			s.world.note("an item of " + i.Id + " was given " + input + " of " + s.world.ownerOf(input))
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.results >= s.Room {
		return stageResult{Reason: "room"}
	}
	s.results++
	handle := fmt.Sprintf("%s/%s-%d-%d-%d", s.Address(), i.Id, i.Phase, i.Segment, time.Now().UnixNano())
	s.world.hold(handle, i.Id, s)
	return stageResult{Handle: handle}
}

func (s *Server) serveFree(w http.ResponseWriter, body []byte) {
	call := struct{ Handles []string }{}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, handle := range call.Handles {
		s.world.release(handle)
	}
	w.WriteHeader(http.StatusOK)
}
