package roles

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	median     = 0.5
	percentile = 0.99
	kilobyte   = 1e3
	megabyte   = 1e6
	percent    = 100
	// minObservers is how many instances must have observed an event for it to have spread.
	minObservers = 2
	// timeResolution is what times in the tables are rounded to.
	timeResolution = time.Millisecond
)

// Write prints the tables: what an instance of each role uses, its frames by kind, all calls to the
// store by kind, and the times of changes, losses and starts.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	groups := r.groupByRole()
	r.writeRoles(w, groups)
	r.writeFrames(w, groups)
	r.writeStoreCalls(w)
	r.writeSpreads(w)
	return ErrRoles.Wrap(w.Flush())
}

func roles() []Role { return []Role{RolePlacer, RoleBatcher, RoleSource, RolePlain} }

func (r *Report) groupByRole() map[Role][]*process {
	groups := map[Role][]*process{}
	for _, p := range r.processes {
		groups[p.role()] = append(groups[p.role()], p)
	}
	return groups
}

// writeRoles prints the median and the largest value of what an instance uses.
func (r *Report) writeRoles(w io.Writer, groups map[Role][]*process) {
	_, _ = fmt.Fprintln(w, "role\tprocesses\tprocessor %\tmost\tmemory MB\tmost\tlinks opened\tmost\tfollowers, most\tservers\tingresses\tkB/s sent\tmost\tkB/s received\tmost")
	for _, role := range roles() {
		group := groups[role]
		if len(group) == 0 {
			continue
		}
		cells := []any{role, len(group)}
		for _, value := range []func(*process) float64{
			func(p *process) float64 { return percent * rate(p, p.processorTime.Seconds()) },
			func(p *process) float64 { return p.memory / megabyte },
			func(p *process) float64 { return float64(p.links) },
		} {
			middle, most := summarize(group, value)
			cells = append(cells, middle, most)
		}
		_, followers := summarize(group, func(p *process) float64 { return float64(p.followers) })
		servers, _ := summarize(group, func(p *process) float64 { return float64(p.servers) })
		ingresses, _ := summarize(group, func(p *process) float64 { return float64(p.ingresses) })
		cells = append(cells, followers, servers, ingresses)
		for _, value := range []func(*process) float64{
			func(p *process) float64 { return rate(p, sum(p.sent).bytes) / kilobyte },
			func(p *process) float64 { return rate(p, sum(p.received).bytes) / kilobyte },
		} {
			middle, most := summarize(group, value)
			cells = append(cells, middle, most)
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\n", cells...)
	}
}

// writeFrames prints, for each role and kind of frame, the mean of an instance.
func (r *Report) writeFrames(w io.Writer, groups map[Role][]*process) {
	_, _ = fmt.Fprintln(w, "\nrole\tframe\tsent/s\tkB/s\treceived/s\tkB/s")
	for _, role := range roles() {
		group := groups[role]
		kinds := map[string]bool{}
		for _, p := range group {
			for kind := range p.sent {
				kinds[kind] = true
			}
			for kind := range p.received {
				kinds[kind] = true
			}
		}
		for _, kind := range slices.Sorted(maps.Keys(kinds)) {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\n", role, kind,
				mean(group, func(p *process) float64 { return rate(p, p.sent[kind].frames) }),
				mean(group, func(p *process) float64 { return rate(p, p.sent[kind].bytes) / kilobyte }),
				mean(group, func(p *process) float64 { return rate(p, p.received[kind].frames) }),
				mean(group, func(p *process) float64 { return rate(p, p.received[kind].bytes) / kilobyte }))
		}
	}
}

func (r *Report) writeStoreCalls(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\ncalls to the store\tof all processes\tof a process, most")
	totals, most := map[string]float64{}, map[string]float64{}
	for _, p := range r.processes {
		for call, count := range p.storeCalls {
			totals[call] += count
			most[call] = max(most[call], count)
		}
	}
	for _, call := range slices.Sorted(maps.Keys(totals)) {
		_, _ = fmt.Fprintf(w, "%s\t%.0f\t%.0f\n", call, totals[call], most[call])
	}
}

// writeSpreads prints how long starts took and, for each kind of event, how long after the first instance
// the others observed it.
func (r *Report) writeSpreads(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\nevent\toccurrences\tobservations\tmedian\t99 of 100\tlast")
	if len(r.startTimes) > 0 {
		writeTimes(w, "start to first configuration", len(r.startTimes), r.startTimes)
	}
	delays, occurrences := map[string][]time.Duration{}, map[string]int{}
	for key, s := range r.spreads {
		if len(s.times) < minObservers {
			continue
		}
		first := slices.MinFunc(s.times, time.Time.Compare)
		occurrences[key.event]++
		for _, at := range s.times {
			delays[key.event] = append(delays[key.event], at.Sub(first))
		}
	}
	for _, event := range slices.Sorted(maps.Keys(delays)) {
		writeTimes(w, event, occurrences[event], delays[event])
	}
}

func writeTimes(w io.Writer, event string, occurrences int, times []time.Duration) {
	slices.Sort(times)
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%v\t%v\t%v\n", event, occurrences, len(times), quantile(times, median).Round(timeResolution),
		quantile(times, percentile).Round(timeResolution), times[len(times)-1].Round(timeResolution))
}

func quantile(sorted []time.Duration, fraction float64) time.Duration {
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// rate returns an amount per second of the process's uptime.
func rate(p *process, amount float64) float64 {
	if p.uptime <= 0 {
		return 0
	}
	return amount / p.uptime.Seconds()
}

func sum(frames map[string]traffic) traffic {
	total := traffic{}
	for _, t := range frames {
		total.frames += t.frames
		total.bytes += t.bytes
	}
	return total
}

func mean(group []*process, value func(*process) float64) float64 {
	total := 0.0
	for _, p := range group {
		total += value(p)
	}
	return total / float64(max(len(group), 1))
}

// summarize returns the median and the largest value.
func summarize(group []*process, value func(*process) float64) (middle, most float64) {
	values := []float64{}
	for _, p := range group {
		values = append(values, value(p))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], values[len(values)-1]
}
