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

// benchTokens is the length of a streamed answer in the benchmarks.
const benchTokens = 67

// answerText is a whole stream of benchTokens tokens.
func answerText() string {
	return strings.Repeat("data: {\"text\":\"soundboard \"}\n\n", benchTokens) +
		"event: end\ndata: {\"code\":0,\"name\":\"ok\",\"outcome\":\"ran\"}\n\n"
}

// BenchmarkSSE measures the library's reading of a stream.
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

// BenchmarkLines measures the least that own code would cost: lines, without events.
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

// BenchmarkFlushedTokens offers the same load to a server that sends each token by itself,
// 10 ms after the last, as an engine does: some 2,000 streams at once.
func BenchmarkFlushedTokens(b *testing.B) {
	const interval = 10 * time.Millisecond
	s := serve(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for range benchTokens {
			<-ticker.C
			writef(w, "data: {\"text\":\"soundboard \"}\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		end(w, 0)
	})
	benchmarkLoad(b, s)
}

// BenchmarkOpenLoop offers 3,000 requests and some 200,000 tokens a second to a server in
// the same process, and reports what came back and how late the requests left.
func BenchmarkOpenLoop(b *testing.B) {
	text := []byte(answerText())
	s := serve(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write(text)
	})
	benchmarkLoad(b, s)
}

// benchmarkLoad offers the load of the target to a server.
func benchmarkLoad(b *testing.B, s *scene.Scenario) {
	s.MaxInFlight = 10000
	s.Phases[0].Rate = 3000
	s.Phases[0].Arrivals = scene.ArrivalsPoisson
	s.Phases[0].Duration = config.Duration(2 * time.Second)
	s.Classes[0].ExpectTokens = benchTokens
	s.Classes[0].Prompt.Words = 200
	for b.Loop() {
		before := processorTime(b)
		f := load(b, s)
		used := processorTime(b) - before
		b.ReportMetric(used.Seconds()/s.Phases[0].Duration.Value().Seconds(), "cores-with-server")
		b.ReportMetric(float64(f["requests-per-second"]), "requests/s")
		b.ReportMetric(float64(f["tokens-per-second"]), "tokens/s")
		b.ReportMetric(float64(f["send-lag-p99"]), "send-lag-p99-ms")
		b.ReportMetric(float64(f["offered"]-f["attained"]), "missed")
		b.ReportMetric(float64(f["between-tokens-p99"]), "between-tokens-p99-ms")
	}
}

// processorTime returns what this process, load and server together, has used.
func processorTime(b *testing.B) time.Duration {
	usage, err := sample.ReadUsage("/proc", os.Getpid())
	if err != nil {
		b.Fatal(err)
	}
	return usage.Processor
}
