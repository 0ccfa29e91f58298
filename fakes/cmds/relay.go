package cmds

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"verbenaroad.example/fakes/modules/serve"
	"verbenaroad.example/fakes/services/relay"
)

const defaultRelayDelay = 12 * time.Millisecond

// newRelay returns the subcommand that forwards the connections of one region's entry to agents of
// other regions.
func newRelay(log *zap.Logger, output io.Writer) *ffcli.Command {
	flags := newFlagSet("relay", output)
	c := newStandIn("relay", log, flags)
	targetsFile, delay := "", time.Duration(0)
	flags.StringVar(&targetsFile, "targets", "", "`file` with a line \"name region ip:port\" for each target; the address file gets \"name=ip:port\" lines")
	flags.DurationVar(&delay, "delay", defaultRelayDelay, "delay in each direction")
	return newCommand("relay", "the links between regions", flags, func(ctx context.Context) error {
		list, err := readTargets(targetsFile)
		if err != nil {
			return err
		}
		return c.runRelay(ctx, relay.NewRelay(delay), list)
	})
}

// readTargets parses a file with a line "name region ip:port" for each target.
func readTargets(name string) ([]relay.Target, error) {
	file, err := os.Open(name) //nolint:gosec // the operator of the stand-in names it
	if err != nil {
		return nil, errCommand.Wrap(err)
	}
	defer file.Close() //nolint:errcheck // the file was only read
	list := []relay.Target{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		target := relay.Target{}
		address := ""
		if _, err := fmt.Sscan(lines.Text(), &target.Name, &target.Region, &address); err != nil {
			return nil, errCommand.New("%s: %q: %w", name, lines.Text(), err)
		}
		if target.Address, err = netip.ParseAddrPort(address); err != nil {
			return nil, errCommand.Wrap(err)
		}
		list = append(list, target)
	}
	return list, errCommand.Wrap(lines.Err())
}

// runRelay opens the links, serves the control address, writes the address files and blocks until
// ctx ends.
func (c *standIn) runRelay(ctx context.Context, r *relay.Relay, targets []relay.Target) error {
	defer r.Close()
	lines := []string{}
	for _, target := range targets {
		address, err := r.Open(target)
		if err != nil {
			return err
		}
		lines = append(lines, target.Name+"="+address.String())
	}
	control := serve.NewServer(serve.Options{Listen: c.control, Handler: r.NewRouter(), KindOf: relay.KindOf})
	if err := control.Start(); err != nil {
		return err
	}
	if c.addressFile != "" {
		if err := writeFile(c.addressFile+controlSuffix, control.Address().String()); err != nil {
			return err
		}
		if err := writeFile(c.addressFile, strings.Join(lines, "\n")); err != nil {
			return err
		}
	}
	<-ctx.Done()
	closing, cancel := context.WithTimeout(context.Background(), c.grace)
	defer cancel()
	return control.Stop(closing)
}
