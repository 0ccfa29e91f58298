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

// defaultProc is where the kernel shows processes.
const defaultProc = "/proc"

// Options says what to record.
type Options struct {
	// Proc is a directory laid out as /proc; empty stands for that.
	Proc      string
	Processes []Process
	// Addresses serve expvar pages; Keys are read from each of them.
	Addresses []netip.AddrPort
	Keys      []scene.MetricKey
	Every     time.Duration
	// For ends the recording; 0: it goes on until the context ends.
	For time.Duration
}

// Sampler writes samples as tidy CSV.
type Sampler struct {
	options Options
	reader  *gauge.Reader
	writer  *csv.Writer
}

// NewSampler returns a sampler that writes to w.
func NewSampler(options Options, w io.Writer) *Sampler {
	if options.Proc == "" {
		options.Proc = defaultProc
	}
	return &Sampler{options: options, reader: gauge.NewReader(), writer: csv.NewWriter(w)}
}

// Record samples at once and then at each interval. The end of ctx is the usual end and no error.
func (s *Sampler) Record(ctx context.Context) error {
	start := time.Now()
	s.put("seconds", "process", "pid", "metric", "value", "unit")
	ticker := time.NewTicker(s.options.Every)
	defer ticker.Stop()
	for {
		if err := s.sample(ctx, time.Since(start)); err != nil {
			return err
		}
		if s.options.For > 0 && time.Since(start)+s.options.Every > s.options.For {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// sample writes one sample of everything and flushes it, so that a killed sampler loses none.
func (s *Sampler) sample(ctx context.Context, offset time.Duration) error {
	at := strconv.FormatFloat(offset.Seconds(), 'f', 3, 64)
	for _, p := range s.options.Processes {
		s.sampleProcess(at, p)
	}
	for _, address := range s.options.Addresses {
		s.samplePage(ctx, at, address)
	}
	s.writer.Flush()
	return ErrSample.Wrap(s.writer.Error())
}

// sampleProcess writes what a process has used; one that is gone has only its mark.
func (s *Sampler) sampleProcess(at string, p Process) {
	pid := strconv.Itoa(p.PID)
	u, err := ReadUsage(s.options.Proc, p.PID)
	if err != nil {
		s.put(at, p.Name, pid, "alive", "0", "bool")
		return
	}
	s.put(at, p.Name, pid, "alive", "1", "bool")
	s.put(at, p.Name, pid, "processor", strconv.FormatFloat(u.Processor.Seconds(), 'f', 2, 64), "s")
	s.put(at, p.Name, pid, "resident", strconv.FormatInt(u.Resident, 10), "bytes")
	s.put(at, p.Name, pid, "resident-peak", strconv.FormatInt(u.Peak, 10), "bytes")
}

// samplePage writes the wanted figures of one expvar page.
func (s *Sampler) samplePage(ctx context.Context, at string, address netip.AddrPort) {
	page, err := s.reader.Read(ctx, address)
	if err != nil {
		s.put(at, address.String(), "", "alive", "0", "bool")
		return
	}
	s.put(at, address.String(), "", "alive", "1", "bool")
	for _, key := range s.options.Keys {
		found := page.Find(key.Path)
		if len(found) == 0 {
			s.put(at, address.String(), "", key.Name, "not-available", key.Unit)
		}
		for _, name := range slices.Sorted(maps.Keys(found)) {
			metric := key.Name
			if name != "" {
				metric += "/" + name
			}
			s.put(at, address.String(), "", metric, strconv.FormatFloat(found[name], 'f', -1, 64), key.Unit)
		}
	}
}

// put writes one record; the writer keeps its first error for the flush.
func (s *Sampler) put(fields ...string) {
	_ = s.writer.Write(fields)
}
