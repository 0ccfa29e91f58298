package sheet_test

import (
	"strings"
	"testing"
	"testing/fstest"

	"github.com/matryer/is"

	"verbenaroad.example/vload/services/sheet"
)

const page = `# Page

| name | series | x | y | slope | slope-error | intercept | intercept-error | r-squared | points |
|---|---|---|---|---|---|---|---|---|---|
| beat | peers | peers | bytes | 2 | 0 | 3 | 0 | 1 | 4 |

| name | what | value | kind | formula | in numbers | limit | fits |
|---|---|---|---|---|---|---|---|
| sessions | given by the target | 1,000 | given | - | - | - | - |
| all | bytes | 2,003 | worked out | ` + "`beat * sessions + beatBase`" + ` | | 8000 | yes |
| some | bytes at 10 | 23 | measured | ` + "`mean('peers', 'peers', 10, 'bytes')`" + ` | | 20 | **no** |

| prose | of any kind |
|---|---|
| left | alone |
`

func newSeries() *sheet.Series {
	text := "peers,bytes\n10,23\n30,63\n100,203\n300,603\n"
	return sheet.NewSeries(fstest.MapFS{"peers.csv": &fstest.MapFile{Data: []byte(text)}})
}

func TestCheckAcceptsMatchingPage(t *testing.T) {
	is := is.New(t)
	result, err := sheet.Check(sheet.ParsePage(page), newSeries())
	is.NoErr(err)
	is.Equal(len(result.Mismatches), 0)
	is.Equal(result.Rows, 4)
}

func TestCheckReportsMismatches(t *testing.T) {
	tests := map[string]struct{ old, replacement, mismatch string }{
		"slope differs by over 2%": {"| 2 | 0 | 3", "| 2.05 | 0 | 3", "line 5, beat: slope"},
		"value differs by over 2%": {"2,003", "2,050", "line 10, all: value"},
		"over limit but says yes":  {"| 8000 | yes", "| 2000 | yes", "line 10, all: fits"},
		"within limit but says no": {"| 20 | **no**", "| 30 | **no**", "line 11, some: fits"},
		"no is not bold":           {"**no**", "no", "line 11, some: fits"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result, err := sheet.Check(sheet.ParsePage(strings.Replace(page, test.old, test.replacement, 1)), newSeries())
			is.NoErr(err)
			is.Equal(len(result.Mismatches), 1)
			is.True(strings.HasPrefix(result.Mismatches[0], test.mismatch))
		})
	}
}

func TestCheckAcceptsDifferencesUpToTwoPercent(t *testing.T) {
	is := is.New(t)
	result, err := sheet.Check(sheet.ParsePage(strings.Replace(page, "2,003", "2,040", 1)), newSeries())
	is.NoErr(err)
	is.Equal(len(result.Mismatches), 0)
}

func TestCheckRejectsInvalidPages(t *testing.T) {
	tests := map[string]struct{ old, replacement string }{
		"unknown name":   {"beat * sessions", "beats * sessions"},
		"unknown series": {"| beat | peers |", "| beat | pears |"},
		"missing point":  {"'peers', 10", "'peers', 11"},
		"name twice":     {"| some |", "| all |"},
		"unknown kind":   {"| measured |", "| guessed |"},
		"missing cell":   {"| 8000 | yes |", "| 8000 |"},
		"no number":      {"1,000", "many"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(page, test.old))
			_, err := sheet.Check(sheet.ParsePage(strings.Replace(page, test.old, test.replacement, 1)), newSeries())
			is.True(err != nil)
		})
	}
}

func TestCheckAcceptsWrittenPage(t *testing.T) {
	is := is.New(t)
	stale := strings.NewReplacer("2,003", "1", "| 2 | 0 | 3 |", "| | | |", "| yes |", "| |").Replace(page)
	written := sheet.ParsePage(stale)
	_, err := sheet.Write(written, newSeries())
	is.NoErr(err)
	is.True(strings.Contains(written.String(), "| `2 * 1,000 + 3` | 8000 | yes |"))
	is.True(strings.Contains(written.String(), "| left | alone |"))
	result, err := sheet.Check(sheet.ParsePage(written.String()), newSeries())
	is.NoErr(err)
	is.Equal(len(result.Mismatches), 0)
}
