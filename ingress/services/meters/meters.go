// Package meters counts what an ingress does, for the metrics address.
package meters

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meters holds the counters and histograms of one process.
type Meters struct {
	registry *prometheus.Registry
	answers  *prometheus.HistogramVec
	firsts   *prometheus.HistogramVec
	repeats  *prometheus.CounterVec
	batches  *prometheus.HistogramVec
	items    *prometheus.CounterVec
	dropped  *prometheus.CounterVec
	reloads  *prometheus.CounterVec
	version  prometheus.Gauge
	storeAge prometheus.GaugeFunc
}

// latencyBuckets reach from a plain answer to the longest deadline, in seconds.
func latencyBuckets() []float64 {
	return []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 2.5, 3, 4, 6, 8, 12, 20, 30}
}

// NewMeters registers the figures; storeAge tells how long the store has not answered.
func NewMeters(storeAge func() time.Duration) *Meters {
	m := &Meters{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "verbenaroad_request_seconds", Help: "Time from arrival to the final answer.", Buckets: latencyBuckets(),
		}, []string{"route", "outcome"}),
		firsts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "verbenaroad_first_event_seconds", Help: "Time from arrival to the first event of a stream.", Buckets: latencyBuckets(),
		}, []string{"route"}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_repeats_total", Help: "Requests that were sent to a further backend server.",
		}, []string{"service", "reason"}),
		batches: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "verbenaroad_batch_seconds", Help: "Time of a call that makes results of stages.", Buckets: latencyBuckets(),
		}, []string{"service", "outcome"}),
		items: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_batch_items_total", Help: "Items in calls that make results of stages.",
		}, []string{"service", "outcome"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_log_lines_dropped_total", Help: "Log lines that were left out.",
		}, []string{"reason"}),
		reloads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_reloads_total", Help: "Settings files that were read again.",
		}, []string{"outcome"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "verbenaroad_config_version", Help: "Version of the configuration in force.",
		}),
		storeAge: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "verbenaroad_store_age_seconds", Help: "Time since the store answered.",
		}, func() float64 { return storeAge().Seconds() }),
	}
	m.registry.MustRegister(m.answers, m.firsts, m.repeats, m.batches, m.items, m.dropped, m.reloads, m.version, m.storeAge)
	return m
}

// Handler serves the figures as text.
func (m *Meters) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountAnswer notes the final answer of a request.
func (m *Meters) CountAnswer(route, outcome string, took time.Duration) {
	m.answers.WithLabelValues(route, outcome).Observe(took.Seconds())
}

// CountFirstEvent notes the first event of a stream.
func (m *Meters) CountFirstEvent(route string, took time.Duration) {
	m.firsts.WithLabelValues(route).Observe(took.Seconds())
}

// CountRetry notes a request that is sent once more.
func (m *Meters) CountRetry(service, reason string) {
	m.repeats.WithLabelValues(service, reason).Inc()
}

// CountBatch notes a call that makes results.
func (m *Meters) CountBatch(service, outcome string, items int, took time.Duration) {
	m.batches.WithLabelValues(service, outcome).Observe(took.Seconds())
	m.items.WithLabelValues(service, outcome).Add(float64(items))
}

// CountDropped notes log lines that were left out.
func (m *Meters) CountDropped(reason string, n int) {
	m.dropped.WithLabelValues(reason).Add(float64(n))
}

// CountReload notes a settings file that was read again.
func (m *Meters) CountReload(outcome string) {
	m.reloads.WithLabelValues(outcome).Inc()
}

// SetVersion notes the configuration in force.
func (m *Meters) SetVersion(version uint64) { m.version.Set(float64(version)) }
