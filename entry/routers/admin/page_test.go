package admin_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPageRoutesExist calls every route that docs/ADMIN-API.md lists and compares the role that it
// needs.
func TestPageRoutesExist(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../../docs/ADMIN-API.md")
	is.NoErr(err)
	rowPattern := regexp.MustCompile("(?m)^\\| `([A-Z]+) (/admin/[^`]*)` \\| (read|change) \\|")
	rows := rowPattern.FindAllStringSubmatch(string(text), -1)
	is.Equal(len(rows), 12) // all routes of the router except "/"
	fill := strings.NewReplacer("{id}", "x", "{kind}", "team", "{name}", "kranj", "{instance}", "x", "{team}", "a", "{key}", "b")
	for _, row := range rows {
		t.Run(row[1]+" "+row[2], func(t *testing.T) {
			is := is.New(t)
			s := newSystem()
			s.bootstrap(t)
			_, _, answer := s.call(t, "ana-token", row[1], fill.Replace(row[2]), "")
			is.True(!strings.Contains(answer, "no such method and path"))
			status, _, _ := s.call(t, "bor-token", row[1], fill.Replace(row[2]), "")
			is.Equal(status == 403, row[3] == "change") // bor has the role "read"
		})
	}
}
