package cause

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	median    = 0.5
	ninetieth = 0.9
	// timeResolution is what times in the tables are rounded to.
	timeResolution = time.Millisecond
)

// Write prints the tables: times to the first event by route, stages, calls by window, and
// failed requests by reason.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	r.writeFirstEvents(w)
	r.writeStages(w)
	r.writeCalls(w)
	r.writeFailures(w)
	return ErrCause.Wrap(w.Flush())
}

func (r *Report) writeFirstEvents(w io.Writer) {
	_, _ = fmt.Fprintln(w, "route\tbegun\tmedian\tnine tenths")
	for _, route := range slices.Sorted(maps.Keys(r.firstEventTimes)) {
		took := r.firstEventTimes[route]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%v\t%v\n", route, len(took), quantile(took, median).Round(timeResolution), quantile(took, ninetieth).Round(timeResolution))
	}
}

func (r *Report) writeStages(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\nservice\tstage\troute\tmade\tmedian\tnine tenths\tnot made")
	keys := slices.Collect(maps.Keys(r.stageTimes))
	for key := range r.notProduced {
		if r.stageTimes[key] == nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b stageKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.route, b.route), cmp.Compare(a.stage, b.stage))
	})
	for _, key := range keys {
		took := r.stageTimes[key]
		medianTook, ninetiethTook := time.Duration(0), time.Duration(0)
		if len(took) > 0 {
			medianTook, ninetiethTook = quantile(took, median), quantile(took, ninetieth)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%v\t%d\n", key.service, key.stage, key.route, len(took),
			medianTook.Round(timeResolution), ninetiethTook.Round(timeResolution), r.notProduced[key])
	}
}

func (r *Report) writeCalls(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\nservice\tfrom\tcalls\titems a call\ttook\twaiting\tmost\tservers\tbusy\trefused\tbroken")
	keys := slices.SortedFunc(maps.Keys(r.windows), func(a, b windowKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), a.start.Compare(b.start))
	})
	for _, key := range keys {
		c := r.windows[key]
		n := float64(c.calls)
		// The column "busy" is the mean number of servers at work: the total duration of the calls
		// divided by the length of the window.
		_, _ = fmt.Fprintf(w, "%s\t%v\t%d\t%.1f\t%v\t%.1f\t%d\t%d\t%.1f\t%d\t%d\n", key.service, key.start.Sub(r.start), c.calls,
			float64(c.items)/n, (c.took / time.Duration(c.calls)).Round(timeResolution), float64(c.waiting)/n, c.maxWaiting, len(c.servers),
			c.took.Seconds()/r.window.Seconds(), c.refused, c.broken)
	}
}

func (r *Report) writeFailures(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\nnot served\troute\twhy")
	keys := slices.SortedFunc(maps.Keys(r.failures), func(a, b [2]string) int {
		return cmp.Or(cmp.Compare(r.failures[b], r.failures[a]), cmp.Compare(a[0]+a[1], b[0]+b[1]))
	})
	for _, key := range keys {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\n", r.failures[key], key[0], key[1])
	}
}
