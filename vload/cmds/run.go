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

// The files of one run; compare looks for the first.
const (
	csvFile  = "result.csv"
	jsonFile = "result.json"
)

// Modes of what is written: results are for everyone who may read the directory.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// loader offers the load of one scenario file.
type loader struct {
	out      io.Writer
	scenario string
	dir      string
	policy   string
	seed     uint64
	run      int
}

// register adds the flags common to run and direct.
func (l *loader) register(flags *flag.FlagSet) {
	flags.StringVar(&l.scenario, "scenario", "", "scenario file")
	flags.StringVar(&l.dir, "out", "", "directory for result.csv and result.json; none: only the table")
	flags.StringVar(&l.policy, "policy", "", "replaces the scenario's policy label")
	flags.Uint64Var(&l.seed, "seed", 0, "replaces the scenario's seed unless 0")
	flags.IntVar(&l.run, "run", 1, "number of this run in the results")
}

// newRunCommand returns the subcommand that loads the scenario's own target.
func newRunCommand(out io.Writer) *ffcli.Command {
	l := &loader{out: out}
	flags := newFlags("run")
	l.register(flags)
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "vload run --scenario FILE [--out DIR] [--seed N] [--run N] [--policy NAME]",
		ShortHelp:  "offers the load of a scenario",
		FlagSet:    flags,
		Exec:       l.exec,
	}
}

// exec loads the target that the file names.
func (l *loader) exec(ctx context.Context, _ []string) error {
	s, err := l.load()
	if err != nil {
		return err
	}
	return l.offer(ctx, s)
}

// load reads the scenario and applies the flags.
func (l *loader) load() (*scene.Scenario, error) {
	if l.scenario == "" {
		return nil, ErrCommand.New("--scenario is missing")
	}
	s, err := scene.Load(l.scenario)
	if err != nil {
		return nil, err
	}
	if l.seed != 0 {
		s.Seed = l.seed
	}
	if l.policy != "" {
		s.Policy = l.policy
	}
	return s, nil
}

// offer runs the load and writes the results. An interrupted run writes none, since its figures are not those of the scenario.
func (l *loader) offer(ctx context.Context, s *scene.Scenario) error {
	book := tally.NewBook(s)
	reader := gauge.NewReader()
	before := gauge.StartDelayedRead(ctx, reader, s.Metrics.Addresses, s.LeadingWarmUp())
	if err := runner.New(s, book, rand.Text()).Run(ctx); err != nil {
		return ErrCommand.Wrap(err)
	}
	after := reader.ReadAll(ctx, s.Metrics.Addresses)
	rows := append(book.Rows(), gauge.Rows(s.Metrics.Keys, before.Pages(), after, book.Offered())...)
	for i := range rows {
		rows[i].Scenario = s.Name
		rows[i].Policy = s.Policy
		rows[i].Seed = s.Seed
		rows[i].Run = l.run
	}
	return l.write(rows)
}

// write puts the rows on the writer and into the directory.
func (l *loader) write(rows []report.Row) error {
	if err := report.WriteTable(l.out, rows); err != nil {
		return err
	}
	if l.dir == "" {
		return nil
	}
	if err := writeFile(filepath.Join(l.dir, csvFile), rows, report.WriteCSV); err != nil {
		return err
	}
	return writeFile(filepath.Join(l.dir, jsonFile), rows, report.WriteJSON)
}

// writeFile writes rows to a file and makes its directory.
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

// direct loads backend servers without the system between.
type direct struct {
	loader
	kind      string
	addresses string
	model     string
}

// newDirectCommand returns the subcommand that replaces the scenario's target.
func newDirectCommand(out io.Writer) *ffcli.Command {
	d := &direct{loader: loader{out: out}}
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

// exec loads the backend servers of the flags.
func (d *direct) exec(ctx context.Context, _ []string) error {
	s, err := d.load()
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

// parseAddresses reads a list separated by commas; an empty text has none.
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
