package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/services/chart"
	"verbenaroad.example/vload/services/sheet"
)

// capacityCommand implements the subcommand capacity: it recalculates the tables of a page.
type capacityCommand struct {
	out    io.Writer
	page   string
	series string
	write  bool
	plots  string
}

// newCapacityCommand returns the subcommand that recalculates the tables of a page from measured
// series and either checks or rewrites the page.
func newCapacityCommand(out io.Writer) *ffcli.Command {
	c := &capacityCommand{out: out}
	flags := newFlags("capacity")
	flags.StringVar(&c.page, "page", "docs/CAPACITY.md", "page with tables of lines and figures")
	flags.StringVar(&c.series, "slopes", "docs/slopes", "directory of the measured series")
	flags.BoolVar(&c.write, "write", false, "put the figures into the page instead of checking them")
	flags.StringVar(&c.plots, "plots", "", "directory for a plot of each line, with --write; none: no plots")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "vload capacity [--page FILE] [--slopes DIR] [--write [--plots DIR]]",
		ShortHelp:  "works out every row of a page from measured series, and fails on a difference",
		FlagSet:    flags,
		Exec:       c.exec,
	}
}

// exec checks the page and fails if any figure differs, or rewrites the page with --write.
func (c *capacityCommand) exec(context.Context, []string) error {
	text, err := os.ReadFile(c.page)
	if err != nil {
		return ErrCommand.Wrap(err)
	}
	page := sheet.ParsePage(string(text))
	series := sheet.NewSeries(os.DirFS(c.series))
	if c.write {
		return c.rewrite(page, series)
	}
	result, err := sheet.Check(page, series)
	if err != nil {
		return err
	}
	for _, mismatch := range result.Mismatches {
		_, _ = fmt.Fprintln(c.out, mismatch)
	}
	if len(result.Mismatches) > 0 {
		return ErrCommand.New("%d of %d rows differ from the series", len(result.Mismatches), result.Rows)
	}
	_, _ = fmt.Fprintf(c.out, "capacity: %d rows agree with the series\n", result.Rows)
	return nil
}

// rewrite writes the recalculated figures into the page and plots the fitted lines.
func (c *capacityCommand) rewrite(page *sheet.Page, series *sheet.Series) error {
	result, err := sheet.Write(page, series)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.page, []byte(page.String()), fileMode); err != nil {
		return ErrCommand.Wrap(err)
	}
	if c.plots == "" {
		return nil
	}
	for i := range result.Lines {
		if err := c.plot(&result.Lines[i]); err != nil {
			return err
		}
	}
	return nil
}

// plot writes the plot of one line to a file named after the series and the column of y.
func (c *capacityCommand) plot(line *sheet.Line) error {
	file := filepath.Join(c.plots, line.Series+"-"+line.YName+".svg")
	return chart.Fit(line.X, line.Y, &line.Fit, line.XName, line.YName, file)
}
