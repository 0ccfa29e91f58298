// Package roles reads the log lines of a deployment's ingresses and prints tables of what each role
// costs and of how long changes, losses and starts take to reach all instances.
package roles

import (
	"bufio"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/vload/modules/lines"
)

// ErrRoles is the class of errors of this package.
var ErrRoles = errs.Class("roles") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// maxLineBytes limits the length of a line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Role is what an ingress does for others besides serving its callers.
type Role string

// The roles, the first one that applies.
const (
	// RolePlacer ingresses place requests of others at engines.
	RolePlacer Role = "placer"
	// RoleBatcher ingresses make results of stages for others.
	RoleBatcher Role = "batcher"
	// RoleSource ingresses pass the changes of the store on to others.
	RoleSource Role = "source"
	// RolePlain ingresses do nothing for others.
	RolePlain Role = "plain"
)

// traffic sums up the frames of one kind.
type traffic struct{ frames, bytes float64 }

// process is the last line of an ingress process about what it uses.
type process struct {
	uptime        time.Duration
	processorTime time.Duration
	memory        float64
	// most holds the largest value of each counted thing over all lines of the process.
	links, followers, servers, ingresses int
	storeCalls                           map[string]float64
	// sent and received are keyed by the kind of frame.
	sent, received map[string]traffic
}

// spread is when an event of the deployment was observed by the instances.
type spread struct{ times []time.Time }

// Report aggregates log lines.
type Report struct {
	// processes is keyed by instance and, since an instance may restart, by the start of the process.
	processes map[processKey]*process
	started   map[string]time.Time
	// spreads holds the observations by event and subject.
	spreads map[spreadKey]*spread
	// observations counts how often each process has made an observation.
	observations map[observationKey]int
	// startTimes holds how long processes took from their start to their first configuration.
	startTimes []time.Duration
	configured map[processKey]bool
}

type processKey struct {
	instance string
	started  time.Time
}

// spreadKey identifies what was observed. Occurrence tells apart what happens to a subject more than once:
// it is how often the observing process has seen it before.
type spreadKey struct {
	event, subject string
	occurrence     int
}

type observationKey struct {
	process        processKey
	event, subject string
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		processes: map[processKey]*process{}, started: map[string]time.Time{}, spreads: map[spreadKey]*spread{},
		observations: map[observationKey]int{},
		configured:   map[processKey]bool{},
	}
}

// wantedEvents are the events that the report uses. Most lines of a log are of others.
var wantedEvents = []string{"event=usage ", "event=started ", "event=config-applied ", "event=server-removed ", "event=ingress-removed "} //nolint:gochecknoglobals // a table that does not change

// Read adds all lines to the report and ignores those of other events or programs. It fails if the
// input so far has no line about what a process uses.
func (r *Report) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !slices.ContainsFunc(wantedEvents, func(event string) bool { return strings.Contains(text, event) }) {
			continue
		}
		if l, ok := lines.Parse(text); ok {
			r.add(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return ErrRoles.Wrap(err)
	}
	if len(r.processes) == 0 {
		return ErrRoles.Wrap(errors.New("no log line says what a process uses"))
	}
	return nil
}

func (r *Report) add(l lines.Line) {
	instance := l.Fields["instance"]
	switch l.Event {
	case "started":
		r.started[instance] = l.At
	case "usage":
		r.addUsage(l)
	case "config-applied":
		r.addConfig(l)
	case "server-removed":
		r.observe(l, l.Fields["server"])
	case "ingress-removed":
		r.observe(l, l.Fields["ingress"])
	}
}

// addConfig records a configuration. The first one of a process shows how long its start took, the
// others how long a change took to reach it.
func (r *Report) addConfig(l lines.Line) {
	key := processKey{instance: l.Fields["instance"], started: r.started[l.Fields["instance"]]}
	if !r.configured[key] {
		r.configured[key] = true
		if !key.started.IsZero() {
			r.startTimes = append(r.startTimes, l.At.Sub(key.started))
		}
		return
	}
	r.observe(l, l.Fields["version"])
}

func (r *Report) observe(l lines.Line, subject string) {
	process := processKey{instance: l.Fields["instance"], started: r.started[l.Fields["instance"]]}
	seen := observationKey{process: process, event: l.Event, subject: subject}
	key := spreadKey{event: l.Event, subject: subject, occurrence: r.observations[seen]}
	r.observations[seen]++
	s := r.spreads[key]
	if s == nil {
		s = &spread{}
		r.spreads[key] = s
	}
	s.times = append(s.times, l.At)
}

// addUsage replaces what is known of a process. Its counters only grow.
func (r *Report) addUsage(l lines.Line) {
	key := processKey{instance: l.Fields["instance"], started: r.started[l.Fields["instance"]]}
	p := r.processes[key]
	if p == nil {
		p = &process{}
		r.processes[key] = p
	}
	p.uptime, p.processorTime = l.Duration("uptime"), l.Duration("processor-time")
	p.memory = max(p.memory, float64(l.Count("memory")))
	p.links = max(p.links, l.Count("links-opened"))
	p.followers = max(p.followers, l.Count("followers"))
	p.servers = max(p.servers, l.Count("servers"))
	p.ingresses = max(p.ingresses, l.Count("ingresses"))
	p.storeCalls, p.sent, p.received = map[string]float64{}, map[string]traffic{}, map[string]traffic{}
	for _, word := range strings.FieldsFunc(l.Fields["counts"], isSeparator) {
		p.addCount(word)
	}
}

func isSeparator(c rune) bool { return strings.ContainsRune("[], \"", c) }

// addCount adds a count of the form store=CALL/OUTCOME:COUNT, sent=KIND:COUNT:BYTES or
// received=KIND:COUNT:BYTES. Others are ignored.
func (p *process) addCount(word string) {
	group, rest, _ := strings.Cut(word, "=")
	parts := strings.Split(rest, ":")
	switch {
	case group == "store" && len(parts) == 2:
		p.storeCalls[parts[0]] = readNumber(parts[1])
	case group == "sent" && len(parts) == 3:
		p.sent[parts[0]] = traffic{frames: readNumber(parts[1]), bytes: readNumber(parts[2])}
	case group == "received" && len(parts) == 3:
		p.received[parts[0]] = traffic{frames: readNumber(parts[1]), bytes: readNumber(parts[2])}
	}
}

func readNumber(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return n
}

// role returns the first role that applies to the process.
func (p *process) role() Role {
	switch {
	case p.received["assign"].frames > 0:
		return RolePlacer
	case p.received["produce"].frames > 0:
		return RoleBatcher
	case p.followers > 0:
		return RoleSource
	default:
		return RolePlain
	}
}
