package cmds

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/models/report"
	"verbenaroad.example/vload/models/scene"
	"verbenaroad.example/vload/services/gauge"
	"verbenaroad.example/vload/services/runner"
	"verbenaroad.example/vload/services/tally"
)

// Names of the result files of a run. The subcommand compare reads the CSV files.
const (
	csvFile  = "result.csv"
	jsonFile = "result.json"
)

// Modes of the directories and files that are written: every user may read them.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// runCommand implements the subcommand run: it offers the load of one scenario file.
type runCommand struct {
	out      io.Writer
	scenario string
	dir      string
	policy   string
	seed     uint64
	run      int
}

// register adds the flags that run and direct share.
func (r *runCommand) register(flags *flag.FlagSet) {
	flags.StringVar(&r.scenario, "scenario", "", "scenario file")
	flags.StringVar(&r.dir, "out", "", "directory for result.csv and result.json; none: only the table")
	flags.StringVar(&r.policy, "policy", "", "replaces the scenario's policy label")
	flags.Uint64Var(&r.seed, "seed", 0, "replaces the scenario's seed unless 0")
	flags.IntVar(&r.run, "run", 1, "number of this run in the results")
}

// newRunCommand returns the subcommand that offers load to the target in the scenario file.
func newRunCommand(out io.Writer) *ffcli.Command {
	r := &runCommand{out: out}
	flags := newFlags("run")
	r.register(flags)
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "vload run --scenario FILE [--out DIR] [--seed N] [--run N] [--policy NAME]",
		ShortHelp:  "offers the load of a scenario",
		FlagSet:    flags,
		Exec:       r.exec,
	}
}

// exec offers the load to the target in the scenario file.
func (r *runCommand) exec(ctx context.Context, _ []string) error {
	s, err := r.loadScenario()
	if err != nil {
		return err
	}
	return r.offer(ctx, s)
}

// loadScenario reads the scenario file and applies the flags.
func (r *runCommand) loadScenario() (*scene.Scenario, error) {
	if r.scenario == "" {
		return nil, ErrCommand.New("--scenario is missing")
	}
	s, err := scene.Load(r.scenario)
	if err != nil {
		return nil, err
	}
	if r.seed != 0 {
		s.Seed = r.seed
	}
	if r.policy != "" {
		s.Policy = r.policy
	}
	return s, nil
}

// offer offers the load and writes the results. An interrupted run writes no results, because its
// figures do not cover the whole scenario.
func (r *runCommand) offer(ctx context.Context, s *scene.Scenario) error {
	counter := tally.NewCounter(s)
	reader := gauge.NewReader()
	before := gauge.StartDelayedRead(ctx, reader, s.Metrics.Addresses, s.LeadingWarmUp())
	if err := runner.New(s, counter, rand.Text()).Run(ctx); err != nil {
		return ErrCommand.Wrap(err)
	}
	after := reader.ReadAll(ctx, s.Metrics.Addresses)
	rows := append(counter.Rows(), gauge.Rows(s.Metrics.Keys, before.Pages(), after, counter.Offered())...)
	for i := range rows {
		rows[i].Scenario = s.Name
		rows[i].Policy = s.Policy
		rows[i].Seed = s.Seed
		rows[i].Run = r.run
	}
	return r.write(rows)
}

// write prints the rows as a table and writes them to the output directory, if one is given.
func (r *runCommand) write(rows []report.Row) error {
	if err := report.WriteTable(r.out, rows); err != nil {
		return err
	}
	if r.dir == "" {
		return nil
	}
	if err := writeFile(filepath.Join(r.dir, csvFile), rows, report.WriteCSV); err != nil {
		return err
	}
	return writeFile(filepath.Join(r.dir, jsonFile), rows, report.WriteJSON)
}

// writeFile writes rows to a file in the format of write and creates the directory of the file.
func writeFile(name string, rows []report.Row, write func(io.Writer, []report.Row) error) error {
	if err := os.MkdirAll(filepath.Dir(name), directoryMode); err != nil {
		return ErrCommand.Wrap(err)
	}
	var text strings.Builder
	if err := write(&text, rows); err != nil {
		return err
	}
	return ErrCommand.Wrap(os.WriteFile(name, []byte(text.String()), fileMode))
}

// directCommand implements the subcommand direct: it offers load to backend servers directly,
// bypassing entries, ingresses and agents.
type directCommand struct {
	runCommand
	kind      string
	addresses string
	model     string
}

// newDirectCommand returns the subcommand that offers load to backend servers instead of the
// target in the scenario file.
func newDirectCommand(out io.Writer) *ffcli.Command {
	d := &directCommand{runCommand: runCommand{out: out}}
	flags := newFlags("direct")
	d.register(flags)
	flags.StringVar(&d.kind, "kind", string(scene.TargetEngine), "engine or http")
	flags.StringVar(&d.addresses, "addresses", "", "ip:port of backend servers, separated by commas")
	flags.StringVar(&d.model, "model", "", "model asked of engines")
	return &ffcli.Command{
		Name:       "direct",
		ShortUsage: "vload direct --scenario FILE --kind engine|http --addresses IP:PORT[,IP:PORT] [--model NAME]",
		ShortHelp:  "offers the same load straight to backend servers",
		FlagSet:    flags,
		Exec:       d.exec,
	}
}

// exec offers the load to the backend servers in the flags.
func (d *directCommand) exec(ctx context.Context, _ []string) error {
	s, err := d.loadScenario()
	if err != nil {
		return err
	}
	s.Target.Kind = scene.TargetKind(d.kind)
	s.Target.Addresses, err = parseAddresses(d.addresses)
	if err != nil {
		return err
	}
	if d.model != "" {
		s.Target.Model = d.model
	}
	if d.policy == "" {
		s.Policy = fmt.Sprintf("direct-%s", d.kind)
	}
	if err := scene.Check(s); err != nil {
		return err
	}
	return d.offer(ctx, s)
}

// parseAddresses parses a list of addresses separated by commas, which may be empty.
func parseAddresses(text string) ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		address, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, ErrCommand.Wrap(err)
		}
		all = append(all, address)
	}
	return all, nil
}
