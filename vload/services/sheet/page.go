// Package sheet recalculates the tables of a Markdown page from measured series.
//
// It recognizes two kinds of tables by their headers. A table of lines has the columns name,
// series, x, y, slope, intercept and optionally further figures of the fit. Each row is fitted
// again; it defines its name as the slope and the name with the suffix Base as the intercept. A
// table of figures has the columns name, value, kind and formula. A formula is arithmetic over the
// names that are defined above it. Other tables are ignored.
package sheet

import (
	"regexp"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// ErrSheet is the class of errors of this package.
var ErrSheet = errs.Class("capacity") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Names of the columns of both kinds of tables.
const (
	columnName           = "name"
	columnSeries         = "series"
	columnX              = "x"
	columnY              = "y"
	columnSlope          = "slope"
	columnSlopeError     = "slope-error"
	columnIntercept      = "intercept"
	columnInterceptError = "intercept-error"
	columnRSquared       = "r-squared"
	columnPoints         = "points"
	columnValue          = "value"
	columnKind           = "kind"
	columnFormula        = "formula"
	columnNumbers        = "in numbers"
	columnLimit          = "limit"
	columnFits           = "fits"
)

// Page is a Markdown page, split into lines.
type Page struct {
	lines []string
}

// table is one table of a page.
type table struct {
	// header holds the names of the columns; rows holds the indices of the page's lines.
	header []string
	rows   []int
}

// ParsePage splits the text of a page into lines.
func ParsePage(text string) *Page {
	return &Page{lines: strings.Split(text, "\n")}
}

// String returns the current text of the page.
func (p *Page) String() string {
	return strings.Join(p.lines, "\n")
}

// tables returns every table: a header, a line of dashes and the rows.
func (p *Page) tables() []table {
	var all []table
	separator := regexp.MustCompile(`^\|[\s|:-]+\|$`)
	for i := 1; i < len(p.lines); i++ {
		if !separator.MatchString(p.lines[i]) || !strings.HasPrefix(p.lines[i-1], "|") {
			continue
		}
		t := table{header: splitRow(p.lines[i-1])}
		for line := i + 1; line < len(p.lines) && strings.HasPrefix(p.lines[line], "|"); line++ {
			t.rows = append(t.rows, line)
		}
		all = append(all, t)
	}
	return all
}

// hasColumns reports whether the table has all of the columns.
func (t *table) hasColumns(columns ...string) bool {
	for _, column := range columns {
		if !slices.Contains(t.header, column) {
			return false
		}
	}
	return true
}

// row is one row of a table.
type row struct {
	page   *Page
	line   int
	header []string
	cells  []string
}

// newRow parses the row at a line of the page. It fails unless the row has as many cells as the
// header.
func (p *Page) newRow(t *table, line int) (*row, error) {
	cells := splitRow(p.lines[line])
	if len(cells) != len(t.header) {
		return nil, ErrSheet.New("line %d: %d cells under %d columns", line+1, len(cells), len(t.header))
	}
	return &row{page: p, line: line, header: t.header, cells: cells}, nil
}

// get returns a cell without the backquotes of inline code, or an empty text if there is no such
// column.
func (r *row) get(column string) string {
	index := slices.Index(r.header, column)
	if index < 0 {
		return ""
	}
	return strings.Trim(r.cells[index], "`")
}

// set replaces a cell in the page. It does nothing if the table has no such column.
func (r *row) set(column, text string) {
	index := slices.Index(r.header, column)
	if index < 0 {
		return
	}
	r.cells[index] = text
	r.page.lines[r.line] = "| " + strings.Join(r.cells, " | ") + " |"
}

// splitRow returns the cells of a row without surrounding space.
func splitRow(line string) []string {
	inner := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "|"), "|")
	cells := strings.Split(inner, "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}
