package serve

import (
	"net/http"
	"sync"

	"verbenaroad.example/fakes/modules/fault"
)

// Counts has the numbers of calls by kind.
type Counts struct {
	// Calls counts all calls since the start.
	Calls map[string]int64 `json:"calls"`
	// Open counts the calls in flight.
	Open map[string]int64 `json:"open"`
}

// callCounter counts calls by kind; it is safe for concurrent use.
type callCounter struct {
	mutex  sync.Mutex
	counts Counts
}

func newCallCounter() *callCounter {
	return &callCounter{counts: Counts{Calls: map[string]int64{}, Open: map[string]int64{}}}
}

func (c *callCounter) begin(kind string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts.Calls[kind]++
	c.counts.Open[kind]++
}

func (c *callCounter) end(kind string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.counts.Open[kind]--
}

func (c *callCounter) get() Counts {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := Counts{Calls: map[string]int64{}, Open: map[string]int64{}}
	for kind, n := range c.counts.Calls {
		counts.Calls[kind] = n
		counts.Open[kind] = c.counts.Open[kind]
	}
	return counts
}

// GetCounts returns the numbers of calls by kind.
func (s *Server) GetCounts() Counts {
	return s.calls.get()
}

// NewControl returns the handler of the control address, which serves the fault settings and the
// call counts.
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
