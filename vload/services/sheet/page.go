// Package sheet works out the tables of a page of Markdown from measured series.
//
// Two kinds of tables are known by their headers. A table of lines has the
// columns name, series, x, y, slope and further figures of the fit: each row
// is fitted anew and defines its name as the slope and nameBase as the
// intercept. A table of figures has the columns name, value, kind and formula:
// a formula is arithmetic over the names above it. Other tables are left alone.
package sheet

import (
	"regexp"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// ErrSheet is the class of errors of this package.
var ErrSheet = errs.Class("capacity") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Columns of both kinds of tables.
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

// Page is the text of a page by lines.
type Page struct {
	lines []string
}

// table is a run of table rows of a page.
type table struct {
	// header holds the names of the columns; rows are indices of the page's lines.
	header []string
	rows   []int
}

// ParsePage reads a page.
func ParsePage(text string) *Page {
	return &Page{lines: strings.Split(text, "\n")}
}

// String returns the page as it stands now.
func (p *Page) String() string {
	return strings.Join(p.lines, "\n")
}

// tables finds every table: a header, a line of dashes, and rows.
func (p *Page) tables() []table {
	var all []table
	rule := regexp.MustCompile(`^\|[\s|:-]+\|$`)
	for i := 1; i < len(p.lines); i++ {
		if !rule.MatchString(p.lines[i]) || !strings.HasPrefix(p.lines[i-1], "|") {
			continue
		}
		t := table{header: splitRow(p.lines[i-1])}
		for at := i + 1; at < len(p.lines) && strings.HasPrefix(p.lines[at], "|"); at++ {
			t.rows = append(t.rows, at)
		}
		all = append(all, t)
	}
	return all
}

// has says whether a table has all of the columns.
func (t *table) has(columns ...string) bool {
	for _, column := range columns {
		if !slices.Contains(t.header, column) {
			return false
		}
	}
	return true
}

// row is one row of a table, by columns.
type row struct {
	page   *Page
	line   int
	header []string
	cells  []string
}

// newRow reads a row; every row has as many cells as the header.
func (p *Page) newRow(t *table, line int) (*row, error) {
	cells := splitRow(p.lines[line])
	if len(cells) != len(t.header) {
		return nil, ErrSheet.New("line %d: %d cells under %d columns", line+1, len(cells), len(t.header))
	}
	return &row{page: p, line: line, header: t.header, cells: cells}, nil
}

// get returns a cell without the marks of code; an empty text where there is no such column.
func (r *row) get(column string) string {
	at := slices.Index(r.header, column)
	if at < 0 {
		return ""
	}
	return strings.Trim(r.cells[at], "`")
}

// set replaces a cell in the page; a column that the table lacks is passed over.
func (r *row) set(column, text string) {
	at := slices.Index(r.header, column)
	if at < 0 {
		return
	}
	r.cells[at] = text
	r.page.lines[r.line] = "| " + strings.Join(r.cells, " | ") + " |"
}

// splitRow returns the trimmed cells of a row.
func splitRow(line string) []string {
	inner := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), "|"), "|")
	cells := strings.Split(inner, "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}
