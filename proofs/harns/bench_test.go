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
	// envTable names the file that takes the tables.
	envTable      = "VERBENA_BENCH_TABLE"
	benchRate     = 80 // requests per second
	benchBefore   = 2 * time.Second
	benchDuring   = 4 * time.Second
	benchAfter    = 4 * time.Second
	benchDeadline = 2 * time.Second
	benchBin      = 500 * time.Millisecond
	benchTokens   = 16
	// recoveredShare of the attainment before counts as recovered.
	recoveredShare = 0.95
)

// breakage is one fault and how it ends.
type breakage struct {
	name  string
	begin func(d *deployment)
	end   func(d *deployment)
}

func none(*deployment) {}

func breakages() []breakage {
	kv := func(s fault.Settings) func(d *deployment) {
		return func(d *deployment) { d.kv.setFault(s) }
	}
	each := func(do func(d *deployment, name string)) func(d *deployment) {
		return func(d *deployment) {
			for name := range d.peerRelay {
				do(d, name)
			}
		}
	}
	return []breakage{
		{"none", none, none},
		{"key-value service down 4 s", kv(fault.Settings{Down: true}), kv(fault.Settings{})},
		{"key-value service slow by 500 ms for 4 s", kv(fault.Settings{Slow: fault.Duration(500 * time.Millisecond)}), kv(fault.Settings{})},
		{"3 in 10 answers of writes lost for 4 s", kv(fault.Settings{Methods: []string{"PUT"}, LostAnswer: fault.LostAnswer{Probability: 0.3, Seed: 1}}), kv(fault.Settings{})},
		{"list down 4 s", func(d *deployment) { d.list.setFault(fault.Settings{Down: true}) }, func(d *deployment) { d.list.setFault(fault.Settings{}) }},
		{"all sessions silent for good", each(func(d *deployment, n string) { d.peerRelay[n].Silence() }), none},
		{"all sessions cut", each(func(d *deployment, n string) { d.peerRelay[n].Drop() }), none},
		{"engine's agent killed", func(d *deployment) { d.agents["llm-1"].kill() }, none},
		{"order desk's agent killed", func(d *deployment) { d.agents["ord-1"].kill() }, none},
		{"engine's and order desk's agents frozen 4 s", func(d *deployment) {
			d.agents["llm-1"].freeze()
			d.agents["ord-1"].freeze()
		}, func(d *deployment) {
			d.agents["llm-1"].wake()
			d.agents["ord-1"].wake()
		}},
		{"both agents stopped gracefully", func(d *deployment) {
			d.agents["llm-1"].signal(syscall.SIGTERM)
			d.agents["ord-1"].signal(syscall.SIGTERM)
		}, none},
		{"entry killed", func(d *deployment) { d.entries[0].kill() }, none},
		{"entry stopped gracefully", func(d *deployment) { d.entries[0].signal(syscall.SIGTERM) }, none},
	}
}

// shot is one request of the open-loop load.
type shot struct {
	at    time.Duration
	key   string
	order bool
	// other is the entry that a balancer tries next.
	other netip.AddrPort
	pending
}

// run sends the shot to the other entry where a balancer would, since the port
// is closed, and where the answer says to.
func (s *shot) run() {
	defer close(s.done)
	s.reply = send(s.address, s.visit)
	closed := s.reply.err != nil && s.reply.status == 0 && strings.Contains(s.reply.err.Error(), "refused")
	if closed || s.reply.failure.Code == codes.Draining {
		took := s.reply.took
		s.reply = send(s.other, s.visit)
		s.reply.took += took
	}
}

// volley sends shots on schedule, however many are outstanding.
type volley struct {
	d       *deployment
	started time.Time
	length  time.Duration
	shots   []*shot
	done    chan struct{}
}

func (v *volley) run() {
	defer close(v.done)
	for n := 0; ; n++ {
		at := time.Duration(n) * time.Second / benchRate
		if at >= v.length {
			break
		}
		time.Sleep(time.Until(v.started.Add(at)))
		s := &shot{at: at, key: fmt.Sprintf("bench-%d", n), order: n%4 == 0}
		s.done = make(chan struct{})
		s.address = v.d.callers(n % len(v.d.entries))
		s.other = v.d.callers((n + 1) % len(v.d.entries))
		s.visit = draft(s.key, benchTokens, false)
		if s.order {
			s.visit = order(s.key)
		}
		s.visit.deadline = benchDeadline.String()
		s.visit.patience = 2 * benchDeadline
		v.shots = append(v.shots, s)
		go s.run()
	}
	for _, s := range v.shots {
		<-s.done
	}
}

// tally is one row of the table.
type tally struct {
	offered, lost, doubled, wrong, refused, unknown int
	attained                                        [3]float64
	recovery                                        time.Duration
	calls                                           map[string]int
}

func (s *shot) attained() bool {
	return s.reply.ok() && s.reply.took <= benchDeadline
}

