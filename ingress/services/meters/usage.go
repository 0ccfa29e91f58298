package meters

import (
	"fmt"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// usage counts what the process costs others: calls to the store, and frames on the links to other
// ingresses.
type usage struct {
	registry   *prometheus.Registry
	storeCalls *prometheus.CounterVec
	frames     *prometheus.CounterVec
	frameBytes *prometheus.CounterVec
}

func newUsage() *usage {
	u := &usage{
		registry: prometheus.NewRegistry(),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_store_calls_total", Help: "Calls to the store.",
		}, []string{"call", "outcome"}),
		frames: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_link_frames_total", Help: "Frames on the links to other ingresses.",
		}, []string{"direction", "body"}),
		frameBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "verbenaroad_link_frame_bytes_total", Help: "Encoded size of the frames on the links to other ingresses.",
		}, []string{"direction", "body"}),
	}
	u.registry.MustRegister(u.storeCalls, u.frames, u.frameBytes)
	return u
}

// CountStoreCall counts a call to the store.
func (m *Meters) CountStoreCall(call string, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.usage.storeCalls.WithLabelValues(call, outcome).Inc()
}

// CountFrame counts a frame that was sent to another ingress or received from one.
func (m *Meters) CountFrame(sent bool, body string, bytes int) {
	direction := "received"
	if sent {
		direction = "sent"
	}
	m.usage.frames.WithLabelValues(direction, body).Inc()
	m.usage.frameBytes.WithLabelValues(direction, body).Add(float64(bytes))
}

// Usage returns the counts of calls and frames since the start of the process, each as one word:
// store=CALL/OUTCOME:COUNT, and sent or received=BODY:COUNT:BYTES.
func (m *Meters) Usage() []string {
	families, err := m.usage.registry.Gather()
	if err != nil {
		return nil // cannot happen: the registry holds counters with fixed labels
	}
	counts, sizes := map[string]float64{}, map[string]float64{}
	words := []string{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			value := metric.GetCounter().GetValue()
			switch family.GetName() {
			case "verbenaroad_store_calls_total":
				words = append(words, fmt.Sprintf("store=%s/%s:%.0f", labelOf(metric, "call"), labelOf(metric, "outcome"), value))
			case "verbenaroad_link_frames_total":
				counts[labelOf(metric, "direction")+"="+labelOf(metric, "body")] = value
			default:
				sizes[labelOf(metric, "direction")+"="+labelOf(metric, "body")] = value
			}
		}
	}
	for name, count := range counts {
		words = append(words, fmt.Sprintf("%s:%.0f:%.0f", strings.ReplaceAll(name, "_", "-"), count, sizes[name]))
	}
	slices.Sort(words)
	return words
}

func labelOf(metric *dto.Metric, name string) string {
	for _, label := range metric.GetLabel() {
		if label.GetName() == name {
			return label.GetValue()
		}
	}
	return ""
}
