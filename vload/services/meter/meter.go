// Package meter measures processes over a window and appends one record to a CSV file.
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

// Target is one process to measure.
type Target struct {
	PID int
	// Metrics serves its expvar page.
	Metrics netip.AddrPort
}

// Options say what to measure.
type Options struct {
	// Proc is a directory laid out as /proc.
	Proc    string
	Targets []Target
	// Store and List are control addresses of the platform's stand-ins; not valid: not read.
	Store netip.AddrPort
	List  netip.AddrPort
	For   time.Duration
	// Given are the columns that the caller sets, such as peers=30.
	Given []Column
}

// Column is a named figure of a record.
type Column struct {
	Name  string
	Value float64
}

// state is what has been used up to a moment.
type state struct {
	at       time.Time
	bytes    float64
	resident float64
	figures  map[string]float64
	store    calls
	list     calls
}

// calls are the counts of a stand-in's control address.
type calls struct {
	Calls map[string]float64 `json:"calls"`
	Open  map[string]float64 `json:"open"`
}

// figurePaths are the expvar figures that only grow, by column.
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

// Meter measures.
type Meter struct {
	options Options
	pages   *gauge.Reader
	client  *http.Client
}

// NewMeter returns a meter.
func NewMeter(options Options) *Meter {
	if options.Proc == "" {
		options.Proc = "/proc"
	}
	return &Meter{options: options, pages: gauge.NewReader(), client: &http.Client{Timeout: callTimeout}}
}

// Measure waits for the window and returns the record of the mean process.
func (m *Meter) Measure(ctx context.Context) ([]Column, error) {
	before, err := m.read(ctx, m.readPage, m.readProc)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ErrMeter.Wrap(ctx.Err())
	case <-time.After(m.options.For):
	}
	after, err := m.read(ctx, m.readProc, m.readPage)
	if err != nil {
		return nil, err
	}
	return append(slices.Clone(m.options.Given), m.compare(before, after)...), nil
}

// source reads one kind of figure of a target into the state.
type source func(ctx context.Context, s *state, target Target) error

// read takes the sources in their order: before the window the page goes
// first and after it last, so that the bytes of the page itself are left out.
func (m *Meter) read(ctx context.Context, sources ...source) (*state, error) {
	s := &state{at: time.Now(), figures: map[string]float64{}}
	for _, read := range sources {
		for _, target := range m.options.Targets {
			if err := read(ctx, s, target); err != nil {
				return nil, err
			}
		}
	}
	return s, errors.Join(m.readCalls(ctx, m.options.Store, &s.store), m.readCalls(ctx, m.options.List, &s.list))
}

func (m *Meter) readProc(_ context.Context, s *state, target Target) error {
	usage, err := sample.ReadUsage(m.options.Proc, target.PID)
	if err != nil {
		return err
	}
	moved, err := sample.ReadMoved(m.options.Proc, target.PID)
	s.resident += float64(usage.Resident)
	s.bytes += float64(moved)
	return err
}

func (m *Meter) readPage(ctx context.Context, s *state, target Target) error {
	page, err := m.pages.Read(ctx, target.Metrics)
	if err != nil {
		return err
	}
	for name, path := range figurePaths() {
		s.figures[name] += page.Find(path)[""]
	}
	return nil
}

func (m *Meter) readCalls(ctx context.Context, address netip.AddrPort, into *calls) error {
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
	return ErrMeter.Wrap(json.NewDecoder(response.Body).Decode(into))
}

// compare returns the columns of the window, for the mean of the targets.
func (m *Meter) compare(before, after *state) []Column {
	seconds := after.at.Sub(before.at).Seconds()
	count := float64(max(1, len(m.options.Targets)))
	rate := func(name string) float64 { return (after.figures[name] - before.figures[name]) / seconds / count }
	grown := func(name string) float64 { return (after.figures[name] - before.figures[name]) / count }
	return []Column{
		{"seconds", seconds},
		{"core-percent", rate("process-seconds") * percent},
		{"resident-mb", after.resident / count / megabyte},
		{"bytes-per-second", (after.bytes - before.bytes) / seconds / count},
		{"busy-percent", rate("busy-percent") * percent},
		{"adopting-percent", rate("adopting-percent") * percent},
		{"beats-per-second", rate("beats-per-second") + rate("heard-per-second")},
		{"lists-per-second", rate("lists-per-second")},
		{"tokens-per-second", rate("tokens-per-second")},
		{"calls-per-second", rate("calls-per-second")},
		{"own-store-calls-per-second", rate("store-reads") + rate("store-watches")},
		{"adopted", grown("adopted-total")},
		{"fetched-bytes", grown("fetched-bytes")},
		{"from-peer", grown("from-peer-total")},
		{"from-store", grown("from-store-total")},
		{"store-reads-per-second", (after.store.Calls["read"] - before.store.Calls["read"]) / seconds},
		{"store-writes-per-second", (after.store.Calls["write"] - before.store.Calls["write"]) / seconds},
		{"store-watches-per-second", (after.store.Calls["watch"] - before.store.Calls["watch"]) / seconds},
		{"watches-open", after.store.Open["watch"]},
		{"list-reads-per-second", (after.list.Calls["read"] - before.list.Calls["read"]) / seconds},
		{"machine-load", m.readLoad()},
	}
}

// readLoad returns the machine's load of the last minute, which tells a
// disturbed window from a quiet one; 0 where the system does not tell it.
func (m *Meter) readLoad() float64 {
	text, err := os.ReadFile(filepath.Join(m.options.Proc, "loadavg"))
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// Append adds a record to a CSV file, with a header where the file is new.
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
		_ = writer.Write(names(record))
	}
	_ = writer.Write(values(record))
	writer.Flush()
	return ErrMeter.Wrap(errors.Join(writer.Error(), out.Close()))
}

func names(record []Column) []string {
	all := make([]string, 0, len(record))
	for _, c := range record {
		all = append(all, c.Name)
	}
	return all
}

func values(record []Column) []string {
	const digits = 6
	all := make([]string, 0, len(record))
	for _, c := range record {
		all = append(all, strconv.FormatFloat(c.Value, 'g', digits, 64))
	}
	return all
}
