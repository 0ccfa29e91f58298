package runner_test

import (
	"bufio"
	"bytes"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tmaxmax/go-sse"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/vload/models/scene"
	"verbenaroad.example/vload/services/sample"
)

// benchTokens is the number of tokens of a streamed answer in the benchmarks.
const benchTokens = 67

// answerText returns a complete stream of benchTokens tokens.
func answerText() string {
	return strings.Repeat("data: {\"text\":\"soundboard \"}\n\n", benchTokens) +
		"event: end\ndata: {\"code\":0,\"name\":\"ok\",\"outcome\":\"ran\"}\n\n"
}

// BenchmarkSSE measures how fast the SSE library reads a stream.
func BenchmarkSSE(b *testing.B) {
	text := answerText()
	b.ReportAllocs()
	for b.Loop() {
		events := 0
		for _, err := range sse.Read(strings.NewReader(text), nil) {
			if err != nil {
				b.Fatal(err)
			}
			events++
		}
		if events != benchTokens+1 {
			b.Fatal(events)
		}
	}
	b.ReportMetric(float64(b.N)*(benchTokens+1)/b.Elapsed().Seconds(), "events/s")
}

// BenchmarkLines measures a lower bound for a parser of our own: it splits lines but builds no
// events.
func BenchmarkLines(b *testing.B) {
	text := answerText()
	b.ReportAllocs()
	for b.Loop() {
		events := 0
		scanner := bufio.NewScanner(strings.NewReader(text))
		for scanner.Scan() {
			if bytes.HasPrefix(scanner.Bytes(), []byte("data:")) {
				events++
			}
		}
		if events != benchTokens+1 {
			b.Fatal(events)
		}
	}
	b.ReportMetric(float64(b.N)*(benchTokens+1)/b.Elapsed().Seconds(), "events/s")
}

// BenchmarkFlushedTokens offers the load of BenchmarkOpenLoop to a server that flushes each token
// separately, 10 ms after the previous one, as an engine does: about 2,000 concurrent streams.
func BenchmarkFlushedTokens(b *testing.B) {
	const interval = 10 * time.Millisecond
	s := newScenario(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for range benchTokens {
			<-ticker.C
			writef(w, "data: {\"text\":\"soundboard \"}\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		writeEnd(w, 0)
	})
	benchmarkLoad(b, s)
}

// BenchmarkOpenLoop offers 3,000 requests and about 200,000 tokens per second to a server in the
// same process, and reports the rates achieved and how late the requests were sent.
func BenchmarkOpenLoop(b *testing.B) {
	text := []byte(answerText())
	s := newScenario(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write(text)
	})
	benchmarkLoad(b, s)
}

// benchmarkLoad offers 3,000 requests per second to the server of the scenario and reports the
// figures.
func benchmarkLoad(b *testing.B, s *scene.Scenario) {
	s.MaxInFlight = 10000
	s.Phases[0].Rate = 3000
	s.Phases[0].Arrivals = scene.ArrivalsPoisson
	s.Phases[0].Duration = config.Duration(2 * time.Second)
	s.Classes[0].ExpectTokens = benchTokens
	s.Classes[0].Prompt.Words = 200
	for b.Loop() {
		before := processorTime(b)
		f := runScenario(b, s)
		used := processorTime(b) - before
		b.ReportMetric(used.Seconds()/s.Phases[0].Duration.Value().Seconds(), "cores-with-server")
		b.ReportMetric(float64(f["requests-per-second"]), "requests/s")
		b.ReportMetric(float64(f["tokens-per-second"]), "tokens/s")
		b.ReportMetric(float64(f["send-lag-p99"]), "send-lag-p99-ms")
		b.ReportMetric(float64(f["offered"]-f["attained"]), "missed")
		b.ReportMetric(float64(f["between-tokens-p99"]), "between-tokens-p99-ms")
	}
}

// processorTime returns the processor time used by this process, that is, by load tool and server
// together.
func processorTime(b *testing.B) time.Duration {
	usage, err := sample.ReadUsage("/proc", os.Getpid())
	if err != nil {
		b.Fatal(err)
	}
	return usage.CPUTime
}
