// Package setup reads a process's settings: flags go before environment
// variables, those before the TOML file. A key of the file is the name of a
// flag, its table the part before the dot.
package setup

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

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
	// VersionOnly is set by --version: the program prints its version and should exit.
	VersionOnly bool
}

// NewFlagSet returns the flags of the sections, for Load and for checks of example files.
func NewFlagSet(program string, sections []Section) *flag.FlagSet {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	for _, s := range sections {
		s.Register(fs)
	}
	return fs
}

// Faults are all faults of a process's settings.
type Faults []error

// Error joins the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Load fills the sections and returns every fault of the settings at once, as
// Faults, each with the file and line of its key where the file holds it.
func Load(sections []Section, options Options) (Result, error) {
	fs := NewFlagSet(options.Program, sections)
	fs.SetOutput(options.Output)
	result := Result{}
	path := fs.String("config", "", "TOML `file` of settings")
	fs.BoolVar(&result.CheckOnly, "check-config", false, "check the settings and exit")
	fs.BoolVar(&result.VersionOnly, "version", false, "print the version and exit")
	file := &fileParser{flags: fs, lines: map[string]int{}}
	err := ff.Parse(fs, options.Args,
		ff.WithEnvVarPrefix("VERBENA"),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(file.parse),
	)
	if errors.Is(err, flag.ErrHelp) {
		return result, err
	}
	if result.VersionOnly {
		return result, nil // the settings do not matter
	}
	var faults Faults
	if err != nil {
		faults = append(faults, err)
	}
	// The flag package stops at the first word that is no flag and drops what follows.
	if fs.NArg() > 0 {
		faults = append(faults, errs.New("unexpected argument %q: settings are flags, variables and the file only", fs.Arg(0)))
	}
	for _, fault := range file.faults {
		faults = append(faults, errs.New("%s:%v", *path, fault))
	}
	for _, s := range sections {
		for _, fault := range s.Check() {
			faults = append(faults, file.locate(*path, fault)...)
		}
	}
	if len(faults) > 0 {
		return result, faults
	}
	return result, nil
}

// LoadOrExit loads the settings and ends the process where there is nothing to run:
// status 0 after --check-config, --version or --help, 2 with every fault printed when the settings are unsound.
func LoadOrExit(sections []Section, options Options) {
	result, err := Load(sections, options)
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(0)
	}
	if err != nil {
		printFaults(options, err)
		os.Exit(2)
	}
	if result.VersionOnly {
		_, _ = fmt.Fprintln(options.Output, DescribeVersion(options.Program))
		os.Exit(0)
	}
	if result.CheckOnly {
		_, _ = fmt.Fprintf(options.Output, "%s: settings are sound\n", options.Program)
		os.Exit(0)
	}
}

func printFaults(options Options, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		_, _ = fmt.Fprintf(options.Output, "%s: %s\n", options.Program, line)
	}
}

// fileParser hands each key of a TOML file to ff and collects the faults instead of ending at the first.
type fileParser struct {
	flags  *flag.FlagSet
	faults []error
	// lines holds the line of each key of the file.
	lines map[string]int
	// bad holds the keys whose fault is told already.
	bad map[string]bool
}

func (p *fileParser) parse(r io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return ErrSetup.Wrap(err)
	}
	p.bad = map[string]bool{}
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
		p.take(table+key, lineOf(data, node), valueText(node.Value()), set)
	}
	if err := parser.Error(); err != nil {
		p.faults = append(p.faults, errs.New("%d: not TOML: %v", failedLine(data, err), err))
	}
	return nil
}

// take sets one key. A key that stands twice is refused, since the second
// would silently win over the first.
func (p *fileParser) take(key string, line int, text string, set func(name, value string) error) {
	first, twice := p.lines[key]
	if twice {
		p.report(key, line, errs.New("stands already in line %d", first))
		return
	}
	p.lines[key] = line
	known := p.flags.Lookup(key)
	if known == nil {
		p.report(key, line, errs.New("unknown key"))
		return
	}
	if err := set(key, text); err != nil {
		p.report(key, line, errs.New("%q: want %s", text, describeValue(known)))
	}
}

func (p *fileParser) report(key string, line int, fault error) {
	p.bad[key] = true
	p.faults = append(p.faults, errs.New("%d: %s: %v", line, key, fault))
}

// locate puts file and line before a fault that begins with a key of the
// file; one of a key that could not even be read is told already.
func (p *fileParser) locate(path string, fault error) []error {
	key, _, _ := strings.Cut(fault.Error(), ":")
	if p.bad[key] {
		return nil
	}
	if line, found := p.lines[key]; found {
		return []error{errs.New("%s:%d: %v", path, line, fault)}
	}
	return []error{fault}
}

// describeValue says what a flag takes.
func describeValue(f *flag.Flag) string {
	unit, _ := flag.UnquoteUsage(f)
	getter, _ := f.Value.(flag.Getter)
	var value any
	if getter != nil {
		value = getter.Get()
	}
	switch value.(type) {
	case time.Duration:
		return "a duration with its unit, such as 250ms or 2s"
	case int:
		return "a whole number"
	case float64:
		return "a number"
	case bool:
		return "true or false"
	}
	if strings.HasPrefix(unit, "ip:port") {
		return "ip:port with an IP number; host names are refused"
	}
	return unit
}

// failedLine returns the line at which the parser gave up, 1 where it doesn't say.
func failedLine(data []byte, err error) int {
	var failed *unstable.ParserError
	if !errors.As(err, &failed) || len(failed.Highlight) == 0 {
		return 1
	}
	for offset := range data {
		if &data[offset] == &failed.Highlight[0] {
			return 1 + strings.Count(string(data[:offset]), "\n")
		}
	}
	return 1
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
