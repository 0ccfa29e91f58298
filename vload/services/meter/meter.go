// Package meter measures processes over a time window and appends one record to a CSV file.
package meter

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/vload/services/gauge"
	"verbenaroad.example/vload/services/sample"
)

// ErrMeter is the class of errors of this package.
var ErrMeter = errs.Class("meter") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	fileMode    = 0o644
	megabyte    = 1 << 20
	percent     = 100
	callTimeout = 5 * time.Second
)

// Target is a process to measure.
type Target struct {
	PID int
	// Metrics is the address of its expvar page.
	Metrics netip.AddrPort
}

// Options determine what to measure.
type Options struct {
	// Proc is a directory laid out as /proc, which is the default.
	Proc    string
	Targets []Target
	// Store and List are the control addresses of the fake key-value service and the fake instance
	// list. They are not read if they are unset.
	Store  netip.AddrPort
	List   netip.AddrPort
	Window time.Duration
	// ExtraColumns are put before the measured columns of each record, for example peers=30.
	ExtraColumns []Column
}

// Column is a named figure of a record.
type Column struct {
	Name  string
	Value float64
}

// snapshot holds the figures of the targets at a point in time, each summed over all targets, and
// the call counts of the fake services.
type snapshot struct {
	at            time.Time
	ioBytes       float64
	residentBytes float64
	figures       map[string]float64
	store         callCounts
	list          callCounts
}

// callCounts is what the control address of a fake service reports: calls by kind since its start,
// and calls that are open now.
type callCounts struct {
	Calls map[string]float64 `json:"calls"`
	Open  map[string]float64 `json:"open"`
}

// figurePaths returns the paths of the cumulative expvar figures by name.
func figurePaths() map[string]string {
	return map[string]string{
		"busy-percent":      "verbena/config/control-busy-seconds",
		"adopting-percent":  "verbena/config/adopting-seconds",
		"beats-per-second":  "verbena/config/beats-sent",
		"heard-per-second":  "verbena/config/beats-received",
		"lists-per-second":  "verbena/config/list-reads",
		"adopted-total":     "verbena/config/published",
		"fetched-bytes":     "verbena/config/fetched-bytes",
		"from-peer-total":   "verbena/config/fetched-from-peer",
		"from-store-total":  "verbena/config/fetched-from-store",
		"process-seconds":   "process/processor-seconds",
		"tokens-per-second": "verbena/tokens",
		"calls-per-second":  "verbena/calls",
		"store-reads":       "verbena/store/Reads",
		"store-watches":     "verbena/store/Watches",
	}
}

// Meter measures the targets of its options.
type Meter struct {
	options Options
	pages   *gauge.Reader
	client  *http.Client
}

// NewMeter returns a meter with these options.
func NewMeter(options Options) *Meter {
	if options.Proc == "" {
		options.Proc = "/proc"
	}
	return &Meter{options: options, pages: gauge.NewReader(), client: &http.Client{Timeout: callTimeout}}
}

// Measure takes snapshots before and after the window and returns the record of the window,
// averaged over the targets.
func (m *Meter) Measure(ctx context.Context) ([]Column, error) {
	before, err := m.read(ctx, m.readPage, m.readProc)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ErrMeter.Wrap(ctx.Err())
	case <-time.After(m.options.Window):
	}
	after, err := m.read(ctx, m.readProc, m.readPage)
	if err != nil {
		return nil, err
	}
	return append(slices.Clone(m.options.ExtraColumns), m.computeColumns(before, after)...), nil
}

// readFunc reads one kind of figure of a target and adds it to the snapshot.
type readFunc func(ctx context.Context, s *snapshot, target Target) error

// read takes a snapshot; it calls the functions in order, each for all targets. The expvar pages
// are read first before the window and last after it, so that the bytes of these reads are not
// measured.
func (m *Meter) read(ctx context.Context, reads ...readFunc) (*snapshot, error) {
	s := &snapshot{at: time.Now(), figures: map[string]float64{}}
	for _, read := range reads {
		for _, target := range m.options.Targets {
			if err := read(ctx, s, target); err != nil {
				return nil, err
			}
		}
	}
	return s, errors.Join(m.readCallCounts(ctx, m.options.Store, &s.store), m.readCallCounts(ctx, m.options.List, &s.list))
}

