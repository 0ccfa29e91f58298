// Package weight stands in for the rate-limited weight store.
package weight

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenaroad.example/fakes/modules/slots"
)

const (
	chunkBytes = 64 << 10
	// burst is how far a download may run ahead of the rate; timers are too coarse to pace each chunk.
	burst = 10 * time.Millisecond
)

// Options holds the settings of a Store.
type Options struct {
	// Bytes is the size of every set of weights.
	Bytes int64
	// Rate is the limit in bytes per second over all downloads together.
	Rate int64
}

// Store serves weights.
type Store struct {
	options Options
	mutex   sync.Mutex
	// free is when the rate allows the next chunk.
	free time.Time
}

// NewStore returns a Store.
func NewStore(options Options) *Store {
	options.Rate = max(options.Rate, 1)
	return &Store{options: options}
}

// KindOf counts every call as a download.
func KindOf(*http.Request) string {
	return "download"
}

// NewRouter returns the Handler of the store.
func (s *Store) NewRouter() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", s.getWeights)
	return mux
}

func (s *Store) getWeights(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.options.Bytes, 10))
	chunk := make([]byte, chunkBytes)
	for sent := int64(0); sent < s.options.Bytes; {
		part := chunk[:min(int64(chunkBytes), s.options.Bytes-sent)]
		if !slots.Sleep(r.Context(), s.reserve(len(part))) {
			return
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		sent += int64(len(part))
	}
}

// reserve takes n bytes of the rate and returns how long to wait before they may be sent.
func (s *Store) reserve(n int) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if earliest := now.Add(-burst); s.free.Before(earliest) {
		s.free = earliest
	}
	s.free = s.free.Add(time.Duration(int64(n) * int64(time.Second) / s.options.Rate))
	return s.free.Sub(now)
}
