// Package cmds implements the subcommands of vload.
package cmds

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeebo/errs"
)

// ErrCommand is the class of errors of this package.
var ErrCommand = errs.Class("vload") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Run executes the subcommand in args and writes its output to out.
func Run(ctx context.Context, args []string, out io.Writer) error {
	root := &ffcli.Command{
		Name:       "vload",
		ShortUsage: "vload <subcommand> [flags]",
		ShortHelp:  "offers load and reports what became of it",
		Subcommands: []*ffcli.Command{
			newRunCommand(out),
			newDirectCommand(out),
			newCompareCommand(out),
			newFitCommand(out),
			newSampleCommand(out),
			newStandCommand(out),
			newMeterCommand(out),
			newDraftCommand(out),
			newCapacityCommand(out),
			newCausesCommand(out),
			newRolesCommand(out),
		},
		Exec: showHelp,
	}
	return root.ParseAndRun(ctx, args)
}

// showHelp runs when no subcommand is given. It returns the error for which ffcli prints the help.
func showHelp(context.Context, []string) error {
	return flag.ErrHelp
}

// newFlags returns an empty flag set for a subcommand.
func newFlags(name string) *flag.FlagSet {
	return flag.NewFlagSet("vload "+name, flag.ContinueOnError)
}
