//go:build bench

package harns_test

import (
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
	"syscall"
	"testing"
	"time"

	"verbenaroad.example/fakes/modules/fault"
	"verbenaroad.example/share/modules/codes"
)

const (
	// envTable is the environment variable with the path of the file to which the tables are appended.
	envTable      = "VERBENA_BENCH_TABLE"
	benchRate     = 80 // requests per second
	benchBefore   = 2 * time.Second
	benchDuring   = 4 * time.Second
	benchAfter    = 4 * time.Second
	benchDeadline = 2 * time.Second
	// benchBin is the width of the time bins in which the recovery is searched.
	benchBin    = 500 * time.Millisecond
	benchTokens = 16
	// recoveredShare is the share of the attainment before the fault at which the system counts as
	// recovered.
	recoveredShare = 0.95
)

// faultCase is a fault to inject and the way to clear it.
type faultCase struct {
	name   string
	inject func(d *deployment)
	clear  func(d *deployment)
}

// noFault injects and clears nothing.
func noFault(*deployment) {}

// faultCases returns the cases in the order of the table. Their names are the labels of its rows.
func faultCases() []faultCase {
	kv := func(s fault.Settings) func(d *deployment) {
		return func(d *deployment) { d.kv.setFault(s) }
	}
	each := func(do func(d *deployment, name string)) func(d *deployment) {
		return func(d *deployment) {
			for name := range d.peerRelays {
				do(d, name)
			}
		}
	}
	return []faultCase{
		{"none", noFault, noFault},
		{"key-value service down 4 s", kv(fault.Settings{Down: true}), kv(fault.Settings{})},
		{"key-value service slow by 500 ms for 4 s", kv(fault.Settings{Slow: fault.Duration(500 * time.Millisecond)}), kv(fault.Settings{})},
		{"3 in 10 answers of writes lost for 4 s", kv(fault.Settings{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Probability: 0.3, Seed: 1}}), kv(fault.Settings{})},
		{"list down 4 s", func(d *deployment) { d.list.setFault(fault.Settings{Down: true}) }, func(d *deployment) { d.list.setFault(fault.Settings{}) }},
		{"all sessions silent for good", each(func(d *deployment, n string) { d.peerRelays[n].Silence() }), noFault},
		{"all sessions cut", each(func(d *deployment, n string) { d.peerRelays[n].Drop() }), noFault},
		{"engine's agent killed", func(d *deployment) { d.agents["llm-1"].kill() }, noFault},
		{"order desk's agent killed", func(d *deployment) { d.agents["ord-1"].kill() }, noFault},
		{"engine's and order desk's agents frozen 4 s", func(d *deployment) {
			d.agents["llm-1"].freeze()
			d.agents["ord-1"].freeze()
		}, func(d *deployment) {
			d.agents["llm-1"].resume()
			d.agents["ord-1"].resume()
		}},
		{"both agents stopped gracefully", func(d *deployment) {
			d.agents["llm-1"].signal(syscall.SIGTERM)
			d.agents["ord-1"].signal(syscall.SIGTERM)
		}, noFault},
		{"entry killed", func(d *deployment) { d.entries[0].kill() }, noFault},
		{"entry stopped gracefully", func(d *deployment) { d.entries[0].signal(syscall.SIGTERM) }, noFault},
	}
}

// loadRequest is one request of the open-loop load.
type loadRequest struct {
	// at is the scheduled time of sending, from the start of the load.
	at      time.Duration
	key     string
	isOrder bool
	// fallback is the entry that a load balancer would try next.
	fallback netip.AddrPort
	pending
}

// run sends the request. Like a load balancer, it sends the request to the fallback entry if the
// port is closed or the reply is draining.
func (s *loadRequest) run() {
	defer close(s.done)
	s.reply = send(s.address, s.request)
	closed := s.reply.err != nil && s.reply.status == 0 && strings.Contains(s.reply.err.Error(), "refused")
	if closed || s.reply.failure.Code == codes.Draining {
		took := s.reply.took
		s.reply = send(s.fallback, s.request)
		s.reply.took += took
	}
}

// openLoad sends requests at a fixed rate, regardless of how many are in flight.
type openLoad struct {
	d        *deployment
	started  time.Time
	length   time.Duration
	requests []*loadRequest
	done     chan struct{}
}

