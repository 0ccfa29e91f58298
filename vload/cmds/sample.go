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
	s := &sampleCommand{out: out}
	flags := newFlags("sample")
	flags.StringVar(&s.pids, "pids", "", `file with lines "PID" or "NAME PID"`)
	flags.StringVar(&s.file, "out", "", "CSV file; none: printed")
	flags.StringVar(&s.addresses, "expvar", "", "ip:port of expvar pages, separated by commas")
	flags.StringVar(&s.keys, "keys", "", "NAME=PATH of expvar figures, separated by commas")
	flags.DurationVar(&s.options.Interval, "every", time.Second, "interval")
	flags.DurationVar(&s.options.Duration, "for", 0, "length of the recording; 0: until interrupted")
	return &ffcli.Command{
		Name:       "sample",
		ShortUsage: "vload sample --pids FILE [--every 1s] [--for 60s] [--out CSV] [--expvar IP:PORT,..] [--keys NAME=PATH,..]",
		ShortHelp:  "records processor time, memory and expvar figures",
		FlagSet:    flags,
		Exec:       s.exec,
	}
}

// exec records until the length of --for has passed or ctx is canceled.
func (s *sampleCommand) exec(ctx context.Context, _ []string) error {
	if err := s.parseFlags(); err != nil {
		return err
	}
	out := s.out
	if s.file != "" {
		file, err := os.Create(s.file)
		if err != nil {
			return ErrCommand.Wrap(err)
		}
		defer file.Close() //nolint:errcheck // the sampler reports failed writes
		out = file
	}
	return sample.NewSampler(s.options, out).Record(ctx)
}

// parseFlags checks the flags and sets the options from them.
func (s *sampleCommand) parseFlags() error {
	if s.options.Interval <= 0 {
		return ErrCommand.New("--every must be over 0")
	}
	if s.pids != "" {
		file, err := os.Open(s.pids)
		if err != nil {
			return ErrCommand.Wrap(err)
		}
		defer file.Close() //nolint:errcheck // the file was only read
		if s.options.Processes, err = sample.ReadProcesses(file); err != nil {
			return err
		}
	}
	var err error
	if s.options.Addresses, err = parseAddresses(s.addresses); err != nil {
		return err
	}
	s.options.Keys, err = parseKeys(s.keys)
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
