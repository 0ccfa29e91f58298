// Package cmds holds the subcommands of fakes, one for each stand-in.
package cmds

import (
	"context"
	"errors"
	"flag"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/lesismal/nbio/logging"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	// envPrefix is the prefix of the environment variables that set flags.
	envPrefix = "FAKES"
)

// Main runs the subcommand named by args until ctx ends, and returns the exit code of the process.
func Main(ctx context.Context, args []string, output io.Writer) int {
	logging.SetLevel(logging.LevelNone)
	log := newLogger(output)
	root := newRoot(log, output)
	err := root.ParseAndRun(ctx, args)
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	if err != nil {
		log.Error("failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

func newLogger(output io.Writer) *zap.Logger {
	settings := zap.NewProductionEncoderConfig()
	settings.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	settings.MessageKey = "event"
	encoder := zaplogfmt.NewEncoder(settings)
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(output)), zap.InfoLevel))
}

func newRoot(log *zap.Logger, output io.Writer) *ffcli.Command {
	flags := newFlagSet("fakes", output)
	return &ffcli.Command{
		ShortUsage: "fakes <stand-in> [flags]",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			newKV(log, output),
			newList(log, output),
			newEngine(log, output),
			newService(log, output),
			newPool(log, output),
			newRegister(output),
			newRelay(log, output),
			newWeights(log, output),
			newHosted(output),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newFlagSet(name string, output io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(output)
	return flags
}

func newCommand(name, help string, flags *flag.FlagSet, exec func(context.Context) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "fakes " + name + " [flags]",
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       func(ctx context.Context, _ []string) error { return exec(ctx) },
	}
}
