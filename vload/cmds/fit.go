package cmds

import (
	"bytes"
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/services/chart"
	"verbenaroad.example/vload/services/slope"
)

// fitCommand implements the subcommand fit: it fits a line to two columns of a CSV file.
type fitCommand struct {
	out   io.Writer
	csv   string
	x     string
	y     string
	plot  string
	toCSV string
	// unitX and unitY are used only in the axis titles of the plot.
	unitX string
	unitY string
}

// newFitCommand returns the subcommand that fits a line to measured points.
func newFitCommand(out io.Writer) *ffcli.Command {
	f := &fitCommand{out: out}
	flags := newFlags("fit")
	flags.StringVar(&f.csv, "csv", "", "file with a header")
	flags.StringVar(&f.x, "x", "", "column of x")
	flags.StringVar(&f.y, "y", "", "column of y")
	flags.StringVar(&f.toCSV, "to", "", "file for the line; none: only printed")
	flags.StringVar(&f.plot, "plot", "", "file for the plot, .svg or .png; none: no plot")
	flags.StringVar(&f.unitX, "x-unit", "", "unit of x on the plot")
	flags.StringVar(&f.unitY, "y-unit", "", "unit of y on the plot")
	return &ffcli.Command{
		Name:       "fit",
		ShortUsage: "vload fit --csv FILE --x COLUMN --y COLUMN [--to FILE] [--plot FILE] [--x-unit UNIT] [--y-unit UNIT]",
		ShortHelp:  "least-squares line with standard errors",
		FlagSet:    flags,
		Exec:       f.exec,
	}
}

// exec fits the line, prints it and draws the plot.
func (f *fitCommand) exec(context.Context, []string) error {
	text, err := os.ReadFile(f.csv)
	if err != nil {
		return ErrCommand.Wrap(err)
	}
	x, y, err := slope.ReadPoints(bytes.NewReader(text), f.x, f.y)
	if err != nil {
		return err
	}
	line, err := slope.Fit(x, y)
	if err != nil {
		return err
	}
	if err := f.write(&line); err != nil {
		return err
	}
	if f.plot == "" {
		return nil
	}
	return chart.Fit(x, y, &line, axisTitle(f.x, f.unitX), axisTitle(f.y, f.unitY), f.plot)
}

// axisTitle returns the title of an axis: its name and, if given, its unit.
func axisTitle(name, unit string) string {
	if unit == "" {
		return name
	}
	return name + " [" + unit + "]"
}

// write prints the line as CSV and writes it to the file of --to, if given.
func (f *fitCommand) write(line *slope.Line) error {
	var text bytes.Buffer
	if err := line.WriteCSV(&text, f.x, f.y); err != nil {
		return err
	}
	if _, err := f.out.Write(text.Bytes()); err != nil {
		return ErrCommand.Wrap(err)
	}
	if f.toCSV == "" {
		return nil
	}
	return ErrCommand.Wrap(os.WriteFile(f.toCSV, text.Bytes(), fileMode))
}
