package cmds

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/services/draft"
)

// newDraftCommand returns the subcommand that generates a configuration of any size.
func newDraftCommand(out io.Writer) *ffcli.Command {
	var o draft.Options
	change := 0
	flags := newFlags("draft")
	flags.IntVar(&o.Teams, "teams", 1, "number of teams")
	flags.IntVar(&o.Pipelines, "pipelines", 1, "number of pipelines of four stages")
	flags.IntVar(&o.Services, "services", 1, "number of engine services")
	flags.IntVar(&change, "change", 0, "write only the change of this number, of one team; 0: the whole configuration")
	return &ffcli.Command{
		Name:       "draft",
		ShortUsage: "vload draft [--teams N] [--pipelines N] [--services N] [--change N]",
		ShortHelp:  "writes a configuration of any size as TOML",
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			if change > 0 {
				return draft.WriteChange(out, change%max(1, o.Teams), change)
			}
			return draft.WriteTOML(out, o)
		},
	}
}
