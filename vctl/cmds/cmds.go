// Package cmds implements the subcommands of vctl, one per file.
package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// The exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitRefused means that the command failed or was refused. A refused change never takes effect.
	ExitRefused = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitConflict means that another change was accepted first.
	ExitConflict = 3
	// ExitUnknown means that the change may have taken effect. A retry with the printed change id
	// shows whether it did.
	ExitUnknown = 4
)

const (
	outputTable    = "table"
	outputJSON     = "json"
	defaultServer  = "127.0.0.1:8081"
	defaultTimeout = 40 * time.Second
	envPrefix      = "VCTL"
	envToken       = "VCTL_TOKEN"
)

// Streams are the standard input, output and error of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// app holds the streams and the flags that the subcommands share.
type app struct {
	streams Streams
	// server is the IP address and port of an entry's admin API.
	server    string
	tokenFile string
	caFile    string
	output    string
	timeout   time.Duration
}

// exitError ends the program with an exit code after detail is printed.
type exitError struct {
	code   int
	detail string
}

func (e *exitError) Error() string { return e.detail }

func newUsageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, detail: fmt.Sprintf(format, args...)}
}

func newRefusedError(format string, args ...any) error {
	return &exitError{code: ExitRefused, detail: fmt.Sprintf(format, args...)}
}

// Run parses and executes a command line and returns the exit code.
func Run(ctx context.Context, args []string, streams Streams) int {
	a := &app{streams: streams}
	err := a.newRoot().ParseAndRun(ctx, args)
	var exit *exitError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &exit):
		a.printError(exit.detail)
		return exit.code
	default:
		// Every other error is from ffcli: it could not parse a flag.
		a.printError(err.Error())
		return ExitUsage
	}
}

func (a *app) printError(detail string) {
	if detail != "" {
		_, _ = fmt.Fprintln(a.streams.Err, "vctl:", detail)
	}
}

func (a *app) newRoot() *ffcli.Command {
	flags := flag.NewFlagSet("vctl", flag.ContinueOnError)
	flags.SetOutput(a.streams.Err)
	return &ffcli.Command{
		Name:       "vctl",
		ShortUsage: "vctl <subcommand> [flags] [arguments]",
		LongHelp: strings.TrimSpace(`
Exit codes: 0 done, 1 refused, 2 usage, 3 conflict with another change,
4 unknown: ask again with the printed change id.

The token is read from --token-file or from the environment (VCTL_TOKEN);
every flag can be set as VCTL_<FLAG>, for example VCTL_SERVER.`),
		FlagSet:     flags,
		Subcommands: a.newSubcommands(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return newUsageError("%q is no subcommand; vctl -h lists them", args[0])
			}
			return newUsageError("want a subcommand; vctl -h lists them")
		},
	}
}

func (a *app) newSubcommands() []*ffcli.Command {
	return []*ffcli.Command{
		a.newApply(),
		a.newDiff(),
		a.newGet(),
		a.newHistory(),
		a.newLabel(),
		a.newStatus(),
		a.newIngress(),
		a.newDrain(),
		a.newExplain(),
		a.newClaim(),
		a.newCompletion(),
	}
}

// newFlags returns a flag set for a subcommand that already holds the flags shared by all
// subcommands.
func (a *app) newFlags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet("vctl "+name, flag.ContinueOnError)
	flags.SetOutput(a.streams.Err)
	flags.StringVar(&a.server, "server", defaultServer, "`ip:port` of an entry's admin address")
	flags.StringVar(&a.tokenFile, "token-file", "", "`file` that holds the operator's token; else VCTL_TOKEN")
	flags.StringVar(&a.caFile, "ca-file", "", "`file` with the CA certificate that signed the server's; empty: plain HTTP")
	flags.StringVar(&a.output, "output", outputTable, "`table or json`")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "maximum wait for an answer")
	return flags
}

// newCommand completes c, a subcommand that sends requests to a server: its flags can be set in the
// environment, and run is called once --output is valid.
func (a *app) newCommand(c ffcli.Command, run func(ctx context.Context, args []string) error) *ffcli.Command {
	c.Options = []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
	c.Exec = func(ctx context.Context, args []string) error {
		if a.output != outputTable && a.output != outputJSON {
			return newUsageError("--output %q: want table or json", a.output)
		}
		return run(ctx, args)
	}
	return &c
}

// token returns the operator's token, read from --token-file or else from VCTL_TOKEN.
func (a *app) token() (string, error) {
	if a.tokenFile == "" {
		token := os.Getenv(envToken)
		if token == "" {
			return "", newUsageError("want a token: --token-file or %s", envToken)
		}
		return token, nil
	}
	text, err := os.ReadFile(a.tokenFile)
	if err != nil {
		return "", newUsageError("--token-file: %v", err)
	}
	return strings.TrimSpace(string(text)), nil
}
