// Package spans sets up tracing: one span for each hop, carried between
// processes as a W3C traceparent.
package spans

import (
	"context"
	"net/netip"
	"os"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// ErrSpans is the class of errors of this package.
var ErrSpans = errs.Class("spans") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const parentHeader = "traceparent"

// Options says where finished spans go.
type Options struct {
	// Program and Instance are written on every span.
	Program  string
	Instance string
	// File takes spans as JSON lines; empty: none.
	File string
	// Collector takes spans by OTLP over HTTP; the zero value: none.
	Collector netip.AddrPort
	// Share of new traces that are recorded.
	Share float64
}

// Tracer starts spans and carries their context between processes.
type Tracer struct {
	tracer     trace.Tracer
	provider   *sdktrace.TracerProvider
	file       *os.File
	propagator propagation.TraceContext
}

// NewTracer opens the exporters that the options name.
func NewTracer(ctx context.Context, options Options) (*Tracer, error) {
	t := &Tracer{}
	settings := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(options.Share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", options.Program),
			attribute.String("service.instance.id", options.Instance),
		)),
	}
	if options.File != "" {
		file, err := os.OpenFile(options.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, ErrSpans.Wrap(err)
		}
		t.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, ErrSpans.Wrap(err)
		}
		settings = append(settings, sdktrace.WithBatcher(exporter))
	}
	if options.Collector.IsValid() {
		exporter, err := otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(options.Collector.String()),
			otlptracehttp.WithInsecure(),
		)
		if err != nil {
			return nil, ErrSpans.Wrap(err)
		}
		settings = append(settings, sdktrace.WithBatcher(exporter))
	}
	if options.File == "" && !options.Collector.IsValid() {
		settings = append(settings, sdktrace.WithSampler(sdktrace.NeverSample()))
	}
	t.provider = sdktrace.NewTracerProvider(settings...)
	t.tracer = t.provider.Tracer(options.Program)
	return t, nil
}

// Start begins a span under the context's span.
func (t *Tracer) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// Inject returns the traceparent of the context's span; empty when there is none.
func (t *Tracer) Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	t.propagator.Inject(ctx, carrier)
	return carrier[parentHeader]
}

// Extract returns a context under the span that the traceparent names.
func (t *Tracer) Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return t.propagator.Extract(ctx, propagation.MapCarrier{parentHeader: parent})
}

// Close writes out what is left and closes the exporters.
func (t *Tracer) Close(ctx context.Context) error {
	var group errs.Group
	group.Add(t.provider.Shutdown(ctx))
	if t.file != nil {
		group.Add(t.file.Close())
	}
	return ErrSpans.Wrap(group.Err())
}
