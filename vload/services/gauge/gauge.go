// Package gauge reads figures from the expvar pages of processes.
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

// readTimeout bounds one page: a process that does not answer must not hold up the run.
const readTimeout = 5 * time.Second

// Page holds the variables of one process.
type Page map[string]any

// Reader reads expvar pages.
type Reader struct {
	client *http.Client
}

// NewReader returns a reader.
func NewReader() *Reader {
	return &Reader{client: &http.Client{Timeout: readTimeout}}
}

// Read fetches the page of one process.
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

// ReadAll fetches all pages; the page of a process that does not answer is nil.
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

// Find returns the figures at a path: one under the empty name, or one for each key of a map of figures.
func (p Page) Find(path string) map[string]float64 {
	var at any = map[string]any(p)
	for part := range strings.SplitSeq(path, "/") {
		object, ok := at.(map[string]any)
		if !ok {
			return nil
		}
		at = object[part]
	}
	switch value := at.(type) {
	case float64:
		return map[string]float64{"": value}
	case map[string]any:
		return figures(value)
	default:
		return nil
	}
}

// figures returns the members of an object that are numbers.
func figures(object map[string]any) map[string]float64 {
	found := make(map[string]float64, len(object))
	for key, value := range object {
		if number, ok := value.(float64); ok {
			found[key] = number
		}
	}
	return found
}

// Rows returns for each key the growth from before to after, summed over the processes.
// A figure that any process lacks is not available: a sum over some of them would pass for the whole.
func Rows(keys []scene.MetricKey, before, after []Page, offered int64) []report.Row {
	var rows []report.Row
	for _, key := range keys {
		sums := growth(key.Path, before, after)
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

// growth sums the differences at one path; a key that first shows afterwards started from 0.
func growth(path string, before, after []Page) map[string]float64 {
	sums := make(map[string]float64)
	for i := range after {
		if before[i] == nil || after[i] == nil {
			return unavailable()
		}
		last := after[i].Find(path)
		if last == nil {
			return unavailable()
		}
		first := before[i].Find(path)
		for name, value := range last {
			sums[name] += value - first[name]
		}
	}
	if len(sums) == 0 {
		return unavailable()
	}
	return sums
}

// unavailable stands for a path that some process lacks.
func unavailable() map[string]float64 {
	return map[string]float64{"": math.NaN()}
}
