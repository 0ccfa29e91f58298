package hosted

import (
	"net/http"
	"slices"
	"strconv"
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

// Pause is a request that the server turned away with a Retry-After.
type Pause struct {
	At time.Time
	// For is the time that the Retry-After states.
	For time.Duration
}

// SetPause turns all further requests and pool calls away with 503 and a Retry-After of the given
// seconds; an empty value ends that.
func (s *Server) SetPause(seconds string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.pause = seconds
}

// Pauses returns the requests and pool calls that were turned away since SetPause.
func (s *Server) Pauses() []Pause {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.pauses)
}

// turnAway answers a request or a pool call with 503 and a Retry-After, if the server is to do so.
func (s *Server) turnAway(w http.ResponseWriter, r *http.Request) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.pause == "" || r.URL.Path == "/api/stage-free" {
		return false
	}
	if seconds, err := strconv.ParseFloat(s.pause, 64); err == nil {
		s.pauses = append(s.pauses, Pause{At: time.Now(), For: time.Duration(seconds * float64(time.Second))})
	}
	w.Header().Set("X-Verbenaroad-Attempt-Id", r.Header.Get("X-Verbenaroad-Attempt-Id"))
	w.Header().Set("X-Verbenaroad-Not-Executed", "1")
	w.Header().Set("Retry-After", s.pause)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Arrivals returns when requests, pool calls and releases of results arrived, including those that the
// server refused.
func (s *Server) Arrivals() []time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.arrivals)
}

// Attempt is the arrival of a plain request or a stream, which the server may have refused.
type Attempt struct {
	ID string
	At time.Time
}

// Attempts returns the arrivals of plain requests and streams, in their order.
func (s *Server) Attempts() []Attempt {
	s.lock.Lock()
	defer s.lock.Unlock()
	return slices.Clone(s.attempts)
}

// SetRefusing makes the server refuse all further plain requests and streams as not run, or ends that.
func (s *Server) SetRefusing(refusing bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.refusing = refusing
}

// arrive records a request, and sets the additional headers of its answer.
func (s *Server) arrive(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
	if id := r.Header.Get("X-Verbenaroad-Attempt-Id"); id != "" {
		s.attempts = append(s.attempts, Attempt{ID: id, At: time.Now()})
	}
	for name, values := range s.header {
		w.Header()[name] = values
	}
}
