// Package ops provides the HTTP handlers for the load balancer's readiness check and for the metrics
// of one process.
package ops

import (
	"net/http"
)

// Options are the settings of the handlers.
type Options struct {
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Ready returns nil if the process takes new connections, or else the reason why it does not.
	Ready func() error
	// MetricsPath is the path at which Metrics serves the metrics.
	MetricsPath string
	Metrics     http.Handler
}

// NewReady returns the handler of the readiness check.
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

// NewMetrics returns the handler of the metrics.
func NewMetrics(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+o.MetricsPath, o.Metrics)
	return mux
}
