package cmds

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/services/admapi"
)

func (a *app) newHistory() *ffcli.Command {
	return a.newCommand(ffcli.Command{
		Name:       "history",
		ShortUsage: "vctl history [flags]",
		ShortHelp:  "show the last accepted changes, newest first",
		LongHelp: strings.TrimSpace(`
Example:
  vctl history --output json`),
		FlagSet: a.newFlags("history"),
	}, a.history)
}

func (a *app) history(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return newUsageError("history takes no arguments")
	}
	var history admapi.History
	err := a.send(ctx, request{method: http.MethodGet, path: "/admin/v1/history"}, &history)
	if err != nil {
		return a.reportError(err)
	}
	var rows [][]string
	for _, c := range history.Changes {
		rows = append(rows, []string{strconv.FormatUint(c.Revision, 10), c.Time.Format(time.RFC3339), c.Operator, c.ChangeID})
	}
	return a.print(history, "REVISION TIME OPERATOR CHANGE", rows)
}
