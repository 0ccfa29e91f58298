package cmds

import (
	"context"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/services/meter"
)

// meterCommand implements the subcommand meter: it measures the resource use of processes.
type meterCommand struct {
	options      meter.Options
	targets      string
	extraColumns string
	file         string
	windows      int
}

// newMeterCommand returns the subcommand that measures the resource use of processes over time
// windows.
func newMeterCommand(_ io.Writer) *ffcli.Command {
	m := &meterCommand{}
	flags := newFlags("meter")
	flags.StringVar(&m.targets, "targets", "", "PID@IP:PORT of processes and their expvar pages, separated by commas; the mean is recorded")
	flags.TextVar(&m.options.Store, "store", netip.AddrPort{}, "ip:port of the control address of the key-value stand-in")
	flags.TextVar(&m.options.List, "list", netip.AddrPort{}, "ip:port of the control address of the list's stand-in")
	flags.DurationVar(&m.options.Window, "for", 5*time.Second, "length of a window")
	flags.IntVar(&m.windows, "windows", 1, "number of windows, one record each")
	flags.StringVar(&m.extraColumns, "row", "", "NAME=NUMBER of the first columns, separated by commas")
	flags.StringVar(&m.file, "out", "", "CSV file that the records are added to")
	return &ffcli.Command{
		Name:       "meter",
		ShortUsage: "vload meter --targets PID@IP:PORT,.. --row peers=30 --out FILE [--for 5s] [--windows 3]",
		ShortHelp:  "measures processor time, memory, bytes and calls of processes over windows",
		FlagSet:    flags,
		Exec:       m.exec,
	}
}

// exec measures one window after another and appends a record for each.
func (m *meterCommand) exec(ctx context.Context, _ []string) error {
	if err := m.parseFlags(); err != nil {
		return err
	}
	for range m.windows {
		record, err := meter.NewMeter(m.options).Measure(ctx)
		if err != nil {
			return err
		}
		if err := meter.Append(m.file, record); err != nil {
			return err
		}
	}
	return nil
}

// parseFlags parses the values of --targets and --row.
func (m *meterCommand) parseFlags() error {
	for part := range strings.SplitSeq(m.targets, ",") {
		pid, address, _ := strings.Cut(part, "@")
		number, err := strconv.Atoi(pid)
		if err != nil {
			return ErrCommand.New("--targets: %q is not PID@IP:PORT", part)
		}
		page, err := netip.ParseAddrPort(address)
		if err != nil {
			return ErrCommand.New("--targets: %q is not PID@IP:PORT", part)
		}
		m.options.Targets = append(m.options.Targets, meter.Target{PID: number, Metrics: page})
	}
	for part := range strings.SplitSeq(m.extraColumns, ",") {
		name, text, _ := strings.Cut(part, "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return ErrCommand.New("--row: %q is not NAME=NUMBER", part)
		}
		m.options.ExtraColumns = append(m.options.ExtraColumns, meter.Column{Name: name, Value: value})
	}
	return nil
}
