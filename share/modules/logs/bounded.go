package logs

import (
	"io"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxWaiting is how many lines may wait for a reader that is slow: about 2 MB.
	maxWaiting = 8192
	// perSecond is how many lines of one event are written in a second, so that one kind
	// of event cannot crowd out the others.
	perSecond = 200
)

// DropFunc is told of lines that were left out.
type DropFunc func(reason string, n int)

// Bounded is a logger's output that never blocks its writers.
type Bounded struct {
	lines   chan []byte
	output  io.Writer
	dropped atomic.Int64
	onDrop  DropFunc
	flushed chan chan struct{}
	level   zap.AtomicLevel
}

// NewBounded returns a logger whose lines are written by a loop of its own. A
// reader that stalls costs lines and not requests; at most perSecond lines of
// one event are written in a second, whatever the load, so what goes well, which is
// an event of its own, does not push out what failed.
func NewBounded(w io.Writer, level string, onDrop DropFunc) (*zap.Logger, *Bounded, error) {
	minimum, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, ErrLogs.Wrap(err)
	}
	b := &Bounded{
		lines:   make(chan []byte, maxWaiting),
		output:  w,
		onDrop:  onDrop,
		flushed: make(chan chan struct{}),
		level:   zap.NewAtomicLevelAt(minimum),
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(newEncoding()), b, b.level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, perSecond, 0, zapcore.SamplerHook(b.noteSampled))
	go b.loop()
	return zap.New(sampled), b, nil
}

func newEncoding() zapcore.EncoderConfig {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	encoding.MessageKey = "event"
	encoding.TimeKey = "time"
	return encoding
}

// SetLevel changes the least level that is written; an unknown one changes nothing.
func (b *Bounded) SetLevel(level string) {
	if minimum, err := zapcore.ParseLevel(level); err == nil {
		b.level.SetLevel(minimum)
	}
}

func (b *Bounded) noteSampled(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		b.drop("rate")
	}
}

func (b *Bounded) drop(reason string) {
	b.dropped.Add(1)
	b.onDrop(reason, 1)
}

// Write takes one line; where too many wait it is left out.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte{}, line...):
	default:
		b.drop("slow-reader")
	}
	return len(line), nil
}

// Sync is part of zapcore.WriteSyncer; lines are not waited for.
func (*Bounded) Sync() error { return nil }

// Flush waits until the lines so far are written, but not longer than the time.
func (b *Bounded) Flush(wait time.Duration) {
	done := make(chan struct{})
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case b.flushed <- done:
		<-done
	case <-timer.C:
	}
}

func (b *Bounded) loop() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		case <-ticker.C:
			b.tellDropped()
		case done := <-b.flushed:
			for len(b.lines) > 0 {
				b.write(<-b.lines)
			}
			close(done)
		}
	}
}

func (b *Bounded) write(line []byte) {
	_, _ = b.output.Write(line) // there is nowhere else to tell
}

func (b *Bounded) tellDropped() {
	n := b.dropped.Swap(0)
	if n == 0 {
		return
	}
	encoder := zaplogfmt.NewEncoder(newEncoding())
	line, err := encoder.EncodeEntry(zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "lines-dropped"},
		[]zapcore.Field{zap.Int64("lines", n)})
	if err != nil {
		return // the encoder takes every int64
	}
	b.write(line.Bytes())
	line.Free()
}