// run sends the requests and waits for all replies.
func (v *openLoad) run() {
	defer close(v.done)
	for n := 0; ; n++ {
		at := time.Duration(n) * time.Second / benchRate
		if at >= v.length {
			break
		}
		time.Sleep(time.Until(v.started.Add(at)))
		s := &loadRequest{at: at, key: fmt.Sprintf("bench-%d", n), isOrder: n%4 == 0}
		s.done = make(chan struct{})
		s.address = v.d.callerAddress(n % len(v.d.entries))
		s.fallback = v.d.callerAddress((n + 1) % len(v.d.entries))
		s.request = draftRequest(s.key, benchTokens, false)
		if s.isOrder {
			s.request = orderRequest(s.key)
		}
		s.request.deadline = benchDeadline.String()
		s.request.callerTimeout = 2 * benchDeadline
		v.requests = append(v.requests, s)
		go s.run()
	}
	for _, s := range v.requests {
		<-s.done
	}
}

// tableRow holds the figures of one row of the table.
type tableRow struct {
	offered, lost, ranTwice, wronglyNotRun, refused, unknown int
	attainment                                               [3]float64
	recovery                                                 time.Duration
	calls                                                    map[string]int
}

// metDeadline reports whether the request succeeded within its deadline.
func (s *loadRequest) metDeadline() bool {
	return s.reply.ok() && s.reply.took <= benchDeadline
}

// countOutcomes computes the figures of a row. It classifies each request by its reply and compares
// orders with their runs in the ledger.
func countOutcomes(requests []*loadRequest, runs map[string]int) tableRow {
	t := tableRow{offered: len(requests)}
	phases := [3][2]int{}
	for _, s := range requests {
		phase := 0
		switch {
		case s.at >= benchBefore+benchDuring:
			phase = 2
		case s.at >= benchBefore:
			phase = 1
		}
		phases[phase][1]++
		r := s.reply
		switch {
		case s.metDeadline():
			phases[phase][0]++
		case r.err != nil && r.status == 0 && strings.Contains(r.err.Error(), "refused"), r.notRun():
			t.refused++
		case r.err != nil:
			t.lost++
		case r.failure.Outcome == codes.OutcomeUnknown:
			t.unknown++
		}
		if s.isOrder && runs[s.key] > 1 {
			t.ranTwice++
		}
		if s.isOrder && r.notRun() && runs[s.key] > 0 {
			t.wronglyNotRun++
		}
	}
	for n, p := range phases {
		t.attainment[n] = float64(p[0]) / float64(max(1, p[1]))
	}
	t.recovery = recovery(requests, t.attainment[0])
	return t
}

// recovery returns the time from the start of the fault to the end of the last bin in which the
// attainment is below recoveredShare of the attainment before the fault.
func recovery(requests []*loadRequest, before float64) time.Duration {
	bins := map[int][2]int{}
	for _, s := range requests {
		bin := bins[int(s.at/benchBin)]
		bin[1]++
		if s.metDeadline() {
			bin[0]++
		}
		bins[int(s.at/benchBin)] = bin
	}
	last := time.Duration(0)
	for n, bin := range bins {
		end := time.Duration(n+1) * benchBin
		low := float64(bin[0])/float64(bin[1]) < recoveredShare*before
		if end > benchBefore && low {
			last = max(last, end-benchBefore)
		}
	}
	return last
}

// TestBenchFaults measures the effect of each fault under the same load and writes a table.
func TestBenchFaults(t *testing.T) {
	table := strings.Builder{}
	table.WriteString("| fault | offered | lost | doubled | wrongly not-run | refused | unknown | attainment before / during / after | recovered after s | key-value reads / writes / watches |\n")
	table.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range faultCases() {
		t.Run(c.name, func(t *testing.T) {
			row := runFaultCase(t, c)
			fmt.Fprintf(&table, "| %s | %d | %d | %d | %d | %d | %d | %.3f / %.3f / %.3f | %.1f | %d / %d / %d |\n",
				c.name, row.offered, row.lost, row.ranTwice, row.wronglyNotRun, row.refused, row.unknown,
				row.attainment[0], row.attainment[1], row.attainment[2], row.recovery.Seconds(),
				row.calls["read"], row.calls["write"], row.calls["watch"])
			if row.ranTwice > 0 || row.wronglyNotRun > 0 {
				t.Errorf("orders that ran twice: %d, orders wrongly reported as not run: %d", row.ranTwice, row.wronglyNotRun)
			}
		})
	}
	writeTable(t, table.String())
}

