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

// sink is a small OTLP collector.
type sink struct {
	lock  sync.Mutex
	paths []string
	spans []*trace.Span
}

func (s *sink) ServeHTTP(w http.ResponseWriter, q *http.Request) {
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

// Two processes export their hops of one request. The collector must see one
// trace, the agent's span below the entry's.
func TestHopsReachTheCollectorAsOneTrace(t *testing.T) {
	is := is.New(t)
	s := &sink{}
	listening := httptest.NewServer(s)
	defer listening.Close()
	options := spans.Options{Program: "entry", Instance: "entry-1", Collector: netip.MustParseAddrPort(listening.Listener.Addr().String()), Share: 1}
	entry, err := spans.NewTracer(t.Context(), options)
	is.NoErr(err)
	options.Program = "agent"
	agent, err := spans.NewTracer(t.Context(), options)
	is.NoErr(err)

	ctx, outer := entry.Start(t.Context(), "entry.stage", attribute.String("request-id", "r1"))
	carried := entry.Inject(ctx)
	_, inner := agent.Start(agent.Extract(t.Context(), carried), "agent.call")
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

func TestShareAndFile(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		// parent is a traceparent that asks for tracing or against it.
		parent string
		want   int
	}{
		{"all", 1, "", 1},
		{"none", 0, "", 0},
		{"none, but the caller asks", 0, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", 1},
		{"all, but the caller asks not to", 1, "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", 0},
		{"a parent that is none", 1, "nonsense", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "spans")
			tracer, err := spans.NewTracer(t.Context(), spans.Options{Program: "entry", File: file, Share: tt.share})
			is.NoErr(err)
			_, span := tracer.Start(tracer.Extract(t.Context(), tt.parent), "entry.request")
			span.End()
			is.NoErr(tracer.Close(t.Context()))
			text, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(strings.Count(string(text), "entry.request"), tt.want)
		})
	}
}

// A collector that is down must not fail a request, only lose its spans.
func TestCollectorDown(t *testing.T) {
	is := is.New(t)
	tracer, err := spans.NewTracer(t.Context(), spans.Options{Collector: netip.MustParseAddrPort("127.0.0.1:1"), Share: 1})
	is.NoErr(err)
	_, span := tracer.Start(t.Context(), "entry.request")
	span.End()
	_ = tracer.Close(t.Context())
}
