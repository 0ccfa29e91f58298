package cmds

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/services/admapi"
)

func (a *app) newDrain() *ffcli.Command {
	return a.newCommand(ffcli.Command{
		Name:       "drain",
		ShortUsage: "vctl drain [flags] <instance>",
		ShortHelp:  "stop new work of an instance; what runs ends by itself",
		LongHelp: strings.TrimSpace(`
Example:
  vctl drain agent-llm-07`),
		FlagSet: a.newFlags("drain"),
	}, a.drain)
}

func (a *app) drain(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return newUsageError("drain: want one instance")
	}
	var drain admapi.Drain
	err := a.send(ctx, request{method: http.MethodPost, path: "/admin/v1/drains/" + url.PathEscape(args[0]), command: true}, &drain)
	if err != nil {
		return a.fail(err)
	}
	rows := [][]string{{drain.Instance, drain.State, strconv.Itoa(drain.Running)}}
	return a.print(drain, "INSTANCE STATE RUNNING", rows)
}
