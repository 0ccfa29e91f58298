package codes_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/codes"
)

const pagePath = "../../../docs/RESULT-CODES.md"

const intro = `# Result codes

Made by ` + "`make docs`" + ` from ` + "`share/modules/codes`" + `; a test compares the two.

Every error body of the caller API and the operators' API has the code, its
name and an outcome; so has the end record of a stream. The HTTP status follows
from the code.

**Outcome** says what is known about the run: ` + "`ran`" + `, ` + "`not-run`" + ` (it did not run and
never will under this submission) or ` + "`unknown`" + `. Only the side that knows says
` + "`not-run`" + `. The column shows what a code says where the place that raises it knows
no better: an answer may say more, for example ` + "`deadline-exceeded`" + ` with ` + "`not-run`" + `
where the request still waited in a queue. **A caller goes by the outcome of the
answer, not by this column**:

| outcome | idempotent call | call with an Idempotency-Key |
|---|---|---|
| ` + "`not-run`" + ` | send again, after retry-after where it is given | send again with the same key |
| ` + "`ran`" + ` | send again if the answer is still wanted | send again with the same key: it does not run twice; a kept answer comes back |
| ` + "`unknown`" + ` | send again | send again with the same key; never with a new one |
`

func sections() [][2]string {
	return [][2]string{
		{"0", "Success"},
		{"1", "1xxx: the caller's request"},
		{"2", "2xxx: refused before a run"},
		{"3", "3xxx: while running"},
		{"4", "4xxx: administration"},
		{"5", "5xxx: between processes"},
	}
}

// renderPage returns the text of docs/RESULT-CODES.md.
func renderPage() string {
	text := strings.Builder{}
	text.WriteString(intro)
	for _, section := range sections() {
		text.WriteString("\n## " + section[1] + "\n\n| code | name | HTTP status | outcome | meaning |\n|---|---|---|---|---|\n")
		for _, e := range codes.List() {
			if fmt.Sprint(e.Code)[:1] == section[0] {
				fmt.Fprintf(&text, "| %d | `%s` | %d | `%s` | %s |\n", e.Code, e.Name, e.Status, e.Outcome, e.Meaning)
			}
		}
	}
	return text.String()
}

// registerUpdateFlag registers the flag -update, which make docs sets.
func registerUpdateFlag() *bool {
	return flag.Bool("update", false, "write the page")
}

func TestMain(m *testing.M) {
	update := registerUpdateFlag()
	flag.Parse()
	if *update {
		if err := os.WriteFile(pagePath, []byte(renderPage()), 0o600); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against a change of the result codes without regenerating docs/RESULT-CODES.md by make
// docs.
func TestPageMatchesCodes(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(pagePath)
	is.NoErr(err)
	is.Equal(string(text), renderPage())
}

// Guards against duplicate or unsorted codes, duplicate names, and entries without a meaning or a
// valid HTTP status.
func TestListIsConsistent(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	last := codes.Code(0)
	for n, e := range codes.List() {
		is.True(n == 0 || e.Code > last) // ascending, so no code is listed twice
		last = e.Code
		is.True(!names[e.Name])
		names[e.Name] = true
		is.True(e.Meaning != "" && e.Status >= 200 && e.Status < 600)
		is.Equal(codes.GetEntry(e.Code), e)
	}
	is.Equal(codes.Code(9999).Name(), "internal")
}
