package admin_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPageRoutesExist calls every route of docs/ADMIN-API.md and compares its role.
func TestPageRoutesExist(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../../docs/ADMIN-API.md")
	is.NoErr(err)
	row := regexp.MustCompile("(?m)^\\| `([A-Z]+) (/admin/[^`]*)` \\| (read|change) \\|")
	rows := row.FindAllStringSubmatch(string(text), -1)
	is.Equal(len(rows), 12) // as many as the router's table has, but for "/"
	fill := strings.NewReplacer("{id}", "x", "{kind}", "team", "{name}", "kranj", "{instance}", "x", "{team}", "a", "{key}", "b")
	for _, r := range rows {
		t.Run(r[1]+" "+r[2], func(t *testing.T) {
			is := is.New(t)
			s := newSystem()
			s.bootstrap(t)
			_, _, answer := s.call(t, "ana-token", r[1], fill.Replace(r[2]), "")
			is.True(!strings.Contains(answer, "no such method and path"))
			status, _, _ := s.call(t, "bor-token", r[1], fill.Replace(r[2]), "")
			is.Equal(status == 403, r[3] == "change") // bor may only read
		})
	}
}
