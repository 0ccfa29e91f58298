package spans_test

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/attribute"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"verbenaroad.example/share/modules/spans"
)

// fakeCollector is an OTLP collector that stores the spans that it receives.
type fakeCollector struct {
	lock  sync.Mutex
	paths []string
	spans []*trace.Span
}

func (s *fakeCollector) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var body io.Reader = q.Body
	if q.Header.Get("Content-Encoding") == "gzip" {
		body, _ = gzip.NewReader(q.Body)
	}
	data, _ := io.ReadAll(body)
	request := &collector.ExportTraceServiceRequest{}
	if err := proto.Unmarshal(data, request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.paths = append(s.paths, q.URL.Path)
	for _, resource := range request.GetResourceSpans() {
		for _, scope := range resource.GetScopeSpans() {
			s.spans = append(s.spans, scope.GetSpans()...)
		}
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
}

// Guards against separate traces when two processes export the spans of one request. The collector
// must receive one trace in which the agent's span is a child of the entry's.
func TestProcessesExportOneTrace(t *testing.T) {
	is := is.New(t)
	s := &fakeCollector{}
	server := httptest.NewServer(s)
	defer server.Close()
	options := spans.Options{Program: "entry", Instance: "entry-1", Collector: netip.MustParseAddrPort(server.Listener.Addr().String()), SampleRatio: 1}
	entry, err := spans.NewTracer(t.Context(), options)
	is.NoErr(err)
	options.Program = "agent"
	agent, err := spans.NewTracer(t.Context(), options)
	is.NoErr(err)

	ctx, outer := entry.Start(t.Context(), "entry.stage", attribute.String("request-id", "r1"))
	traceparent := entry.Inject(ctx)
	_, inner := agent.Start(agent.Extract(t.Context(), traceparent), "agent.call")
	inner.End()
	outer.End()
	is.NoErr(agent.Close(t.Context()))
	is.NoErr(entry.Close(t.Context()))

	is.Equal(len(s.spans), 2)
	is.Equal(s.paths[0], "/v1/traces")
	is.Equal(s.spans[0].GetName(), "agent.call")
	is.Equal(s.spans[0].GetTraceId(), s.spans[1].GetTraceId())
	is.Equal(s.spans[0].GetParentSpanId(), s.spans[1].GetSpanId())
	is.Equal(s.spans[1].GetAttributes()[0].GetValue().GetStringValue(), "r1")
}

// Guards against recording a trace that the sample ratio or the caller's traceparent excludes, or
// missing one that they include.
func TestSampleRatioAndFile(t *testing.T) {
	tests := []struct {
		name  string
		ratio float64
		// traceparent is that of the caller, which decides whether its trace is recorded.
		traceparent string
		want        int
	}{
		{"all", 1, "", 1},
		{"none", 0, "", 0},
		{"none, but the caller records the trace", 0, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", 1},
		{"all, but the caller does not record the trace", 1, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", 0},
		{"invalid traceparent", 1, "nonsense", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "spans")
			tracer, err := spans.NewTracer(t.Context(), spans.Options{Program: "entry", File: file, SampleRatio: tt.ratio})
			is.NoErr(err)
			_, span := tracer.Start(tracer.Extract(t.Context(), tt.traceparent), "entry.request")
			span.End()
			is.NoErr(tracer.Close(t.Context()))
			text, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(strings.Count(string(text), "entry.request"), tt.want)
		})
	}
}

// Guards against failing requests while the collector is down. Only their spans may be lost.
func TestCollectorDown(t *testing.T) {
	is := is.New(t)
	tracer, err := spans.NewTracer(t.Context(), spans.Options{Collector: netip.MustParseAddrPort("127.0.0.1:1"), SampleRatio: 1})
	is.NoErr(err)
	_, span := tracer.Start(t.Context(), "entry.request")
	span.End()
	_ = tracer.Close(t.Context())
}
