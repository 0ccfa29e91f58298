package hosted

import (
	"net/http"
	"slices"
	"time"
)

// SetHeader sets a header of all further answers; an empty value removes it.
func (s *Server) SetHeader(name, value string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	header := s.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Del(name)
	if value != "" {
		header.Set(name, value)
	}
	s.header = header
}

// Arrivals returns when requests, pool calls and releases of results arrived, including those that the
// server refused.
func (s *Server) Arrivals() []time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.arrivals)
}

// arrive records a request, and sets the additional headers of its answer.
func (s *Server) arrive(w http.ResponseWriter) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	for name, values := range s.header {
		w.Header()[name] = values
	}
}
