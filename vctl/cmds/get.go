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
		ShortHelp:  "show documents of the configuration in force",
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
	var answer admapi.Config
	err := a.send(ctx, request{method: http.MethodGet, path: path}, &answer)
	if err != nil {
		return a.reportError(err)
	}
	if a.output == outputJSON {
		return a.printJSON(answer)
	}
	a.printDocuments(answer, len(args) == 2)
	return nil
}

// printDocuments lists the kinds and names of the documents, or the fields of the only document if
// fields is set.
func (a *app) printDocuments(answer admapi.Config, fields bool) {
	var rows [][]string
	seen := map[config.Reference]bool{}
	for _, c := range config.Diff(config.Set{}, answer.Documents) {
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
	a.printLinef("revision %d", answer.Revision)
}
