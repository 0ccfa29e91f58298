package sheet

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/expr-lang/expr"

	"verbenaroad.example/vload/services/slope"
)

// Kinds of figures.
const (
	kindGiven     = "given"
	kindMeasured  = "measured"
	kindWorkedOut = "worked out"
)

const (
	// tolerance is the relative difference from which a figure counts as wrong.
	tolerance = 0.02
	digits    = 4
	fitsYes   = "yes"
	fitsNo    = "**no**"
	// baseSuffix is added to a line's name for its intercept.
	baseSuffix = "Base"
)

// Sheet works out a page.
type Sheet struct {
	page   *Page
	series *Series
	// names holds the figures of the rows so far.
	names map[string]any
	// write makes differences replace the page's figures; they are faults otherwise.
	write  bool
	faults []string
	// rows counts the rows worked out.
	rows  int
	lines []Line
}

// Line is a fitted line of a page with its points.
type Line struct {
	// Name is the row's; Series, XName and YName say where the points are from.
	Name, Series, XName, YName string
	X, Y                       []float64
	Fit                        slope.Line
}

// Result is what became of a page.
type Result struct {
	Rows int
	// Faults name the line of each difference.
	Faults []string
	Lines  []Line
}

// Check works out every row and reports the differences.
func Check(page *Page, series *Series) (Result, error) {
	return newSheet(page, series, false).run()
}

// Write works out every row and puts the figures into the page.
func Write(page *Page, series *Series) (Result, error) {
	return newSheet(page, series, true).run()
}

func newSheet(page *Page, series *Series, write bool) *Sheet {
	return &Sheet{page: page, series: series, names: map[string]any{}, write: write}
}

func (s *Sheet) run() (Result, error) {
	for _, t := range s.page.tables() {
		work := s.pick(&t)
		if work == nil {
			continue
		}
		for _, line := range t.rows {
			r, err := s.page.newRow(&t, line)
			if err != nil {
				return Result{}, err
			}
			if err := work(r); err != nil {
				return Result{}, ErrSheet.New("line %d: %w", line+1, err)
			}
			s.rows++
		}
	}
	return Result{Rows: s.rows, Faults: s.faults, Lines: s.lines}, nil
}

// pick returns what works out the rows of a table, or nil for a table of prose.
func (s *Sheet) pick(t *table) func(*row) error {
	switch {
	case t.has(columnName, columnSeries, columnX, columnY, columnSlope, columnIntercept):
		return s.workLine
	case t.has(columnName, columnValue, columnKind, columnFormula):
		return s.workFigure
	default:
		return nil
	}
}

// workLine fits the line of a row and defines its name.
func (s *Sheet) workLine(r *row) error {
	line, err := s.series.fit(r.get(columnSeries), r.get(columnX), r.get(columnY))
	if err != nil {
		return err
	}
	line.Name = r.get(columnName)
	s.lines = append(s.lines, line)
	for column, value := range figuresOf(&line.Fit) {
		s.compare(r, column, value)
	}
	if err := s.define(line.Name, line.Fit.Slope); err != nil {
		return err
	}
	return s.define(line.Name+baseSuffix, line.Fit.Intercept)
}

func figuresOf(line *slope.Line) map[string]float64 {
	return map[string]float64{
		columnSlope:          line.Slope,
		columnSlopeError:     line.SlopeError,
		columnIntercept:      line.Intercept,
		columnInterceptError: line.InterceptError,
		columnRSquared:       line.RSquared,
		columnPoints:         float64(line.Points),
	}
}

// define gives a figure its name; a name stands once on a page.
func (s *Sheet) define(name string, value float64) error {
	if _, taken := s.names[name]; taken {
		return ErrSheet.New("the name %s stands twice", name)
	}
	s.names[name] = value
	return nil
}

