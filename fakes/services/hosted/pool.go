package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

type stageItem struct {
	Id      string //nolint:revive // the field name of the platform
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
	// maxWaiting is the maximum number of calls that wait for their turn.
	maxWaiting = 2
	// resultTTL is how long a result is held unless it is released.
	resultTTL = 4 * time.Second
)

// serveRun produces the results of a pool call. The server runs one call at a time.
func (s *Server) serveRun(w http.ResponseWriter, r *http.Request, body []byte) {
	call := struct{ Items []stageItem }{}
	if json.Unmarshal(body, &call) != nil || len(call.Items) > s.MaxBatch {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.takeTurn(r) {
		w.Header().Set("X-Verbenaroad-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if downTime, crashes := s.world.checkItems(call.Items); crashes {
		s.recordCrash()
		s.crashFor(downTime)
		return
	}
	s.world.expire()
	results := []stageResult{}
	for _, i := range call.Items {
		results = append(results, s.produceResult(i))
	}
	time.Sleep(s.WorkTime)
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

// takeTurn waits until no other call runs and reserves the server for this one. It returns false if
// maxWaiting calls wait already, or if the caller disconnects first.
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

// produceResult produces the result of an item. The handle names the item's Id, phase and segment,
// and the item's Id becomes the owner of the result. An input with another owner is recorded as a
// violation.
func (s *Server) produceResult(i stageItem) stageResult {
	for _, input := range i.Inputs {
		if !s.world.isHeld(input) {
			return stageResult{Reason: "gone"}
		}
		if s.world.ownerOf(input) != i.Id {
			s.world.recordViolation("an item of " + i.Id + " was given " + input + " of " + s.world.ownerOf(input))
		}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.results >= s.MaxResults {
		return stageResult{Reason: "room"}
	}
	s.results++
	handle := fmt.Sprintf("%s/%s-%d-%d-%d", s.registeredAddress(), i.Id, i.Phase, i.Segment, time.Now().UnixNano())
	s.world.hold(handle, i.Id, s)
	return stageResult{Handle: handle}
}

// serveFree releases results.
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
