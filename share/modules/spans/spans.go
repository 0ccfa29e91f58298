// Package spans sets up tracing. Each hop of a request has one span; its context travels between
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

// traceparentKey is the key of the W3C traceparent in a propagation carrier.
const traceparentKey = "traceparent"

// Options configure a Tracer.
type Options struct {
	// Program and Instance are the service.name and service.instance.id of every span.
	Program  string
	Instance string
	// File is the file to which finished spans are appended as JSON lines; empty: none.
	File string
	// Collector is the address that receives spans by OTLP over HTTP; the zero value: none.
	Collector netip.AddrPort
	// SampleRatio is the share of new traces that are recorded, from 0 to 1. A trace that another
	// process started is recorded if that process records it.
	SampleRatio float64
}

// Tracer starts spans and passes their context between processes.
type Tracer struct {
	tracer     trace.Tracer
	provider   *sdktrace.TracerProvider
	file       *os.File
	propagator propagation.TraceContext
}

// NewTracer returns a tracer with the exporters that options name. Without exporters it records
// nothing.
func NewTracer(ctx context.Context, options Options) (*Tracer, error) {
	t := &Tracer{}
	providerOptions := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(options.SampleRatio))),
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
		providerOptions = append(providerOptions, sdktrace.WithBatcher(exporter))
	}
	if options.Collector.IsValid() {
		exporter, err := otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(options.Collector.String()),
			otlptracehttp.WithInsecure(),
		)
		if err != nil {
			return nil, ErrSpans.Wrap(err)
		}
		providerOptions = append(providerOptions, sdktrace.WithBatcher(exporter))
	}
	if options.File == "" && !options.Collector.IsValid() {
		providerOptions = append(providerOptions, sdktrace.WithSampler(sdktrace.NeverSample()))
	}
	t.provider = sdktrace.NewTracerProvider(providerOptions...)
	t.tracer = t.provider.Tracer(options.Program)
	return t, nil
}

// Start starts a span as a child of the span in ctx.
func (t *Tracer) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// Inject returns the traceparent of the span in ctx, or an empty string if there is none.
func (t *Tracer) Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	t.propagator.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

// Extract returns a context whose span is the one that the traceparent identifies.
func (t *Tracer) Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return t.propagator.Extract(ctx, propagation.MapCarrier{traceparentKey: traceparent})
}

// Close exports the remaining spans and closes the exporters.
func (t *Tracer) Close(ctx context.Context) error {
	var group errs.Group
	group.Add(t.provider.Shutdown(ctx))
	if t.file != nil {
		group.Add(t.file.Close())
	}
	return ErrSpans.Wrap(group.Err())
}
