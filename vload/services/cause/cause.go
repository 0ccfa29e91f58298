package cause

import (
	"bufio"
	"errors"
	"io"
	"regexp"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// ErrCause is the class of errors of this package.
var ErrCause = errs.Class("cause") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// maxLine bounds a line; longer ones are an error of the input.
const maxLine = 1 << 20

// stageKey names the stages of one route that one service makes.
type stageKey struct{ service, stage, route string }

// windowKey names one service's calls in one window.
type windowKey struct {
	service string
	begins  time.Time
}

// calls sums up the calls of one window.
type calls struct {
	calls, items, waiting, most, refused, broken int
	took                                         time.Duration
	servers                                      map[string]bool
}

// Report gathers what the lines tell.
type Report struct {
	window time.Duration
	begins time.Time
	// stages holds how long each stage took that was made, unmade how often one was not.
	stages map[stageKey][]time.Duration
	unmade map[stageKey]int
	// begun holds, by route, how long requests took until their first event.
	begun   map[string][]time.Duration
	windows map[windowKey]*calls
	// failed counts, by route and reason, the requests that were not served.
	failed map[[2]string]int
	lines  int
}

// NewReport returns an empty report of calls by windows of the length given.
func NewReport(window time.Duration) *Report {
	return &Report{
		window: window, stages: map[stageKey][]time.Duration{}, unmade: map[stageKey]int{},
		begun: map[string][]time.Duration{}, windows: map[windowKey]*calls{}, failed: map[[2]string]int{},
	}
}

// Read takes all lines; lines of other programs are passed over.
func (r *Report) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Text()); ok {
			r.take(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return ErrCause.Wrap(err)
	}
	if r.lines == 0 {
		return ErrCause.Wrap(errors.New("no line tells of a stage, a call or a request"))
	}
	return nil
}

func (r *Report) take(l line) {
	switch l.event {
	case "stage-ended":
		r.takeStage(l)
	case "stream-begun":
		r.begun[l.fields["route"]] = append(r.begun[l.fields["route"]], l.duration("took"))
	case "batch":
		r.takeCall(l)
	case "failed":
		r.failed[[2]string{l.fields["route"], l.fields["code"] + ": " + withoutNumbers(l.fields["detail"])}]++
	default:
		return
	}
	r.lines++
}

func (r *Report) takeStage(l line) {
	key := stageKey{service: l.fields["stage-service"], stage: l.fields["stage"], route: l.fields["route"]}
	if l.fields["outcome"] != "made" {
		r.unmade[key]++
		return
	}
	r.stages[key] = append(r.stages[key], l.duration("took"))
}

// takeCall counts a call in the window in which it ended.
func (r *Report) takeCall(l line) {
	if r.begins.IsZero() {
		r.begins = l.at
	}
	begins := r.begins.Add(l.at.Sub(r.begins).Truncate(r.window))
	key := windowKey{service: l.fields["service"], begins: begins}
	c := r.windows[key]
	if c == nil {
		c = &calls{servers: map[string]bool{}}
		r.windows[key] = c
	}
	c.calls++
	c.items += l.count("items")
	c.waiting += l.count("waiting")
	c.most = max(c.most, l.count("waiting"))
	c.took += l.duration("took")
	c.servers[l.fields["server"]] = true
	switch l.fields["outcome"] {
	case "refused":
		c.refused++
	case "broken":
		c.broken++
	}
}

var number = regexp.MustCompile(`\bi-[0-9a-f]+\b|[0-9]+(?:\.[0-9]+)?(?:ns|µs|ms|s|m)?\b`)

// withoutNumbers makes one reason of those that differ in a time or a server.
func withoutNumbers(detail string) string { return number.ReplaceAllString(detail, "N") }

// part returns the value below which a part of sorted values lies.
func part(values []time.Duration, of float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(of*float64(len(sorted)-1))]
}
