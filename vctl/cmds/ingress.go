package cmds

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The metrics of an ingress that the command reads.
const (
	metricConfigVersion = "verbenaroad_config_version"
	metricStoreAge      = "verbenaroad_store_age_seconds"
	metricRequests      = "verbenaroad_request_seconds"
	metricLinesDropped  = "verbenaroad_log_lines_dropped_total"
	labelOutcome        = "outcome"
	// outcomeAnswered is the outcome of requests that a backend server answered.
	outcomeAnswered = "answered"
	// maxMetricsBytes limits the size of a metrics page. The page of an ingress with 500 routes has
	// about 2 MB.
	maxMetricsBytes = 16 << 20
)

// ingressState is the state of an ingress according to its metrics.
type ingressState struct {
	Address netip.AddrPort `json:"address"`
	// Fault is why the metrics could not be read; the fields below are then unset. Empty: no fault.
	Fault         string            `json:"fault,omitempty"`
	ConfigVersion uint64            `json:"config-version"`
	StoreAge      time.Duration     `json:"store-age-nanos"`
	Outcomes      map[string]uint64 `json:"outcomes"`
	// LinesDropped is the number of log lines that the ingress discarded instead of writing them.
	LinesDropped uint64 `json:"lines-dropped"`
}

func (a *app) newIngress() *ffcli.Command {
	return a.newCommand(ffcli.Command{
		Name:       "ingress",
		ShortUsage: "vctl ingress [flags] IP:PORT ...",
		ShortHelp:  "compare ingresses by their metrics: configuration, time since the store answered, outcomes",
		LongHelp: strings.TrimSpace(`
The arguments are metrics addresses. An ingress whose version is behind or whose
store age is high is cut off from the store. The exit code is 1 if an ingress
did not answer.

Example:
  vctl ingress 127.0.0.1:9090 127.0.0.1:9091`),
		FlagSet: a.newFlags("ingress"),
	}, a.ingress)
}

func (a *app) ingress(ctx context.Context, args []string) error {
	if len(args) == 0 {
		return newUsageError("want the metrics address of one ingress or more")
	}
	states := make([]ingressState, 0, len(args))
	failed := 0
	for _, arg := range args {
		address, err := netip.ParseAddrPort(arg)
		if err != nil {
			return newUsageError("%q is no ip:port", arg)
		}
		s := a.queryIngress(ctx, address)
		if s.Fault != "" {
			failed++
		}
		states = append(states, s)
	}
	if err := a.print(states, "ADDRESS CONFIG STORE-AGE ANSWERED OTHERWISE LINES-DROPPED", listIngresses(states)); err != nil {
		return err
	}
	if failed > 0 {
		return newRefusedError("%d of %d did not answer", failed, len(args))
	}
	return nil
}

// listIngresses returns one row of the table for each ingress.
func listIngresses(states []ingressState) [][]string {
	rows := [][]string{}
	for _, s := range states {
		if s.Fault != "" {
			rows = append(rows, []string{s.Address.String(), "-", "-", "-", s.Fault, "-"})
			continue
		}
		rows = append(rows, []string{
			s.Address.String(), strconv.FormatUint(s.ConfigVersion, 10), s.StoreAge.Round(time.Millisecond).String(),
			strconv.FormatUint(s.Outcomes[outcomeAnswered], 10), orDash(formatOutcomes(s.Outcomes)), strconv.FormatUint(s.LinesDropped, 10),
		})
	}
	return rows
}

// formatOutcomes lists the number of requests for each outcome other than outcomeAnswered, for
// example "overloaded=2".
func formatOutcomes(outcomes map[string]uint64) string {
	parts := []string{}
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		if outcome != outcomeAnswered {
			parts = append(parts, fmt.Sprintf("%s=%d", outcome, outcomes[outcome]))
		}
	}
	return strings.Join(parts, ",")
}

// queryIngress reads the state of an ingress from its metrics; a failure is reported in Fault.
func (a *app) queryIngress(ctx context.Context, address netip.AddrPort) ingressState {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	families, err := readMetrics(ctx, address)
	if err != nil {
		return ingressState{Address: address, Fault: err.Error()}
	}
	s := ingressState{
		Address:       address,
		ConfigVersion: uint64(sumMetric(families[metricConfigVersion])),
		StoreAge:      time.Duration(sumMetric(families[metricStoreAge]) * float64(time.Second)),
		LinesDropped:  uint64(sumMetric(families[metricLinesDropped])),
		Outcomes:      map[string]uint64{},
	}
	for _, m := range families[metricRequests].GetMetric() {
		for _, label := range m.GetLabel() {
			if label.GetName() == labelOutcome {
				s.Outcomes[label.GetValue()] += m.GetHistogram().GetSampleCount()
			}
		}
	}
	return s
}

func readMetrics(ctx context.Context, address netip.AddrPort) (map[string]*dto.MetricFamily, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(io.LimitReader(response.Body, maxMetricsBytes))
}

// sumMetric returns the sum of the counters or gauges of a family.
func sumMetric(family *dto.MetricFamily) float64 {
	sum := 0.0
	for _, m := range family.GetMetric() {
		sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return sum
}