// runFaultCase deploys a system, injects the fault under load and returns the figures.
func runFaultCase(t *testing.T, c faultCase) tableRow {
	t.Helper()
	p := plan{entries: 2, backends: []backend{modelServer("llm-1"), modelServer("llm-2"), orderServer("ord-1"), orderServer("ord-2")}}
	for n := range p.backends {
		p.backends[n].sessionsOverRelay = true
	}
	d := deploy(t, p)
	before := d.kv.callsByKind()
	v := &openLoad{d: d, started: time.Now(), length: benchBefore + benchDuring + benchAfter, done: make(chan struct{})}
	go v.run()
	time.Sleep(benchBefore)
	c.inject(d)
	time.Sleep(time.Until(v.started.Add(benchBefore + benchDuring)))
	c.clear(d)
	<-v.done
	after := d.kv.callsByKind()
	row := countOutcomes(v.requests, d.runsByKey())
	row.calls = map[string]int{}
	for kind, n := range after {
		row.calls[kind] = n - before[kind]
	}
	return row
}

// writeTable logs the tables and appends them to the file that envTable names, if it is set.
func writeTable(t *testing.T, text string) {
	t.Helper()
	t.Log("\n" + text)
	path := os.Getenv(envTable)
	if path == "" {
		return
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	if _, err := file.WriteString(text + "\n"); err != nil {
		t.Fatal(err)
	}
}

const (
	rateTime    = 6 * time.Second
	rateChanges = 5
	rateOrders  = 30 // per second
)

// TestBenchRates measures the rate of calls to the store for different numbers of processes.
func TestBenchRates(t *testing.T) {
	table := strings.Builder{}
	table.WriteString("| processes | state | reads / s | writes / s | watches opened / s |\n|---|---|---|---|---|\n")
	rows := map[string][][2]float64{}
	for _, processes := range []int{10, 30, 100} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			for _, r := range runRates(t, processes) {
				fmt.Fprintf(&table, "| %d | %s | %.1f | %.1f | %.1f |\n", processes, r.state, r.perSecond["read"], r.perSecond["write"], r.perSecond["watch"])
				for _, kind := range []string{"read", "write"} {
					rows[r.state+", "+kind+"s"] = append(rows[r.state+", "+kind+"s"], [2]float64{float64(processes), r.perSecond[kind]})
				}
			}
		})
	}
	table.WriteString("\n| state | slope: calls a second for each further process | at 0 processes |\n|---|---|---|\n")
	names := []string{}
	for name := range rows {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		slope, offset := fitLine(rows[name])
		fmt.Fprintf(&table, "| %s | %.4f | %.1f |\n", name, slope, offset)
	}
	writeTable(t, table.String())
}

// rates holds the calls per second that the store receives in one state of the system, by kind of
// call.
type rates struct {
	state     string
	perSecond map[string]float64
}

// runRates deploys the given number of processes and measures the call rates at rest, under
// configuration changes, and under orders.
func runRates(t *testing.T, processes int) []rates {
	t.Helper()
	p := plan{entries: 2, entryFlags: []string{"--platform.list-every", "2s"}}
	for n := range processes - p.entries {
		b := orderServer(fmt.Sprintf("ord-%03d", n))
		b.agentFlags = []string{"--platform.list-every", "2s", "--log.level", "info"}
		if n > 0 {
			b.sharedServer = p.backends[0].name
		}
		p.backends = append(p.backends, b)
	}
	d := deploy(t, p)
	time.Sleep(3 * time.Second) // lets the reads of the start complete
	return []rates{
		d.measureRates("at rest", func(time.Duration) {}),
		d.measureRates("5 changes in 6 s", func(length time.Duration) {
			for n := range rateChanges {
				d.vctl(n%2, operatorToken, "apply", d.writeFile("rate.toml", teamText("kranj", n+2)))
				time.Sleep(length / rateChanges)
			}
		}),
		d.measureRates("30 orders a second", func(length time.Duration) {
			sent := []*pending{}
			for n := range int(length.Seconds()) * rateOrders {
				sent = append(sent, d.sendAsync(n%2, orderRequest(fmt.Sprintf("rate-%d", n))))
				time.Sleep(time.Second / rateOrders)
			}
			for _, s := range sent {
				s.wait()
			}
		}),
	}
}

// measureRates runs a load and returns the call rates over rateTime, or longer if the load takes
// longer.
func (d *deployment) measureRates(state string, load func(length time.Duration)) rates {
	d.t.Helper()
	before, started := d.kv.callsByKind(), time.Now()
	load(rateTime)
	time.Sleep(time.Until(started.Add(rateTime)))
	took := time.Since(started).Seconds()
	r := rates{state: state, perSecond: map[string]float64{}}
	for kind, n := range d.kv.callsByKind() {
		r.perSecond[kind] = float64(n-before[kind]) / took
	}
	return r
}

// fitLine returns the least-squares line through the points.
func fitLine(points [][2]float64) (slope, offset float64) {
	n, sx, sy, sxx, sxy := float64(len(points)), 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		sx += p[0]
		sy += p[1]
		sxx += p[0] * p[0]
		sxy += p[0] * p[1]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}