func (m *Meter) readProc(_ context.Context, s *snapshot, target Target) error {
	usage, err := sample.ReadUsage(m.options.Proc, target.PID)
	if err != nil {
		return err
	}
	ioBytes, err := sample.ReadIOBytes(m.options.Proc, target.PID)
	s.residentBytes += float64(usage.Resident)
	s.ioBytes += float64(ioBytes)
	return err
}

func (m *Meter) readPage(ctx context.Context, s *snapshot, target Target) error {
	page, err := m.pages.Read(ctx, target.Metrics)
	if err != nil {
		return err
	}
	for name, path := range figurePaths() {
		s.figures[name] += page.Find(path)[""]
	}
	return nil
}

func (m *Meter) readCallCounts(ctx context.Context, address netip.AddrPort, counts *callCounts) error {
	if !address.IsValid() {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/stats", http.NoBody)
	if err != nil {
		return ErrMeter.Wrap(err)
	}
	response, err := m.client.Do(request)
	if err != nil {
		return ErrMeter.Wrap(err)
	}
	defer response.Body.Close() //nolint:errcheck // nothing is left to read
	return ErrMeter.Wrap(json.NewDecoder(response.Body).Decode(counts))
}

// computeColumns returns the columns of the window. Figures of the targets are means over the
// targets.
func (m *Meter) computeColumns(before, after *snapshot) []Column {
	seconds := after.at.Sub(before.at).Seconds()
	count := float64(max(1, len(m.options.Targets)))
	rate := func(name string) float64 { return (after.figures[name] - before.figures[name]) / seconds / count }
	growth := func(name string) float64 { return (after.figures[name] - before.figures[name]) / count }
	return []Column{
		{"seconds", seconds},
		{"core-percent", rate("process-seconds") * percent},
		{"resident-mb", after.residentBytes / count / megabyte},
		{"bytes-per-second", (after.ioBytes - before.ioBytes) / seconds / count},
		{"busy-percent", rate("busy-percent") * percent},
		{"adopting-percent", rate("adopting-percent") * percent},
		{"beats-per-second", rate("beats-per-second") + rate("heard-per-second")},
		{"lists-per-second", rate("lists-per-second")},
		{"tokens-per-second", rate("tokens-per-second")},
		{"calls-per-second", rate("calls-per-second")},
		{"own-store-calls-per-second", rate("store-reads") + rate("store-watches")},
		{"adopted", growth("adopted-total")},
		{"fetched-bytes", growth("fetched-bytes")},
		{"from-peer", growth("from-peer-total")},
		{"from-store", growth("from-store-total")},
		{"store-reads-per-second", (after.store.Calls["read"] - before.store.Calls["read"]) / seconds},
		{"store-writes-per-second", (after.store.Calls["write"] - before.store.Calls["write"]) / seconds},
		{"store-watches-per-second", (after.store.Calls["watch"] - before.store.Calls["watch"]) / seconds},
		{"watches-open", after.store.Open["watch"]},
		{"list-reads-per-second", (after.list.Calls["read"] - before.list.Calls["read"]) / seconds},
		{"machine-load", m.readLoad()},
	}
}

// readLoad returns the machine's load average of the last minute, which shows whether other work
// disturbed the window. It returns 0 if the load average cannot be read.
func (m *Meter) readLoad() float64 {
	text, err := os.ReadFile(filepath.Join(m.options.Proc, "loadavg"))
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// Append appends a record to a CSV file and writes a header first if the file is empty.
func Append(file string, record []Column) error {
	out, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return ErrMeter.Wrap(err)
	}
	size, err := out.Seek(0, io.SeekEnd)
	if err != nil {
		return errors.Join(ErrMeter.Wrap(err), out.Close())
	}
	writer := csv.NewWriter(out)
	if size == 0 {
		_ = writer.Write(columnNames(record))
	}
	_ = writer.Write(columnValues(record))
	writer.Flush()
	return ErrMeter.Wrap(errors.Join(writer.Error(), out.Close()))
}

func columnNames(record []Column) []string {
	all := make([]string, 0, len(record))
	for _, c := range record {
		all = append(all, c.Name)
	}
	return all
}

func columnValues(record []Column) []string {
	const digits = 6
	all := make([]string, 0, len(record))
	for _, c := range record {
		all = append(all, strconv.FormatFloat(c.Value, 'g', digits, 64))
	}
	return all
}
