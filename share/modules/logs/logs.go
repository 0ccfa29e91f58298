// Package logs makes the loggers of all programs: one line of key=value pairs an event.
package logs

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ErrLogs is the class of errors of this package.
var ErrLogs = errs.Class("logs") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// NewLogger returns a logger that writes lines of at least the named level to w.
func NewLogger(w io.Writer, level string) (*zap.Logger, error) {
	minimum, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, ErrLogs.Wrap(err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	encoding.MessageKey = "event"
	encoding.TimeKey = "time"
	encoder := zaplogfmt.NewEncoder(encoding)
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), minimum)
	return zap.New(core), nil
}
