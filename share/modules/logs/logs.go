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
	encoder := zaplogfmt.NewEncoder(newEncoding())
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), minimum)
	return zap.New(core), nil
}

// Err is the field of an error: its text alone, without the stack that zap adds for some classes.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
