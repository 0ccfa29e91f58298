package cmds

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/services/cause"
)

// explainer reads log lines and prints where the time of requests went.
type explainer struct {
	out    io.Writer
	window time.Duration
}

// newCausesCommand returns the subcommand that explains a run from its logs.
func newCausesCommand(out io.Writer) *ffcli.Command {
	e := &explainer{out: out}
	flags := newFlags("causes")
	flags.DurationVar(&e.window, "window", 2*time.Second, "`time` over which calls are summed up")
	return &ffcli.Command{
		Name:       "causes",
		ShortUsage: "vload causes [--window TIME] FILE...",
		ShortHelp:  "from the log lines of ingresses: where time went, how full calls were, why requests were not served",
		FlagSet:    flags,
		Exec:       e.exec,
	}
}

func (e *explainer) exec(_ context.Context, files []string) error {
	if len(files) == 0 {
		return ErrCommand.New("causes: name the files that hold the log lines")
	}
	if e.window <= 0 {
		return ErrCommand.New("causes: --window: must be above 0")
	}
	readers := []io.Reader{}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return ErrCommand.Wrap(err)
		}
		defer func() { _ = file.Close() }()
		readers = append(readers, file)
	}
	report := cause.NewReport(e.window)
	if err := report.Read(io.MultiReader(readers...)); err != nil {
		return err
	}
	return report.Write(e.out)
}
