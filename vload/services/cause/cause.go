// Package cause reads the log lines of a deployment's ingresses and prints tables of where
// requests spent their time and why some of them failed.
package cause

import (
	"bufio"
	"errors"
	"io"
	"regexp"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/vload/modules/lines"
)

// ErrCause is the class of errors of this package.
var ErrCause = errs.Class("cause") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// maxLineBytes limits the length of a line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// stageKey identifies a stage of a route and the service that produces it.
type stageKey struct{ service, stage, route string }

// windowKey identifies the calls of one service that ended in one time window.
type windowKey struct {
	service string
	start   time.Time
}

// windowTotals sums up the calls of one window; waiting adds up the items that were queued at each
// call.
type windowTotals struct {
	calls, items, waiting, maxWaiting, refused, broken int
	took                                               time.Duration
	servers                                            map[string]bool
}

// Report aggregates the log lines of stages, calls and requests.
type Report struct {
	window time.Duration
	start  time.Time
	// stageTimes holds the duration of each produced stage, notProduced the number of stages
	// that ended otherwise.
	stageTimes  map[stageKey][]time.Duration
	notProduced map[stageKey]int
	// firstEventTimes holds, by route, how long requests took until their first event.
	firstEventTimes map[string][]time.Duration
	windows         map[windowKey]*windowTotals
	// failures counts the failed requests by route and reason.
	failures map[[2]string]int
	matched  int
}

// NewReport returns an empty report that groups calls into windows of the given length.
func NewReport(window time.Duration) *Report {
	return &Report{
		window: window, stageTimes: map[stageKey][]time.Duration{}, notProduced: map[stageKey]int{},
		firstEventTimes: map[string][]time.Duration{}, windows: map[windowKey]*windowTotals{}, failures: map[[2]string]int{},
	}
}

// Read adds all lines to the report and ignores those of other events or programs. It fails
// if no line of the input so far was usable.
func (r *Report) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := lines.Parse(scanner.Text()); ok {
			r.add(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return ErrCause.Wrap(err)
	}
	if r.matched == 0 {
		return ErrCause.Wrap(errors.New("no log line reports a stage, a call or a request"))
	}
	return nil
}

func (r *Report) add(l lines.Line) {
	switch l.Event {
	case "stage-ended":
		r.addStage(l)
	case "stream-begun":
		r.firstEventTimes[l.Fields["route"]] = append(r.firstEventTimes[l.Fields["route"]], l.Duration("took"))
	case "batch":
		r.addCall(l)
	case "failed":
		r.failures[[2]string{l.Fields["route"], l.Fields["code"] + ": " + maskNumbers(l.Fields["detail"])}]++
	default:
		return
	}
	r.matched++
}

func (r *Report) addStage(l lines.Line) {
	key := stageKey{service: l.Fields["stage-service"], stage: l.Fields["stage"], route: l.Fields["route"]}
	if l.Fields["outcome"] != "made" {
		r.notProduced[key]++
		return
	}
	r.stageTimes[key] = append(r.stageTimes[key], l.Duration("took"))
}

// addCall counts a call in the window in which it ended. Windows are counted from the time of
// the first call.
func (r *Report) addCall(l lines.Line) {
	if r.start.IsZero() {
		r.start = l.At
	}
	start := r.start.Add(l.At.Sub(r.start).Truncate(r.window))
	key := windowKey{service: l.Fields["service"], start: start}
	c := r.windows[key]
	if c == nil {
		c = &windowTotals{servers: map[string]bool{}}
		r.windows[key] = c
	}
	c.calls++
	c.items += l.Count("items")
	c.waiting += l.Count("waiting")
	c.maxWaiting = max(c.maxWaiting, l.Count("waiting"))
	c.took += l.Duration("took")
	c.servers[l.Fields["server"]] = true
	switch l.Fields["outcome"] {
	case "refused":
		c.refused++
	case "broken":
		c.broken++
	}
}

var numberPattern = regexp.MustCompile(`\bi-[0-9a-f]+\b|[0-9]+(?:\.[0-9]+)?(?:ns|µs|ms|s|m)?\b`)

// maskNumbers replaces numbers, durations and names of the form i-1 by N, so that reasons that
// differ only in these are counted as one.
func maskNumbers(detail string) string { return numberPattern.ReplaceAllString(detail, "N") }

// quantile returns the value at the given fraction of the values in ascending order.
func quantile(values []time.Duration, fraction float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(fraction*float64(len(sorted)-1))]
}
