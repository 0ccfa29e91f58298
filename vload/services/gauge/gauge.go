// Package gauge reads figures from the expvar pages (/debug/vars) of processes.
package gauge

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/vload/models/report"
	"verbenaroad.example/vload/models/scene"
)

// ErrGauge is the class of errors of this package.
var ErrGauge = errs.Class("gauge") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// readTimeout limits the time for one page, so that a process that does not answer cannot block the
// run.
const readTimeout = 5 * time.Second

// Page holds the expvar variables of one process.
type Page map[string]any

// Reader reads expvar pages.
type Reader struct {
	client *http.Client
}

// NewReader returns a reader.
func NewReader() *Reader {
	return &Reader{client: &http.Client{Timeout: readTimeout}}
}

// Read fetches the page of the process at the address.
func (r *Reader) Read(ctx context.Context, address netip.AddrPort) (Page, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/debug/vars", http.NoBody)
	if err != nil {
		return nil, ErrGauge.Wrap(err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, ErrGauge.Wrap(err)
	}
	defer response.Body.Close() //nolint:errcheck // nothing is left to read
	if response.StatusCode != http.StatusOK {
		return nil, ErrGauge.New("%s: %s", address, response.Status)
	}
	page := Page{}
	return page, ErrGauge.Wrap(json.NewDecoder(response.Body).Decode(&page))
}

// ReadAll fetches the pages of all processes one after another. The page is nil if it cannot be
// read.
func (r *Reader) ReadAll(ctx context.Context, addresses []netip.AddrPort) []Page {
	pages := make([]Page, 0, len(addresses))
	for _, address := range addresses {
		page, err := r.Read(ctx, address)
		if err != nil {
			page = nil
		}
		pages = append(pages, page)
	}
	return pages
}

// Find returns the figures at a path, by name. A single figure has the empty name; a map of figures
// gives one for each of its keys.
func (p Page) Find(path string) map[string]float64 {
	var node any = map[string]any(p)
	for part := range strings.SplitSeq(path, "/") {
		object, ok := node.(map[string]any)
		if !ok {
			return nil
		}
		node = object[part]
	}
	switch value := node.(type) {
	case float64:
		return map[string]float64{"": value}
	case map[string]any:
		return figures(value)
	default:
		return nil
	}
}

// figures returns the members of a JSON object that are numbers.
func figures(object map[string]any) map[string]float64 {
	found := make(map[string]float64, len(object))
	for key, value := range object {
		if number, ok := value.(float64); ok {
			found[key] = number
		}
	}
	return found
}

// Rows returns the increase of each figure from before to after, summed over the processes. If the
// path of a figure is missing from any process, the figure is not available, because a partial sum
// would look like a total.
func Rows(keys []scene.MetricKey, before, after []Page, offered int64) []report.Row {
	var rows []report.Row
	for _, key := range keys {
		sums := increases(key.Path, before, after)
		for _, name := range slices.Sorted(maps.Keys(sums)) {
			metric := key.Name
			if name != "" {
				metric += "/" + name
			}
			rows = append(rows, report.Row{Class: "all", Metric: metric, Value: report.Figure(sums[name]), Unit: key.Unit})
			if key.PerOffered {
				rows = append(rows, perOffered(metric, sums[name], offered, key.Unit))
			}
		}
	}
	return rows
}

// perOffered returns a figure divided by the requests offered.
func perOffered(metric string, sum float64, offered int64, unit string) report.Row {
	value := report.NotAvailable()
	if offered > 0 {
		value = report.Figure(sum / float64(offered))
	}
	return report.Row{Class: "all", Metric: metric + "-per-offered", Value: value, Unit: unit + "/request"}
}

// increases returns the increase of each figure at the path, summed over the processes. A key of a
// map that is missing before the load counts as 0 there.
func increases(path string, before, after []Page) map[string]float64 {
	sums := make(map[string]float64)
	for i := range after {
		if before[i] == nil || after[i] == nil {
			return unavailable()
		}
		current := after[i].Find(path)
		if current == nil {
			return unavailable()
		}
		previous := before[i].Find(path)
		for name, value := range current {
			sums[name] += value - previous[name]
		}
	}
	if len(sums) == 0 {
		return unavailable()
	}
	return sums
}

// unavailable returns the result for a path that is missing from some process.
func unavailable() map[string]float64 {
	return map[string]float64{"": math.NaN()}
}
