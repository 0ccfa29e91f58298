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
	// maxQueuedLines is how many lines may wait for a slow reader, about 2 MB.
	maxQueuedLines = 8192
	// maxPerSecond is how many lines of one event are written per second, so that one event cannot
	// crowd out the others.
	maxPerSecond = 200
)

// DropFunc is called when n lines were dropped. The reason is slow-reader if too many lines waited
// to be written, or rate if one event was logged too often.
type DropFunc func(reason string, n int)

// AsyncWriter is the output of a logger. It queues lines and never blocks the code that logs.
type AsyncWriter struct {
	// lines queues the lines that loop writes.
	lines  chan []byte
	output io.Writer
	// dropped counts the lines dropped since the last lines-dropped event.
	dropped atomic.Int64
	onDrop  DropFunc
	// flushRequests takes channels that loop closes once the queued lines are written.
	flushRequests chan chan struct{}
	level         zap.AtomicLevel
}

// NewAsyncLogger returns a logger whose lines are written to w by a goroutine of its own, and the
// output of that logger. If the reader of w stalls, lines are dropped and requests are not delayed.
// At most maxPerSecond lines of one event are written per second, whatever the load. Successes and
// failures are different events, so that a high rate of successes does not displace the failures.
func NewAsyncLogger(w io.Writer, level string, onDrop DropFunc) (*zap.Logger, *AsyncWriter, error) {
	minimum, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, ErrLogs.Wrap(err)
	}
	b := &AsyncWriter{
		lines:         make(chan []byte, maxQueuedLines),
		output:        w,
		onDrop:        onDrop,
		flushRequests: make(chan chan struct{}),
		level:         zap.NewAtomicLevelAt(minimum),
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(newEncoderConfig()), b, b.level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, maxPerSecond, 0, zapcore.SamplerHook(b.onSampled))
	go b.loop()
	return zap.New(sampled), b, nil
}

func newEncoderConfig() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	config.MessageKey = "event"
	config.TimeKey = "time"
	return config
}

// SetLevel sets the lowest level that is written. It ignores an unknown level.
func (b *AsyncWriter) SetLevel(level string) {
	if minimum, err := zapcore.ParseLevel(level); err == nil {
		b.level.SetLevel(minimum)
	}
}

func (b *AsyncWriter) onSampled(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		b.drop("rate")
	}
}

func (b *AsyncWriter) drop(reason string) {
	b.dropped.Add(1)
	b.onDrop(reason, 1)
}

// Write queues a copy of line, or drops the line if maxQueuedLines lines are queued.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte{}, line...):
	default:
		b.drop("slow-reader")
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does not wait for queued lines; see Flush.
func (*AsyncWriter) Sync() error { return nil }

// Flush waits until the queued lines are written. It returns after timeout if loop has not accepted
// the request by then.
func (b *AsyncWriter) Flush(timeout time.Duration) {
	done := make(chan struct{})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case b.flushRequests <- done:
		<-done
	case <-timer.C:
	}
}

func (b *AsyncWriter) loop() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.lines:
			b.write(line)
		case <-ticker.C:
			b.reportDropped()
		case done := <-b.flushRequests:
			for len(b.lines) > 0 {
				b.write(<-b.lines)
			}
			close(done)
		}
	}
}

func (b *AsyncWriter) write(line []byte) {
	_, _ = b.output.Write(line) // there is nowhere else to report an error
}

func (b *AsyncWriter) reportDropped() {
	n := b.dropped.Swap(0)
	if n == 0 {
		return
	}
	encoder := zaplogfmt.NewEncoder(newEncoderConfig())
	line, err := encoder.EncodeEntry(zapcore.Entry{Level: zapcore.WarnLevel, Time: time.Now(), Message: "lines-dropped"},
		[]zapcore.Field{zap.Int64("lines", n)})
	if err != nil {
		return // cannot happen: the encoder accepts every int64
	}
	b.write(line.Bytes())
	line.Free()
}
