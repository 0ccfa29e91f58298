package cmds

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/services/stand"
)

// newStandCommand returns the subcommand that runs stand-ins of agents and entries until it is
// interrupted.
func newStandCommand(out io.Writer) *ffcli.Command {
	var o stand.Options
	flags := newFlags("stand")
	flags.TextVar(&o.List, "list", netip.AddrPort{}, "ip:port of the list of instances")
	flags.TextVar(&o.Target, "target", netip.AddrPort{}, "ip:port of the agent that stand-in entries open sessions to")
	flags.IntVar(&o.Agents, "agents", 0, "number of stand-in agents")
	flags.IntVar(&o.Entries, "entries", 0, "number of stand-in entries")
	flags.IntVar(&o.Listed, "listed", 0, "number of entries that only stand on the list")
	flags.IntVar(&o.Services, "services", 1, "number of services of the stand-in agents")
	flags.StringVar(&o.Region, "region", "north", "region")
	flags.StringVar(&o.Domain, "domain", "north-9", "failure domain")
	flags.DurationVar(&o.HeartbeatInterval, "beat-every", time.Second, "time between two heartbeats")
	return &ffcli.Command{
		Name:       "stand",
		ShortUsage: "vload stand --list IP:PORT [--agents N] [--entries N --target IP:PORT] [--listed N]",
		ShortHelp:  "keeps light stand-ins of agents and entries until interrupted",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if err := stand.NewGroup(o).Start(ctx); err != nil {
				return err
			}
			_, _ = fmt.Fprintln(out, "up")
			<-ctx.Done()
			return nil
		},
	}
}
