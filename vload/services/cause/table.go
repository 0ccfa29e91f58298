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
	median  = 0.5
	slowest = 0.9
	// shown rounds times in the tables.
	shown = time.Millisecond
)

// Write prints the tables: requests until their first event, stages, calls by window,
// and what was not served.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	r.writeBegun(w)
	r.writeStages(w)
	r.writeCalls(w)
	r.writeFailed(w)
	return ErrCause.Wrap(w.Flush())
}

func (r *Report) writeBegun(w io.Writer) {
	_, _ = fmt.Fprintln(w, "route\tbegun\tmedian\tnine tenths")
	for _, route := range slices.Sorted(maps.Keys(r.begun)) {
		took := r.begun[route]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%v\t%v\n", route, len(took), part(took, median).Round(shown), part(took, slowest).Round(shown))
	}
}

func (r *Report) writeStages(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\nservice\tstage\troute\tmade\tmedian\tnine tenths\tnot made")
	keys := slices.Collect(maps.Keys(r.stages))
	for key := range r.unmade {
		if r.stages[key] == nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b stageKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.route, b.route), cmp.Compare(a.stage, b.stage))
	})
	for _, key := range keys {
		took := r.stages[key]
		middle, slow := time.Duration(0), time.Duration(0)
		if len(took) > 0 {
			middle, slow = part(took, median), part(took, slowest)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%v\t%d\n", key.service, key.stage, key.route, len(took),
			middle.Round(shown), slow.Round(shown), r.unmade[key])
	}
}

func (r *Report) writeCalls(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\nservice\tfrom\tcalls\titems a call\ttook\twaiting\tmost\tservers\tbusy\trefused\tbroken")
	keys := slices.SortedFunc(maps.Keys(r.windows), func(a, b windowKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), a.begins.Compare(b.begins))
	})
	for _, key := range keys {
		c := r.windows[key]
		n := float64(c.calls)
		// Busy is how many servers were at work on the average.
		_, _ = fmt.Fprintf(w, "%s\t%v\t%d\t%.1f\t%v\t%.1f\t%d\t%d\t%.1f\t%d\t%d\n", key.service, key.begins.Sub(r.begins), c.calls,
			float64(c.items)/n, (c.took / time.Duration(c.calls)).Round(shown), float64(c.waiting)/n, c.most, len(c.servers),
			c.took.Seconds()/r.window.Seconds(), c.refused, c.broken)
	}
}

func (r *Report) writeFailed(w io.Writer) {
	_, _ = fmt.Fprintln(w, "\nnot served\troute\twhy")
	keys := slices.SortedFunc(maps.Keys(r.failed), func(a, b [2]string) int {
		return cmp.Or(cmp.Compare(r.failed[b], r.failed[a]), cmp.Compare(a[0]+a[1], b[0]+b[1]))
	})
	for _, key := range keys {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\n", r.failed[key], key[0], key[1])
	}
}
