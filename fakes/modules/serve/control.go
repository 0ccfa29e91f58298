package serve

import (
	"net/http"
	"sync"

	"verbenaroad.example/fakes/modules/fault"
)

// Counts are the calls by kind: all since the start, and those open now.
type Counts struct {
	Calls map[string]int64 `json:"calls"`
	Open  map[string]int64 `json:"open"`
}

type calls struct {
	mutex  sync.Mutex
	counts Counts
}

func newCalls() *calls {
	return &calls{counts: Counts{Calls: map[string]int64{}, Open: map[string]int64{}}}
}

func (c *calls) open(kind string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts.Calls[kind]++
	c.counts.Open[kind]++
}

func (c *calls) end(kind string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts.Open[kind]--
}

func (c *calls) get() Counts {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := Counts{Calls: map[string]int64{}, Open: map[string]int64{}}
	for kind, n := range c.counts.Calls {
		counts.Calls[kind] = n
		counts.Open[kind] = c.counts.Open[kind]
	}
	return counts
}

// GetCounts returns the calls by kind.
func (s *Server) GetCounts() Counts {
	return s.calls.get()
}

// NewControl returns the routes of the control address: the fault switch and the call counts.
func (s *Server) NewControl() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fault", s.getFault)
	mux.HandleFunc("PUT /fault", s.putFault)
	mux.HandleFunc("GET /stats", s.getStats)
	return mux
}

func (s *Server) getFault(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, s.GetFault())
}

func (s *Server) putFault(w http.ResponseWriter, r *http.Request) {
	var settings fault.Settings
	if !ReadJSON(w, r, &settings) {
		return
	}
	if err := s.SetFault(settings); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	WriteJSON(w, s.GetFault())
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, s.GetCounts())
}
