// Package setup loads the settings of a process. Flags override environment variables, which
// override the TOML file. A flag is named after the table and the key of the file, with a dot
// between them.
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
	// Register adds a flag for each key of the section to fs.
	Register(fs *flag.FlagSet)
	// Check returns one error for each value that is out of range.
	Check() []error
}

// Options configure Load and LoadOrExit.
type Options struct {
	// Program is the name of the program in usage texts and messages.
	Program string
	// Args are the command-line arguments without the program's name.
	Args []string
	// Output receives usage texts, faults and the version.
	Output io.Writer
}

// Result states whether the program should exit instead of running with the settings.
type Result struct {
	// CheckOnly is set by --check-config: the program should exit once the settings are checked.
	CheckOnly bool
	// VersionOnly is set by --version: the program should print its version and exit.
	VersionOnly bool
}

// NewFlagSet returns the flags of the sections. Load uses it, and so do tests of example files.
func NewFlagSet(program string, sections []Section) *flag.FlagSet {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	for _, s := range sections {
		s.Register(fs)
	}
	return fs
}

// Faults holds all faults of the settings of a process.
type Faults []error

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads the settings into the sections. It returns all faults at once, as Faults. The fault of
// a key that the file contains begins with the file and the line.
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
		return result, nil // the program does not use the settings
	}
	var faults Faults
	if err != nil {
		faults = append(faults, err)
	}
	// The flag package stops at the first argument that is not a flag and ignores the rest.
	if fs.NArg() > 0 {
		faults = append(faults, errs.New("unexpected argument %q: settings come only from flags, environment variables and the file", fs.Arg(0)))
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

// LoadOrExit loads the settings. It ends the process with status 0 after --check-config, --version
// or --help, and with status 2 after it printed all faults if the settings are invalid.
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
		_, _ = fmt.Fprintf(options.Output, "%s: settings are valid\n", options.Program)
		os.Exit(0)
	}
}

func printFaults(options Options, err error) {
	for _, line := range strings.Split(err.Error(), "\n") {
		_, _ = fmt.Fprintf(options.Output, "%s: %s\n", options.Program, line)
	}
}

// fileParser passes each key of a TOML file to ff and collects all faults instead of stopping at
// the first.
type fileParser struct {
	flags  *flag.FlagSet
	faults []error
	// lines holds the line number of each key of the file.
	lines map[string]int
	// reported holds the keys that have a fault in faults.
	reported map[string]bool
}

func (p *fileParser) parse(r io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return ErrSetup.Wrap(err)
	}
	p.reported = map[string]bool{}
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
		p.setKey(table+key, keyLine(data, node), valueText(node.Value()), set)
	}
	if err := parser.Error(); err != nil {
		p.faults = append(p.faults, errs.New("%d: not TOML: %v", errorLine(data, err), err))
	}
	return nil
}

// setKey sets the value of one key. It rejects a duplicate key, because the second value would
// silently override the first.
func (p *fileParser) setKey(key string, line int, text string, set func(name, value string) error) {
	first, duplicate := p.lines[key]
	if duplicate {
		p.report(key, line, errs.New("stands already in line %d", first))
		return
	}
	p.lines[key] = line
	keyFlag := p.flags.Lookup(key)
	if keyFlag == nil {
		p.report(key, line, errs.New("unknown key"))
		return
	}
	if err := set(key, text); err != nil {
		p.report(key, line, errs.New("%q: want %s", text, describeExpected(keyFlag)))
	}
}

func (p *fileParser) report(key string, line int, fault error) {
	p.reported[key] = true
	p.faults = append(p.faults, errs.New("%d: %s: %v", line, key, fault))
}

// locate prefixes a fault that begins with a key of the file with the file and the line. It returns
// nil for a key that parse has already reported.
func (p *fileParser) locate(path string, fault error) []error {
	key, _, _ := strings.Cut(fault.Error(), ":")
	if p.reported[key] {
		return nil
	}
	if line, found := p.lines[key]; found {
		return []error{errs.New("%s:%d: %v", path, line, fault)}
	}
	return []error{fault}
}

// describeExpected returns a description of the values that a flag accepts.
func describeExpected(f *flag.Flag) string {
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

// errorLine returns the line at which the parser failed, or 1 if err does not give the place.
func errorLine(data []byte, err error) int {
	var parserError *unstable.ParserError
	if !errors.As(err, &parserError) || len(parserError.Highlight) == 0 {
		return 1
	}
	for offset := range data {
		if &data[offset] == &parserError.Highlight[0] {
			return 1 + strings.Count(string(data[:offset]), "\n")
		}
	}
	return 1
}

// joinKey returns the key of an expression, its parts joined with dots.
func joinKey(node *unstable.Node) string {
	parts := []string{}
	for it := node.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

// keyLine returns the line number of the key of an expression.
func keyLine(data []byte, node *unstable.Node) int {
	it := node.Key()
	it.Next()
	offset := int(it.Node().Raw.Offset)
	return 1 + strings.Count(string(data[:offset]), "\n")
}

// valueText returns a value in the form that flags parse: an array becomes a comma-separated list.
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
