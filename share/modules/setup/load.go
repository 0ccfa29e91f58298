// Package setup reads a process's settings: flags go before environment
// variables, those before the TOML file. A key of the file is the name of a
// flag, its table the part before the dot.
package setup

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/peterbourgon/ff/v3"
	"github.com/zeebo/errs"
)

// ErrSetup is the class of errors of this package.
var ErrSetup = errs.Class("settings") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Section is one table of the settings file.
type Section interface {
	// Register declares a flag for each key of the section.
	Register(fs *flag.FlagSet)
	// Check returns one error for each value that is out of range.
	Check() []error
}

// Options says where settings come from.
type Options struct {
	// Program is the name that usage and messages show.
	Program string
	// Args are the command-line arguments without the program's name.
	Args []string
	// Output takes usage texts.
	Output io.Writer
}

// Result tells the program what to do with the settings that were read.
type Result struct {
	// CheckOnly is set by --check-config: the settings are sound and the program should exit.
	CheckOnly bool
}

// NewFlagSet returns the flags of the sections, for Load and for checks of example files.
func NewFlagSet(program string, sections []Section) *flag.FlagSet {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	for _, s := range sections {
		s.Register(fs)
	}
	return fs
}

// Load fills the sections and returns every fault of the settings at once.
func Load(sections []Section, options Options) (Result, error) {
	fs := NewFlagSet(options.Program, sections)
	fs.SetOutput(options.Output)
	result := Result{}
	path := fs.String("config", "", "TOML `file` of settings")
	fs.BoolVar(&result.CheckOnly, "check-config", false, "check the settings and exit")
	file := &fileParser{}
	err := ff.Parse(fs, options.Args,
		ff.WithEnvVarPrefix("VERBENA"),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(file.parse),
	)
	var faults errs.Group
	faults.Add(err)
	faults.Add(prefixAll(*path, file.faults)...)
	for _, s := range sections {
		faults.Add(s.Check()...)
	}
	return result, ErrSetup.Wrap(faults.Err())
}

// LoadOrExit loads the settings and ends the process where there is nothing to run:
// status 0 after --check-config or --help, 2 with every fault printed when the settings are unsound.
func LoadOrExit(sections []Section, options Options) {
	result, err := Load(sections, options)
	if err != nil && strings.Contains(err.Error(), flag.ErrHelp.Error()) {
		os.Exit(0)
	}
	if err != nil {
		printFaults(options, err)
		os.Exit(2)
	}
	if result.CheckOnly {
		_, _ = fmt.Fprintf(options.Output, "%s: settings are sound\n", options.Program)
		os.Exit(0)
	}
}

func printFaults(options Options, err error) {
	for _, line := range strings.Split(err.Error(), "; ") {
		_, _ = fmt.Fprintf(options.Output, "%s: %s\n", options.Program, strings.TrimPrefix(line, "settings: "))
	}
}

func prefixAll(path string, faults []error) []error {
	out := make([]error, 0, len(faults))
	for _, fault := range faults {
		out = append(out, errs.New("%s:%v", path, fault))
	}
	return out
}

// fileParser hands each key of a TOML file to ff and collects the faults instead of ending at the first.
type fileParser struct {
	faults []error
}

func (p *fileParser) parse(r io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return ErrSetup.Wrap(err)
	}
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		key := joinKey(node)
		if node.Kind != unstable.KeyValue {
			table = key + "."
			continue
		}
		line := lineOf(data, node)
		if err := set(table+key, valueText(node.Value())); err != nil {
			p.faults = append(p.faults, errs.New("%d: %s: %v", line, table+key, err))
		}
	}
	if err := parser.Error(); err != nil {
		p.faults = append(p.faults, errs.New("not TOML: %v", err))
	}
	return nil
}

func joinKey(node *unstable.Node) string {
	parts := []string{}
	for it := node.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

func lineOf(data []byte, node *unstable.Node) int {
	it := node.Key()
	it.Next()
	offset := int(it.Node().Raw.Offset)
	return 1 + strings.Count(string(data[:offset]), "\n")
}

// valueText returns the value as a flag takes it: an array becomes a list with commas.
func valueText(node *unstable.Node) string {
	if node.Kind != unstable.Array {
		return string(node.Data)
	}
	parts := []string{}
	for it := node.Children(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ",")
}
