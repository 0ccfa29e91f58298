package cmds

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/services/cause"
)

// causesCommand implements the subcommand causes: it reads log lines and reports where requests
// spent their time.
type causesCommand struct {
	out    io.Writer
	window time.Duration
}

// newCausesCommand returns the subcommand that analyzes a run from the logs of its ingresses.
func newCausesCommand(out io.Writer) *ffcli.Command {
	c := &causesCommand{out: out}
	flags := newFlags("causes")
	flags.DurationVar(&c.window, "window", 2*time.Second, "`time` over which calls are summed up")
	return &ffcli.Command{
		Name:       "causes",
		ShortUsage: "vload causes [--window TIME] FILE...",
		ShortHelp:  "from the log lines of ingresses: where time went, how full calls were, why requests were not served",
		FlagSet:    flags,
		Exec:       c.exec,
	}
}

// exec reads all log files and prints the report.
func (c *causesCommand) exec(_ context.Context, files []string) error {
	if len(files) == 0 {
		return ErrCommand.New("causes: no log files given")
	}
	if c.window <= 0 {
		return ErrCommand.New("causes: --window: must be above 0")
	}
	in, closeFiles, err := openFiles(files)
	if err != nil {
		return err
	}
	defer closeFiles()
	report := cause.NewReport(c.window)
	if err := report.Read(in); err != nil {
		return err
	}
	return report.Write(c.out)
}

// openFiles opens files for reading one after the other. Close closes them.
func openFiles(names []string) (in io.Reader, closeFiles func(), err error) {
	readers, files := []io.Reader{}, []*os.File{}
	closeFiles = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeFiles()
			return nil, nil, ErrCommand.Wrap(err)
		}
		files = append(files, file)
		readers = append(readers, file)
	}
	return io.MultiReader(readers...), closeFiles, nil
}
