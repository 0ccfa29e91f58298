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

// capacity holds the flags of capacity.
type capacity struct {
	out    io.Writer
	page   string
	series string
	write  bool
	plots  string
}

// newCapacityCommand returns the subcommand that works out a page's tables from measured series.
func newCapacityCommand(out io.Writer) *ffcli.Command {
	c := &capacity{out: out}
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

func (c *capacity) exec(context.Context, []string) error {
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
	for _, fault := range result.Mismatches {
		_, _ = fmt.Fprintln(c.out, fault)
	}
	if len(result.Mismatches) > 0 {
		return ErrCommand.New("%d of %d rows differ from the series", len(result.Mismatches), result.Rows)
	}
	_, _ = fmt.Fprintf(c.out, "capacity: %d rows agree with the series\n", result.Rows)
	return nil
}

func (c *capacity) rewrite(page *sheet.Page, series *sheet.Series) error {
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
		if err := c.draw(&result.Lines[i]); err != nil {
			return err
		}
	}
	return nil
}

// draw plots one line under its series and column.
func (c *capacity) draw(line *sheet.Line) error {
	file := filepath.Join(c.plots, line.Series+"-"+line.YName+".svg")
	return chart.Fit(line.X, line.Y, &line.Fit, line.XName, line.YName, file)
}
