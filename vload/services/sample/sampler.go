package sample

import (
	"context"
	"encoding/csv"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"verbenaroad.example/vload/models/scene"
	"verbenaroad.example/vload/services/gauge"
)

// defaultProc is where Linux mounts the proc file system.
const defaultProc = "/proc"

// Options determine what to record.
type Options struct {
	// Proc is a directory laid out as /proc, which is the default.
	Proc      string
	Processes []Process
	// Addresses are those of the expvar pages; Keys are the figures read from each page.
	Addresses []netip.AddrPort
	Keys      []scene.MetricKey
	Interval  time.Duration
	// Duration is the length of the recording; if it is 0, the recording goes on until the context
	// is canceled.
	Duration time.Duration
}

// Sampler writes samples as CSV with one figure per row.
type Sampler struct {
	options Options
	pages   *gauge.Reader
	writer  *csv.Writer
}

// NewSampler returns a sampler that writes to w.
func NewSampler(options Options, w io.Writer) *Sampler {
	if options.Proc == "" {
		options.Proc = defaultProc
	}
	return &Sampler{options: options, pages: gauge.NewReader(), writer: csv.NewWriter(w)}
}

// Record takes a sample at once and then at each interval. It returns nil if ctx is canceled, which
// is the usual way to stop it.
func (s *Sampler) Record(ctx context.Context) error {
	start := time.Now()
	s.writeRow("seconds", "process", "pid", "metric", "value", "unit")
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for {
		if err := s.sample(ctx, time.Since(start)); err != nil {
			return err
		}
		if s.options.Duration > 0 && time.Since(start)+s.options.Interval > s.options.Duration {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// sample writes one sample of all processes and pages and flushes it, so that a sampler that is
// killed loses no sample that was taken.
func (s *Sampler) sample(ctx context.Context, offset time.Duration) error {
	seconds := strconv.FormatFloat(offset.Seconds(), 'f', 3, 64)
	for _, p := range s.options.Processes {
		s.sampleProcess(seconds, p)
	}
	for _, address := range s.options.Addresses {
		s.samplePage(ctx, seconds, address)
	}
	s.writer.Flush()
	return ErrSample.Wrap(s.writer.Error())
}

// sampleProcess writes the usage of a process. If the process is gone, it only writes alive = 0.
func (s *Sampler) sampleProcess(seconds string, p Process) {
	pid := strconv.Itoa(p.PID)
	u, err := ReadUsage(s.options.Proc, p.PID)
	if err != nil {
		s.writeRow(seconds, p.Name, pid, "alive", "0", "bool")
		return
	}
	s.writeRow(seconds, p.Name, pid, "alive", "1", "bool")
	s.writeRow(seconds, p.Name, pid, "processor", strconv.FormatFloat(u.CPUTime.Seconds(), 'f', 2, 64), "s")
	s.writeRow(seconds, p.Name, pid, "resident", strconv.FormatInt(u.Resident, 10), "bytes")
	s.writeRow(seconds, p.Name, pid, "resident-peak", strconv.FormatInt(u.Peak, 10), "bytes")
}

// samplePage writes the selected figures of one expvar page.
func (s *Sampler) samplePage(ctx context.Context, seconds string, address netip.AddrPort) {
	page, err := s.pages.Read(ctx, address)
	if err != nil {
		s.writeRow(seconds, address.String(), "", "alive", "0", "bool")
		return
	}
	s.writeRow(seconds, address.String(), "", "alive", "1", "bool")
	for _, key := range s.options.Keys {
		found := page.Find(key.Path)
		if len(found) == 0 {
			s.writeRow(seconds, address.String(), "", key.Name, "not-available", key.Unit)
		}
		for _, name := range slices.Sorted(maps.Keys(found)) {
			metric := key.Name
			if name != "" {
				metric += "/" + name
			}
			s.writeRow(seconds, address.String(), "", metric, strconv.FormatFloat(found[name], 'f', -1, 64), key.Unit)
		}
	}
}

// writeRow writes one CSV row. The writer keeps its first error, which sample returns after the
// flush.
func (s *Sampler) writeRow(fields ...string) {
	_ = s.writer.Write(fields)
}
