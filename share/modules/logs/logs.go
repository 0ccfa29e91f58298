// Package logs creates the loggers of all programs. They write one line of key=value pairs per
// event.
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

// NewLogger returns a logger that writes lines of the given level and above to w.
func NewLogger(w io.Writer, level string) (*zap.Logger, error) {
	minimum, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, ErrLogs.Wrap(err)
	}
	encoder := zaplogfmt.NewEncoder(newEncoderConfig())
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), minimum)
	return zap.New(core), nil
}

// Err returns the field "error" with the text of err alone, without the stack trace that zap adds
// for some error classes. It returns no field if err is nil.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