// workFigure works out the formula of a row and defines its name.
func (s *Sheet) workFigure(r *row) error {
	name, kind, formula := r.get(columnName), r.get(columnKind), r.get(columnFormula)
	if kind == kindGiven {
		value, err := parse(r.get(columnValue))
		if err != nil {
			return err
		}
		return s.define(name, value)
	}
	if kind != kindMeasured && kind != kindWorkedOut {
		return ErrSheet.New("%q is none of %s, %s, %s", kind, kindGiven, kindMeasured, kindWorkedOut)
	}
	value, err := s.evaluate(formula)
	if err != nil {
		return err
	}
	s.compare(r, columnValue, value)
	s.compareText(r, columnNumbers, "`"+s.inNumbers(formula)+"`")
	if err := s.workLimit(r, value); err != nil {
		return err
	}
	return s.define(name, value)
}

// workLimit holds the page to saying in bold what is over its limit.
func (s *Sheet) workLimit(r *row, value float64) error {
	text := r.get(columnLimit)
	if text == "" || text == "-" {
		return nil
	}
	limit, err := s.evaluate(text)
	if err != nil {
		return err
	}
	fits := fitsYes
	if value > limit {
		fits = fitsNo
	}
	s.compareText(r, columnFits, fits)
	return nil
}

// evaluate works out arithmetic over the names so far; mean(series, x, at, y) reads a measured point, log is the natural logarithm.
func (s *Sheet) evaluate(formula string) (float64, error) {
	env := map[string]any{"mean": s.series.mean, "log": math.Log}
	for name, value := range s.names {
		env[name] = value
	}
	program, err := expr.Compile(formula, expr.Env(env), expr.AsFloat64())
	if err != nil {
		return 0, ErrSheet.Wrap(err)
	}
	value, err := expr.Run(program, env)
	if err != nil {
		return 0, ErrSheet.Wrap(err)
	}
	number, ok := value.(float64)
	if !ok || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, ErrSheet.New("%s gives no number", formula)
	}
	return number, nil
}

// inNumbers writes the formula with the figures in the place of their names.
func (s *Sheet) inNumbers(formula string) string {
	word := regexp.MustCompile(`'[^']*'|[A-Za-z][A-Za-z0-9]*`)
	return word.ReplaceAllStringFunc(formula, func(name string) string {
		value, ok := s.names[name].(float64)
		if !ok {
			return name
		}
		return format(value)
	})
}

// compare holds a cell against a figure.
func (s *Sheet) compare(r *row, column string, value float64) {
	if !slices.Contains(r.header, column) {
		return
	}
	if s.write {
		r.set(column, format(value))
		return
	}
	stands, err := parse(r.get(column))
	if err != nil {
		s.faultf(r, "%s: %v", column, err)
		return
	}
	if math.Abs(stands-value) > tolerance*max(math.Abs(stands), math.Abs(value)) {
		s.faultf(r, "%s says %s, worked out %s", column, r.get(column), format(value))
	}
}

// compareText holds a cell against a text that follows from the figures.
func (s *Sheet) compareText(r *row, column, text string) {
	if s.write {
		r.set(column, text)
		return
	}
	if stands := r.get(column); column == columnFits && stands != text {
		s.faultf(r, "%s says %q, should say %q", column, stands, text)
	}
}

func (s *Sheet) faultf(r *row, message string, args ...any) {
	prefix := fmt.Sprintf("line %d, %s: ", r.line+1, r.get(columnName))
	s.faults = append(s.faults, prefix+fmt.Sprintf(message, args...))
}

// parse reads a figure with commas between thousands.
func parse(text string) (float64, error) {
	value, err := strconv.ParseFloat(strings.Trim(strings.ReplaceAll(text, ",", ""), "*"), 64)
	return value, ErrSheet.Wrap(err)
}

// format writes a figure with four digits that count and commas between thousands.
func format(value float64) string {
	if math.Abs(value) < 1000 {
		return strconv.FormatFloat(value, 'g', digits, 64)
	}
	whole := strconv.FormatFloat(math.Round(value), 'f', 0, 64)
	for at := len(whole) - 3; at > 0 && whole[at-1] != '-'; at -= 3 {
		whole = whole[:at] + "," + whole[at:]
	}
	return whole
}
