package link_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

// processorTime returns the processor time that this process has used. Wall-clock times vary too
// much on a shared machine.
func processorTime() time.Duration {
	usage := syscall.Rusage{}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func dialPeer(b *testing.B) *link.Session {
	b.Helper()
	p := newPeer(b, newOptions("agent-1"))
	s, err := link.Dial(context.Background(), p.address(), newOptions("entry-1"))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Close() })
	return s
}

// BenchmarkCall measures a call on a new stream: opening it, one frame out and one frame back. Both
// ends run in this process.
func BenchmarkCall(b *testing.B) {
	s := dialPeer(b)
	body := make([]byte, callBytes)
	start := processorTime()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			stream, err := s.Open()
			if err != nil {
				b.Error(err)
				return
			}
			_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Part{Part: &wire.Part{Data: body}}})
			_, err = wire.NewReader(stream).Next()
			if err != nil {
				b.Error(err)
			}
			_ = stream.Close()
		}
	})
	b.ReportMetric(float64((processorTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkPooledCall measures the same calls on streams that are reused.
func BenchmarkPooledCall(b *testing.B) {
	s := dialPeer(b)
	body := make([]byte, callBytes)
	start := processorTime()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			stream, err := s.TakeStream()
			if err != nil {
				b.Error(err)
				return
			}
			_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Part{Part: &wire.Part{Data: body}}})
			_, err = stream.Reader.Next()
			if err != nil {
				b.Error(err)
			}
			s.PutStream(stream)
		}
	})
	b.ReportMetric(float64((processorTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkParts measures small frames sent back and forth on many open streams, like the parts of
// streamed answers that carry tokens.
func BenchmarkParts(b *testing.B) {
	s := dialPeer(b)
	body := make([]byte, 100)
	start := processorTime()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		stream, err := s.Open()
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = stream.Close() }()
		reader := wire.NewReader(stream)
		for pb.Next() {
			_ = wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Part{Part: &wire.Part{Data: body}}})
			if _, err := reader.Next(); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64((processorTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
}