func count(shots []*shot, runs map[string]int) tally {
	t := tally{offered: len(shots)}
	phases := [3][2]int{}
	for _, s := range shots {
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
		case s.attained():
			phases[phase][0]++
		case r.err != nil && r.status == 0 && strings.Contains(r.err.Error(), "refused"), r.notRun():
			t.refused++
		case r.err != nil:
			t.lost++
		case r.failure.Outcome == codes.OutcomeUnknown:
			t.unknown++
		}
		if s.order && runs[s.key] > 1 {
			t.doubled++
		}
		if s.order && r.notRun() && runs[s.key] > 0 {
			t.wrong++
		}
	}
	for n, p := range phases {
		t.attained[n] = float64(p[0]) / float64(max(1, p[1]))
	}
	t.recovery = recovery(shots, t.attained[0])
	return t
}

// recovery is the time from the fault's begin to the end of the last part of the run below the attainment before.
func recovery(shots []*shot, before float64) time.Duration {
	bins := map[int][2]int{}
	for _, s := range shots {
		bin := bins[int(s.at/benchBin)]
		bin[1]++
		if s.attained() {
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

// TestBenchFaults measures each fault under the same load and writes the table.
func TestBenchFaults(t *testing.T) {
	table := strings.Builder{}
	table.WriteString("| fault | offered | lost | doubled | wrongly not-run | refused | unknown | attainment before / during / after | recovered after s | key-value reads / writes / watches |\n")
	table.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, b := range breakages() {
		t.Run(b.name, func(t *testing.T) {
			row := runBreakage(t, b)
			fmt.Fprintf(&table, "| %s | %d | %d | %d | %d | %d | %d | %.3f / %.3f / %.3f | %.1f | %d / %d / %d |\n",
				b.name, row.offered, row.lost, row.doubled, row.wrong, row.refused, row.unknown,
				row.attained[0], row.attained[1], row.attained[2], row.recovery.Seconds(),
				row.calls["read"], row.calls["write"], row.calls["watch"])
			if row.doubled > 0 || row.wrong > 0 {
				t.Errorf("doubled %d, wrongly not-run %d", row.doubled, row.wrong)
			}
		})
	}
	writeTable(t, table.String())
}

func runBreakage(t *testing.T, b breakage) tally {
	t.Helper()
	p := plan{entries: 2, backends: []backend{modelServer("llm-1"), modelServer("llm-2"), orderDesk("ord-1"), orderDesk("ord-2")}}
	for n := range p.backends {
		p.backends[n].sessionsOverRelay = true
	}
	d := deploy(t, p)
	before := d.kv.stats()
	v := &volley{d: d, started: time.Now(), length: benchBefore + benchDuring + benchAfter, done: make(chan struct{})}
	go v.run()
	time.Sleep(benchBefore)
	b.begin(d)
	time.Sleep(time.Until(v.started.Add(benchBefore + benchDuring)))
	b.end(d)
	<-v.done
	after := d.kv.stats()
	row := count(v.shots, d.allRuns())
	row.calls = map[string]int{}
	for kind, n := range after {
		row.calls[kind] = n - before[kind]
	}
	return row
}

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

// TestBenchRates measures the calls of the key-value service by the number of processes.
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
		slope, offset := fit(rows[name])
		fmt.Fprintf(&table, "| %s | %.4f | %.1f |\n", name, slope, offset)
	}
	writeTable(t, table.String())
}

type rates struct {
	state     string
	perSecond map[string]float64
}

func runRates(t *testing.T, processes int) []rates {
	t.Helper()
	p := plan{entries: 2, entryFlags: []string{"--platform.list-every", "2s"}}
	for n := range processes - p.entries {
		b := orderDesk(fmt.Sprintf("ord-%03d", n))
		b.agentFlags = []string{"--platform.list-every", "2s", "--log.level", "info"}
		if n > 0 {
			b.sharedServer = p.backends[0].name
		}
		p.backends = append(p.backends, b)
	}
	d := deploy(t, p)
	time.Sleep(3 * time.Second) // the start's reads are over
	return []rates{
		d.measureRates("at rest", func(time.Duration) {}),
		d.measureRates("5 changes in 6 s", func(length time.Duration) {
			for n := range rateChanges {
				d.vctl(n%2, operatorToken, "apply", d.write("rate.toml", teamText("kranj", n+2)))
				time.Sleep(length / rateChanges)
			}
		}),
		d.measureRates("30 orders a second", func(length time.Duration) {
			sent := []*pending{}
			for n := range int(length.Seconds()) * rateOrders {
				sent = append(sent, d.begin(n%2, order(fmt.Sprintf("rate-%d", n))))
				time.Sleep(time.Second / rateOrders)
			}
			for _, s := range sent {
				s.wait()
			}
		}),
	}
}

func (d *deployment) measureRates(state string, load func(length time.Duration)) rates {
	d.t.Helper()
	before, begun := d.kv.stats(), time.Now()
	load(rateTime)
	time.Sleep(time.Until(begun.Add(rateTime)))
	took := time.Since(begun).Seconds()
	r := rates{state: state, perSecond: map[string]float64{}}
	for kind, n := range d.kv.stats() {
		r.perSecond[kind] = float64(n-before[kind]) / took
	}
	return r
}

// fit returns the least-squares line through the points.
func fit(points [][2]float64) (slope, offset float64) {
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
