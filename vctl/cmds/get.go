package cmds

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/services/admapi"
)

func (a *app) newGet() *ffcli.Command {
	return a.newCommand(ffcli.Command{
		Name:       "get",
		ShortUsage: "vctl get [flags] [kind [name]]",
		ShortHelp:  "show documents in force",
		LongHelp: strings.TrimSpace(`
Kinds: team, pipeline, service, rule, pool, operator, limits.

Examples:
  vctl get
  vctl get team
  vctl get --output json pipeline voicing-notes`),
		FlagSet: a.newFlags("get"),
	}, a.get)
}

func (a *app) get(ctx context.Context, args []string) error {
	if len(args) > 2 {
		return newUsageError("get: want at most a kind and a name")
	}
	if len(args) > 0 && !slices.Contains(config.Kinds(), config.Kind(args[0])) {
		return newUsageError("get: %q is no kind of document", args[0])
	}
	path := "/admin/v1/config"
	for _, arg := range args {
		path += "/" + url.PathEscape(arg)
	}
	var found admapi.Config
	err := a.send(ctx, request{method: http.MethodGet, path: path}, &found)
	if err != nil {
		return a.fail(err)
	}
	if a.output == outputJSON {
		return a.printJSON(found)
	}
	a.printDocuments(found, len(args) == 2)
	return nil
}

// printDocuments lists names, or the fields of one document.
func (a *app) printDocuments(found admapi.Config, fields bool) {
	var rows [][]string
	seen := map[config.Reference]bool{}
	for _, c := range config.Diff(config.Set{}, found.Documents) {
		ref := config.Reference{Kind: c.Kind, Name: c.Name}
		switch {
		case fields:
			rows = append(rows, []string{c.Field, c.New})
		case !seen[ref]:
			rows = append(rows, []string{string(c.Kind), c.Name})
		}
		seen[ref] = true
	}
	header := "KIND NAME"
	if fields {
		header = "FIELD VALUE"
	}
	a.printTable(header, rows)
	a.printLinef("revision %d", found.Revision)
}
