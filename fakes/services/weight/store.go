// Package weight is a stand-in for the rate-limited store of model weights.
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
	// burst is how far the downloads may run ahead of the rate, because timers are too coarse to
	// delay each chunk.
	burst = 10 * time.Millisecond
)

// Options holds the settings of a Store.
type Options struct {
	// Bytes is the size of each model's weights.
	Bytes int64
	// Rate is the limit in bytes per second for all downloads together.
	Rate int64
}

// Store serves downloads of weights.
type Store struct {
	options Options
	mutex   sync.Mutex
	// reservedUntil is the end of the last reservation, which is when its chunk may be sent.
	reservedUntil time.Time
}

// NewStore returns a Store.
func NewStore(options Options) *Store {
	options.Rate = max(options.Rate, 1)
	return &Store{options: options}
}

// KindOf returns the kind under which a call is counted, the same for every call.
func KindOf(*http.Request) string {
	return "download"
}

// NewRouter returns the HTTP handler of the store.
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

// reserve reserves n bytes of the rate and returns the time to wait before they may be sent. A
// reservation starts at the end of the previous one, but no earlier than burst ago.
func (s *Store) reserve(n int) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if earliest := now.Add(-burst); s.reservedUntil.Before(earliest) {
		s.reservedUntil = earliest
	}
	s.reservedUntil = s.reservedUntil.Add(time.Duration(int64(n) * int64(time.Second) / s.options.Rate))
	return s.reservedUntil.Sub(now)
}
