// Package ops answers the platform's and the operators' questions about one
// process: whether it is ready, and its metrics.
package ops

import (
	"net/http"
)

// Options are the settings of the handlers.
type Options struct {
	// ReadyPath is where the balancer asks.
	ReadyPath string
	// Ready says why the process takes no new connections, or nil.
	Ready func() error
	// MetricsPath and Metrics serve the figures.
	MetricsPath string
	Metrics     http.Handler
}

// NewReady returns the handler of the balancer's question.
func NewReady(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+o.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := o.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// NewMetrics returns the handler of the figures.
func NewMetrics(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+o.MetricsPath, o.Metrics)
	return mux
}
