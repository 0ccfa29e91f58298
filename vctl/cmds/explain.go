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
	stage := flags.String("stage", "", "`name` of the stage; empty: all stages of the pipeline")
	service := flags.String("service", "", "`name` of the service, for direct calls")
	return a.newCommand(ffcli.Command{
		Name:       "explain",
		ShortUsage: "vctl explain [flags] --team <name> (--pipeline <name> [--stage <name>] | --service <name>)",
		ShortHelp:  "show which backend servers would get work and why, rule by rule",
		LongHelp: strings.TrimSpace(`
Eligible backend servers come first, the lowest score before the others:
score = wait + slow - affinity - preference. The rules that apply are shown
with + if they match the backend server, - if they do not, and ! if they
exclude it.

Examples:
  vctl explain --team kranj --pipeline voicing-notes
  vctl explain --team kranj --service orders`),
		FlagSet: flags,
	}, func(ctx context.Context, args []string) error {
		exactlyOne := (*pipeline == "") != (*service == "")
		if len(args) > 0 || *team == "" || !exactlyOne {
			return newUsageError("explain: want --team, and either --pipeline or --service")
		}
		query := url.Values{"team": {*team}}
		for name, value := range map[string]string{"pipeline": *pipeline, "stage": *stage, "service": *service} {
			if value != "" {
				query.Set(name, value)
			}
		}
		return a.explain(ctx, query)
	})
}

func (a *app) explain(ctx context.Context, query url.Values) error {
	var e admapi.Explanation
	err := a.send(ctx, request{method: http.MethodGet, path: "/admin/v1/explain", query: query}, &e)
	if err != nil {
		return a.reportError(err)
	}
	if a.output == outputJSON {
		return a.printJSON(e)
	}
	a.printLinef("team %s, revision %d", e.Team, e.Revision)
	for _, s := range e.Stages {
		if s.Stage == "" {
			a.printLinef("\nservice %s", s.Service)
		} else {
			a.printLinef("\npipeline %s, stage %s, service %s", s.Pipeline, s.Stage, s.Service)
		}
		a.printServers(s.Servers)
	}
	return nil
}

func (a *app) printServers(servers []admapi.ServerExplanation) {
	rows := make([][]string, 0, len(servers))
	for _, s := range servers {
		rank := "-"
		if s.Eligible {
			rank = strconv.Itoa(s.Rank)
		}
		rows = append(rows, []string{
			rank, s.Instance, s.Region, orDash(s.Reason), s.Score.Value().String(), s.Wait.Value().String(),
			s.SlowStartPenalty.Value().String(), s.Affinity.Value().String(), s.Preference.Value().String(), formatRules(s.Rules),
		})
	}
	a.printTable("RANK INSTANCE REGION REASON SCORE WAIT SLOW AFFINITY PREFERENCE RULES", rows)
}

// formatRules lists the rules that apply, each with its effect and a mark: "!" if it excludes the
// backend server, "+" if it matches it, "-" if it does not.
func formatRules(verdicts []admapi.RuleVerdict) string {
	formatted := make([]string, 0, len(verdicts))
	for _, v := range verdicts {
		mark := "-"
		switch {
		case v.Drops:
			mark = "!"
		case v.Matched:
			mark = "+"
		}
		formatted = append(formatted, mark+v.Rule+"("+string(v.Effect)+")")
	}
	return orDash(strings.Join(formatted, " "))
}
