package engine_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio/logging"

	"verbenaroad.example/fakes/services/engine"
)

// reader requests a stream over a plain TCP connection and discards the answer, so that the caller
// uses as little as possible of the measured CPU time.
type reader struct {
	connection net.Conn
	done       chan struct{}
	tail       []byte
}

func (r *reader) run() {
	defer close(r.done)
	buffer := make([]byte, 64<<10)
	end := []byte("[DONE]\n\n\r\n0\r\n\r\n")
	for !bytes.HasSuffix(r.tail, end) {
		n, err := r.connection.Read(buffer)
		if err != nil {
			return
		}
		r.tail = append(r.tail, buffer[:n]...)
		r.tail = append([]byte{}, r.tail[max(0, len(r.tail)-len(end)):]...)
	}
}

func startReader(b *testing.B, s *testEngine, tokens int) *reader {
	b.Helper()
	connection, err := net.Dial("tcp", s.server.Address().String())
	if err != nil {
		b.Fatal(err)
	}
	body, err := json.Marshal(engine.Completion{Model: "model", Prompt: "build manual", MaxTokens: tokens, Stream: true})
	if err != nil {
		b.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://engine/v1/completions", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	if err := request.Write(connection); err != nil {
		b.Fatal(err)
	}
	r := &reader{connection: connection, done: make(chan struct{})}
	go r.run()
	return r
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkEmit measures the CPU time per token of the engine and the reader together. b.N is the
// number of tokens of each stream; run it with a fixed count, for example -benchtime=250x.
func BenchmarkEmit(b *testing.B) {
	logging.SetLevel(logging.LevelNone)
	for _, streams := range []int{32, 256} {
		for _, interval := range []time.Duration{20 * time.Millisecond, 5 * time.Millisecond, time.Millisecond} {
			b.Run(fmt.Sprintf("streams=%d/interval=%s", streams, interval), func(b *testing.B) {
				s := newTestEngine(b, engine.Options{Slots: streams, TokenInterval: interval})
				before := cpuTime(b)
				readers := []*reader{}
				for range streams {
					readers = append(readers, startReader(b, s, b.N))
				}
				for _, r := range readers {
					<-r.done
					_ = r.connection.Close()
				}
				tokens := float64(b.N * streams)
				spent := cpuTime(b) - before
				b.ReportMetric(tokens/spent.Seconds(), "tokens/core-s")
				b.ReportMetric(tokens/b.Elapsed().Seconds(), "tokens/s")
			})
		}
	}
}
