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

func (a *app) newExplain() *ffcli.Command {
	flags := a.newFlags("explain")
	team := flags.String("team", "", "`name` of the team")
	pipeline := flags.String("pipeline", "", "`name` of the pipeline")
	stage := flags.String("stage", "", "`name` of the stage; empty: the first")
	return a.newCommand(ffcli.Command{
		Name:       "explain",
		ShortUsage: "vctl explain [flags] --team <name> --pipeline <name> [--stage <name>]",
		ShortHelp:  "show why work would go where, rule by rule",
		LongHelp: strings.TrimSpace(`
Example:
  vctl explain --team kranj --pipeline voicing-notes --stage generate`),
		FlagSet: flags,
	}, func(ctx context.Context, args []string) error {
		if len(args) > 0 || *team == "" || *pipeline == "" {
			return newUsageError("explain: want --team and --pipeline")
		}
		return a.explain(ctx, url.Values{"team": {*team}, "pipeline": {*pipeline}, "stage": {*stage}})
	})
}

func (a *app) explain(ctx context.Context, query url.Values) error {
	var e admapi.Explanation
	err := a.send(ctx, request{method: http.MethodGet, path: "/admin/v1/explain", query: query}, &e)
	if err != nil {
		return a.fail(err)
	}
	var rows [][]string
	for _, s := range e.Servers {
		rank := "-"
		if s.Chosen {
			rank = strconv.Itoa(s.Rank)
		}
		rows = append(rows, []string{rank, s.Instance, s.Region, number(s.Score), s.Wait.Value().String(), joinRules(s.Rules)})
	}
	return a.print(e, "RANK INSTANCE REGION SCORE WAIT RULES", rows)
}

// joinRules lists the rules that matched.
func joinRules(verdicts []admapi.RuleVerdict) string {
	var matched []string
	for _, v := range verdicts {
		if v.Matched {
			matched = append(matched, v.Rule+"("+string(v.Effect)+")")
		}
	}
	return orDash(strings.Join(matched, ", "))
}
