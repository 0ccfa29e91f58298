package cmds

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/models/scene"
	"verbenaroad.example/vload/services/sample"
)

// sampleCommand implements the subcommand sample: it records the resource use of processes.
type sampleCommand struct {
	out       io.Writer
	pids      string
	file      string
	addresses string
	keys      string
	options   sample.Options
}

// newSampleCommand returns the subcommand that records the resource use and expvar figures of
// processes.
func newSampleCommand(out io.Writer) *ffcli.Command {
	w := &sampleCommand{out: out}
	flags := newFlags("sample")
	flags.StringVar(&w.pids, "pids", "", `file with lines "PID" or "NAME PID"`)
	flags.StringVar(&w.file, "out", "", "CSV file; none: printed")
	flags.StringVar(&w.addresses, "expvar", "", "ip:port of expvar pages, separated by commas")
	flags.StringVar(&w.keys, "keys", "", "NAME=PATH of expvar figures, separated by commas")
	flags.DurationVar(&w.options.Interval, "every", time.Second, "interval")
	flags.DurationVar(&w.options.Duration, "for", 0, "length of the recording; 0: until interrupted")
	return &ffcli.Command{
		Name:       "sample",
		ShortUsage: "vload sample --pids FILE [--every 1s] [--for 60s] [--out CSV] [--expvar IP:PORT,..] [--keys NAME=PATH,..]",
		ShortHelp:  "records processor time, memory and expvar figures",
		FlagSet:    flags,
		Exec:       w.exec,
	}
}

// exec records until the length of --for has passed or ctx is canceled.
func (w *sampleCommand) exec(ctx context.Context, _ []string) error {
	if err := w.parseFlags(); err != nil {
		return err
	}
	out := w.out
	if w.file != "" {
		file, err := os.Create(w.file)
		if err != nil {
			return ErrCommand.Wrap(err)
		}
		defer file.Close() //nolint:errcheck // the sampler reports failed writes
		out = file
	}
	return sample.NewSampler(w.options, out).Record(ctx)
}

// parseFlags checks the flags and sets the options from them.
func (w *sampleCommand) parseFlags() error {
	if w.options.Interval <= 0 {
		return ErrCommand.New("--every must be over 0")
	}
	if w.pids != "" {
		file, err := os.Open(w.pids)
		if err != nil {
			return ErrCommand.Wrap(err)
		}
		defer file.Close() //nolint:errcheck // the file was only read
		if w.options.Processes, err = sample.ReadProcesses(file); err != nil {
			return err
		}
	}
	var err error
	if w.options.Addresses, err = parseAddresses(w.addresses); err != nil {
		return err
	}
	w.options.Keys, err = parseKeys(w.keys)
	return err
}

// parseKeys parses pairs of a name and a path, for example "reads=kv/reads", separated by commas.
func parseKeys(text string) ([]scene.MetricKey, error) {
	var all []scene.MetricKey
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		name, path, ok := strings.Cut(part, "=")
		if !ok || name == "" || path == "" {
			return nil, ErrCommand.New("--keys: %q is not NAME=PATH", part)
		}
		all = append(all, scene.MetricKey{Name: name, Path: path})
	}
	return all, nil
}
