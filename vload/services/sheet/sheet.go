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

// Kinds of figures in the kind column.
const (
	kindGiven      = "given"
	kindMeasured   = "measured"
	kindCalculated = "worked out"
)

const (
	// tolerance is the largest relative difference at which a figure still counts as equal.
	tolerance = 0.02
	digits    = 4
	fitsYes   = "yes"
	fitsNo    = "**no**"
	// baseSuffix is appended to the name of a line to form the name of its intercept.
	baseSuffix = "Base"
)

// Sheet recalculates the tables of one page.
type Sheet struct {
	page   *Page
	series *Series
	// values holds the figures that are defined so far, by name.
	values map[string]any
	// write makes recalculated figures replace those of the page. Without it, differences are
	// recorded.
	write      bool
	mismatches []string
	// rows counts the recalculated rows.
	rows  int
	lines []Line
}

// Line is a fitted line of a page with the points it was fitted to.
type Line struct {
	// Name is the name of the row. XName and YName are the columns of Series that hold the points.
	Name, Series, XName, YName string
	X, Y                       []float64
	Fit                        slope.Line
}

// Result is the outcome of recalculating a page.
type Result struct {
	// Rows is the number of recalculated rows.
	Rows int
	// Mismatches describes each difference with its line.
	Mismatches []string
	Lines      []Line
}

// Check recalculates every row and reports the differences from the page.
func Check(page *Page, series *Series) (Result, error) {
	return newSheet(page, series, false).run()
}

// Write recalculates every row and writes the figures into the page.
func Write(page *Page, series *Series) (Result, error) {
	return newSheet(page, series, true).run()
}

// newSheet returns a sheet without values.
func newSheet(page *Page, series *Series, write bool) *Sheet {
	return &Sheet{page: page, series: series, values: map[string]any{}, write: write}
}

// run recalculates every row of the page in order.
func (s *Sheet) run() (Result, error) {
	for _, t := range s.page.tables() {
		evaluateRow := s.rowEvaluator(&t)
		if evaluateRow == nil {
			continue
		}
		for _, line := range t.rows {
			r, err := s.page.newRow(&t, line)
			if err != nil {
				return Result{}, err
			}
			if err := evaluateRow(r); err != nil {
				return Result{}, ErrSheet.New("line %d: %w", line+1, err)
			}
			s.rows++
		}
	}
	return Result{Rows: s.rows, Mismatches: s.mismatches, Lines: s.lines}, nil
}

// rowEvaluator returns the function that recalculates the rows of a table, or nil for any other
// table.
func (s *Sheet) rowEvaluator(t *table) func(*row) error {
	switch {
	case t.hasColumns(columnName, columnSeries, columnX, columnY, columnSlope, columnIntercept):
		return s.evaluateLine
	case t.hasColumns(columnName, columnValue, columnKind, columnFormula):
		return s.evaluateFigure
	default:
		return nil
	}
}

// evaluateLine fits the line of a row and defines the names of its slope and intercept.
func (s *Sheet) evaluateLine(r *row) error {
	line, err := s.series.fit(r.get(columnSeries), r.get(columnX), r.get(columnY))
	if err != nil {
		return err
	}
	line.Name = r.get(columnName)
	s.lines = append(s.lines, line)
	for column, value := range fitFigures(&line.Fit) {
		s.compare(r, column, value)
	}
	if err := s.define(line.Name, line.Fit.Slope); err != nil {
		return err
	}
	return s.define(line.Name+baseSuffix, line.Fit.Intercept)
}

// fitFigures returns the figures of a fitted line by column.
func fitFigures(line *slope.Line) map[string]float64 {
	return map[string]float64{
		columnSlope:          line.Slope,
		columnSlopeError:     line.SlopeError,
		columnIntercept:      line.Intercept,
		columnInterceptError: line.InterceptError,
		columnRSquared:       line.RSquared,
		columnPoints:         float64(line.Points),
	}
}

// define sets the value of a name. It fails if the name is already defined on the page.
func (s *Sheet) define(name string, value float64) error {
	if _, taken := s.values[name]; taken {
		return ErrSheet.New("the name %s is defined twice", name)
	}
	s.values[name] = value
	return nil
}

