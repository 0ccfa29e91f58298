package cmds

import (
	"context"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/models/report"
	"verbenaroad.example/vload/services/chart"
	"verbenaroad.example/vload/services/merge"
)

// compareCommand implements the subcommand compare: it summarizes the runs below a directory.
type compareCommand struct {
	out    io.Writer
	dir    string
	to     string
	metric string
	class  string
	format string
}

// newCompareCommand returns the subcommand that summarizes several runs.
func newCompareCommand(out io.Writer) *ffcli.Command {
	c := &compareCommand{out: out}
	flags := newFlags("compare")
	flags.StringVar(&c.dir, "dir", "", "directory searched for "+csvFile+" files")
	flags.StringVar(&c.to, "to", "", "directory for compare.csv, compare.md and the plots; default: --dir")
	flags.StringVar(&c.metric, "metric", "attainment", "metric that is drawn")
	flags.StringVar(&c.class, "class", `^(all|priority:.*|team:.*)$`, "pattern of the classes that are drawn")
	flags.StringVar(&c.format, "format", "svg", "svg or png")
	return &ffcli.Command{
		Name:       "compare",
		ShortUsage: "vload compare --dir DIR [--to DIR] [--metric NAME] [--class PATTERN] [--format svg|png]",
		ShortHelp:  "median and spread of several runs, with one plot for each scenario",
		FlagSet:    flags,
		Exec:       c.exec,
	}
}

// exec writes the tables and the plots.
func (c *compareCommand) exec(context.Context, []string) error {
	pattern, err := c.prepare()
	if err != nil {
		return err
	}
	rows, err := readRuns(c.dir)
	if err != nil {
		return err
	}
	all := merge.Summarize(rows)
	if err := merge.WriteMarkdown(c.out, all); err != nil {
		return err
	}
	if err := c.writeTables(all); err != nil {
		return err
	}
	return c.plot(all, pattern)
}

// prepare checks the flags, sets their defaults, creates the output directory and returns the
// pattern of the classes to plot.
func (c *compareCommand) prepare() (*regexp.Regexp, error) {
	if c.dir == "" {
		return nil, ErrCommand.New("--dir is missing")
	}
	if c.to == "" {
		c.to = c.dir
	}
	if c.format != "svg" && c.format != "png" {
		return nil, ErrCommand.New("--format is neither svg nor png")
	}
	if err := os.MkdirAll(c.to, directoryMode); err != nil {
		return nil, ErrCommand.Wrap(err)
	}
	pattern, err := regexp.Compile(c.class)
	return pattern, ErrCommand.Wrap(err)
}

// readRuns reads every result.csv below a directory.
func readRuns(dir string) ([]report.Row, error) {
	var rows []report.Row
	err := filepath.WalkDir(dir, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.Name() != csvFile {
			return err
		}
		read, err := readRun(name)
		rows = append(rows, read...)
		return err
	})
	if err == nil && len(rows) == 0 {
		err = ErrCommand.New("no %s below %s", csvFile, dir)
	}
	return rows, ErrCommand.Wrap(err)
}

// readRun reads one result file.
func readRun(name string) ([]report.Row, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // the file was only read
	rows, err := report.ReadCSV(file)
	if err != nil {
		return nil, ErrCommand.New("%s: %w", name, err)
	}
	return rows, nil
}

// writeTables writes the summaries as CSV and Markdown.
func (c *compareCommand) writeTables(all []merge.Summary) error {
	var table, text strings.Builder
	if err := merge.WriteCSV(&table, all); err != nil {
		return err
	}
	if err := merge.WriteMarkdown(&text, all); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.to, "compare.csv"), []byte(table.String()), fileMode); err != nil {
		return ErrCommand.Wrap(err)
	}
	return ErrCommand.Wrap(os.WriteFile(filepath.Join(c.to, "compare.md"), []byte(text.String()), fileMode))
}

// plot writes one plot for each scenario, with the classes that match the pattern.
func (c *compareCommand) plot(all []merge.Summary, pattern *regexp.Regexp) error {
	var scenarios, classes []string
	for _, s := range all {
		if !slices.Contains(scenarios, s.Scenario) {
			scenarios = append(scenarios, s.Scenario)
		}
		if pattern.MatchString(s.Class) && !slices.Contains(classes, s.Class) {
			classes = append(classes, s.Class)
		}
	}
	for _, scenario := range scenarios {
		file := filepath.Join(c.to, fileName(scenario)+"-"+fileName(c.metric)+"."+c.format)
		if err := chart.Bars(all, scenario, c.metric, classes, file); err != nil {
			return err
		}
	}
	return nil
}

// fileName replaces slashes and spaces in a text by hyphens, for use in a file name.
func fileName(text string) string {
	return strings.NewReplacer("/", "-", " ", "-").Replace(text)
}
