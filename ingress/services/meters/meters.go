// Package meters records the metrics of an ingress and serves them in the Prometheus text format.
package meters

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meters holds the metrics of one process.
type Meters struct {
	registry      *prometheus.Registry
	answers       *prometheus.HistogramVec
	firstEvents   *prometheus.HistogramVec
	retries       *prometheus.CounterVec
	streamRuns    *prometheus.CounterVec
	batches       *prometheus.HistogramVec
	batchItems    *prometheus.CounterVec
	limitedSends  *prometheus.CounterVec
	limitedCount  prometheus.Gauge
	closedCount   *prometheus.GaugeVec
	droppedLines  *prometheus.CounterVec
	reloads       *prometheus.CounterVec
	lateChecks    prometheus.Histogram
	refusedConns  prometheus.Counter
	configVersion prometheus.Gauge
	storeAge      prometheus.GaugeFunc
	requestMemory prometheus.GaugeFunc
	usage         *usage
}

// latencyBuckets returns histogram buckets in seconds, from the time of a plain service's answer to the
// longest deadline.
func latencyBuckets() []float64 {
	return []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 2.5, 3, 4, 6, 8, 12, 20, 30}
}

// NewMeters registers the metrics. The function storeAge returns the time since the store last
// answered, requestMemory the number of bytes that requests and answers hold.
func NewMeters(storeAge func() time.Duration, requestMemory func() int64) *Meters {
	m := &Meters{
		registry: prometheus.NewRegistry(),
		usage:    newUsage(),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "verbenaroad_request_seconds", Help: "Time from arrival to the final answer.", Buckets: latencyBuckets(),
		}, []string{"route", "outcome"}),
		firstEvents: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "verbenaroad_first_event_seconds", Help: "Time from arrival to the first event of a stream.", Buckets: latencyBuckets(),
		}, []string{"route"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_repeats_total", Help: "Requests that were sent to a further backend server.",
		}, []string{"service", "reason"}),
		streamRuns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_stream_runs_total", Help: "Runs of streams at engines, by how their answers ended.",
		}, []string{"route", "end"}),
		batches: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "verbenaroad_batch_seconds", Help: "Time of a call that produces results of stages.", Buckets: latencyBuckets(),
		}, []string{"service", "outcome"}),
		batchItems: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_batch_items_total", Help: "Items in calls that produce results of stages.",
		}, []string{"service", "outcome"}),
		limitedSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_limited_sends_total", Help: "Requests that were sent to a backend server that states a rate limit.",
		}, []string{"service"}),
		closedCount: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "verbenaroad_closed_servers", Help: "Backend servers that said that they leave, or asked this ingress for a pause.",
		}, []string{"reason"}),
		limitedCount: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "verbenaroad_limited_servers", Help: "Backend servers that state a rate limit, as far as this ingress knows.",
		}),
		droppedLines: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_log_lines_dropped_total", Help: "Log lines that were left out.",
		}, []string{"reason"}),
		reloads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_reloads_total", Help: "Settings files that were read again.",
		}, []string{"outcome"}),
		refusedConns: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "verbenaroad_refused_connections_total", Help: "New connections of callers that were closed unread because the process was overloaded.",
		}),
		lateChecks: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "verbenaroad_late_check_seconds", Help: "Delay of periodic checks that ran late, which all goroutines of the process share.",
			Buckets: latencyBuckets(),
		}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "verbenaroad_config_version", Help: "Version of the configuration in force.",
		}),
		storeAge: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "verbenaroad_store_age_seconds", Help: "Time since the store answered.",
		}, func() float64 { return storeAge().Seconds() }),
		requestMemory: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "verbenaroad_request_memory_bytes", Help: "Memory held by bodies of requests and by answers that are not read yet.",
		}, func() float64 { return float64(requestMemory()) }),
	}
	m.registry.MustRegister(m.answers, m.firstEvents, m.retries, m.streamRuns, m.batches, m.batchItems, m.limitedSends, m.limitedCount, m.closedCount, m.droppedLines, m.reloads, m.lateChecks, m.refusedConns, m.configVersion, m.storeAge, m.requestMemory)
	return m
}

// Handler returns the HTTP handler of the metrics.
func (m *Meters) Handler() http.Handler {
	return promhttp.HandlerFor(prometheus.Gatherers{m.registry, m.usage.registry}, promhttp.HandlerOpts{})
}

// CountAnswer records the final answer of a request and the time since the request arrived.
func (m *Meters) CountAnswer(route, outcome string, took time.Duration) {
	m.answers.WithLabelValues(route, outcome).Observe(took.Seconds())
}

// CountFirstEvent records the first event of a stream and the time since the request arrived.
func (m *Meters) CountFirstEvent(route string, took time.Duration) {
	m.firstEvents.WithLabelValues(route).Observe(took.Seconds())
}

// CountRetry counts a retry of a request.
func (m *Meters) CountRetry(service, reason string) {
	m.retries.WithLabelValues(service, reason).Inc()
}

// CountStreamRun counts a run of a stream at an engine by its end: length, chunks or connection for a whole answer, or
// why it is not whole.
func (m *Meters) CountStreamRun(route, end string) { m.streamRuns.WithLabelValues(route, end).Inc() }

// CountBatch records a call that produces results of stages, with the number of its items.
func (m *Meters) CountBatch(service, outcome string, items int, took time.Duration) {
	m.batches.WithLabelValues(service, outcome).Observe(took.Seconds())
	m.batchItems.WithLabelValues(service, outcome).Add(float64(items))
}

// CountLimitedSend counts a request that is sent to a backend server that states a rate limit.
func (m *Meters) CountLimitedSend(service string) {
	m.limitedSends.WithLabelValues(service).Inc()
}

// SetLimitedServers sets the number of backend servers that state a rate limit.
func (m *Meters) SetLimitedServers(n int) { m.limitedCount.Set(float64(n)) }

// CountDroppedLines counts n log lines that were dropped.
func (m *Meters) CountDroppedLines(reason string, n int) {
	m.droppedLines.WithLabelValues(reason).Add(float64(n))
}

// CountReload counts a reload of the settings. The outcome is "applied" or "kept"; the latter means
// that the new settings were faulty and the old ones stay in force.
func (m *Meters) CountReload(outcome string) {
	m.reloads.WithLabelValues(outcome).Inc()
}

// CountLateCheck counts a check that ran late by delay.
func (m *Meters) CountLateCheck(delay time.Duration) { m.lateChecks.Observe(delay.Seconds()) }

// CountRefusedConnection counts a new connection that was closed unread.
func (m *Meters) CountRefusedConnection() { m.refusedConns.Inc() }

// SetVersion sets the version of the configuration in force.
func (m *Meters) SetVersion(version uint64) { m.configVersion.Set(float64(version)) }

// SetClosedServers sets the numbers of backend servers that said that they leave, and that asked this
// ingress for a pause.
func (m *Meters) SetClosedServers(leaving, paused int) {
	m.closedCount.WithLabelValues("leaving").Set(float64(leaving))
	m.closedCount.WithLabelValues("paused").Set(float64(paused))
}