// evaluateFigure evaluates the formula of a row and defines its name. Given figures are taken from
// the page.
func (s *Sheet) evaluateFigure(r *row) error {
	name, kind, formula := r.get(columnName), r.get(columnKind), r.get(columnFormula)
	if kind == kindGiven {
		value, err := parse(r.get(columnValue))
		if err != nil {
			return err
		}
		return s.define(name, value)
	}
	if kind != kindMeasured && kind != kindCalculated {
		return ErrSheet.New("%q is none of %s, %s, %s", kind, kindGiven, kindMeasured, kindCalculated)
	}
	value, err := s.evaluate(formula)
	if err != nil {
		return err
	}
	s.compare(r, columnValue, value)
	s.compareText(r, columnNumbers, "`"+s.substituteValues(formula)+"`")
	if err := s.checkLimit(r, value); err != nil {
		return err
	}
	return s.define(name, value)
}

// checkLimit evaluates the limit of a row, if it has one, and compares the cell that states whether
// the value is within it. A value above its limit must have a bold no.
func (s *Sheet) checkLimit(r *row, value float64) error {
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

// evaluate evaluates an arithmetic expression over the names that are defined so far. In it,
// mean(series, x, at, y) is the mean of y over the points of a series with x = at, and log is the
// natural logarithm.
func (s *Sheet) evaluate(formula string) (float64, error) {
	env := map[string]any{"mean": s.series.mean, "log": math.Log}
	for name, value := range s.values {
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
		return 0, ErrSheet.New("%s does not evaluate to a finite number", formula)
	}
	return number, nil
}

// substituteValues returns the formula with each name replaced by its value. Quoted texts stay.
func (s *Sheet) substituteValues(formula string) string {
	token := regexp.MustCompile(`'[^']*'|[A-Za-z][A-Za-z0-9]*`)
	return token.ReplaceAllStringFunc(formula, func(name string) string {
		value, ok := s.values[name].(float64)
		if !ok {
			return name
		}
		return format(value)
	})
}

// compare records a mismatch if a cell differs from the value by more than the tolerance; with
// write, it replaces the cell instead. It ignores columns that the table does not have.
func (s *Sheet) compare(r *row, column string, value float64) {
	if !slices.Contains(r.header, column) {
		return
	}
	if s.write {
		r.set(column, format(value))
		return
	}
	current, err := parse(r.get(column))
	if err != nil {
		s.mismatchf(r, "%s: %v", column, err)
		return
	}
	if math.Abs(current-value) > tolerance*max(math.Abs(current), math.Abs(value)) {
		s.mismatchf(r, "%s says %s, worked out %s", column, r.get(column), format(value))
	}
}

// compareText records a mismatch if the fits column differs from the text; with write, it replaces
// the cell instead. Texts of other columns are written but not checked.
func (s *Sheet) compareText(r *row, column, text string) {
	if s.write {
		r.set(column, text)
		return
	}
	if current := r.get(column); column == columnFits && current != text {
		s.mismatchf(r, "%s says %q, should say %q", column, current, text)
	}
}

// mismatchf records a mismatch with the line and the name of its row.
func (s *Sheet) mismatchf(r *row, message string, args ...any) {
	prefix := fmt.Sprintf("line %d, %s: ", r.line+1, r.get(columnName))
	s.mismatches = append(s.mismatches, prefix+fmt.Sprintf(message, args...))
}

// parse parses a number with commas between thousands. It ignores the asterisks of bold type.
func parse(text string) (float64, error) {
	value, err := strconv.ParseFloat(strings.Trim(strings.ReplaceAll(text, ",", ""), "*"), 64)
	return value, ErrSheet.Wrap(err)
}

// format formats a number below 1,000 with four significant digits, and any other as an integer
// with commas between thousands.
func format(value float64) string {
	if math.Abs(value) < 1000 {
		return strconv.FormatFloat(value, 'g', digits, 64)
	}
	text := strconv.FormatFloat(math.Round(value), 'f', 0, 64)
	for at := len(text) - 3; at > 0 && text[at-1] != '-'; at -= 3 {
		text = text[:at] + "," + text[at:]
	}
	return text
}
