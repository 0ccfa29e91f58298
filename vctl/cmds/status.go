package cmds

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/services/admapi"
)

func (a *app) newStatus() *ffcli.Command {
	return a.newCommand(ffcli.Command{
		Name:       "status",
		ShortUsage: "vctl status [flags]",
		ShortHelp:  "show instances, committed capacity and stages as one entry reports them",
		LongHelp: strings.TrimSpace(`
Example:
  vctl status --server 127.0.0.1:8081`),
		FlagSet: a.newFlags("status"),
	}, a.status)
}

func (a *app) status(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return newUsageError("status takes no arguments")
	}
	var s admapi.Status
	err := a.send(ctx, request{method: http.MethodGet, path: "/admin/v1/status"}, &s)
	if err != nil {
		return a.reportError(err)
	}
	if a.output == outputJSON {
		return a.printJSON(s)
	}
	a.printLinef("%s: revision %d, confirmed %s ago, %s", s.Instance, s.Revision, s.ConfirmedAge.Value(), s.Readiness)
	a.printInstances(s.Instances)
	a.printPools(s.Pools)
	a.printTeams(s.Teams)
	a.printStages(s.Stages)
	a.printResults(s.Results)
	return nil
}

func (a *app) printInstances(instances []admapi.InstanceStatus) {
	var rows [][]string
	for _, i := range instances {
		rows = append(rows, []string{
			i.Name, i.Role, orDash(i.Service), i.Region, i.Domain, string(i.State), strconv.FormatUint(i.Revision, 10),
			strconv.Itoa(i.Running), strconv.Itoa(i.Queued), strconv.Itoa(i.Slots), i.Wait.Value().String(),
		})
	}
	a.printTable("INSTANCE ROLE SERVICE REGION DOMAIN STATE REVISION RUNNING QUEUED SLOTS WAIT", rows)
}

func (a *app) printPools(pools []admapi.PoolStatus) {
	var rows [][]string
	for _, p := range pools {
		rows = append(rows, []string{
			p.Name, p.Window.Value().String(), formatNumber(p.Committed), formatNumber(p.Used), formatNumber(p.Idle),
			formatNumber(p.Beyond), formatNumber(p.CommittedSpend), formatNumber(p.BeyondSpend),
		})
	}
	a.printLinef("")
	a.printTable("POOL WINDOW COMMITTED USED IDLE BEYOND COMMITTED-SPEND BEYOND-SPEND", rows)
}

func (a *app) printTeams(teams []admapi.TeamUsage) {
	var rows [][]string
	for _, t := range teams {
		rows = append(rows, []string{t.Pool, t.Stage, t.Team, formatNumber(t.Used), formatNumber(t.Beyond)})
	}
	a.printLinef("")
	a.printTable("POOL STAGE TEAM USED BEYOND", rows)
}

func (a *app) printStages(stages []admapi.StageUsage) {
	var rows [][]string
	for _, s := range stages {
		rows = append(rows, []string{
			s.Stage, strconv.FormatUint(s.Runs, 10), formatNumber(s.Cost), strconv.FormatUint(s.Tokens, 10),
			s.Busy.Value().String(), s.Queued.Value().String(),
		})
	}
	a.printLinef("")
	a.printTable("SERVICE/STAGE RUNS COST TOKENS BUSY QUEUED", rows)
}

func (a *app) printResults(results []admapi.ResultCount) {
	var rows [][]string
	for _, r := range results {
		rows = append(rows, []string{r.Name, strconv.FormatUint(r.Count, 10)})
	}
	a.printLinef("")
	a.printTable("RESULT REQUESTS", rows)
}

func formatNumber(v float64) string {
	return fmt.Sprintf("%.2f", v)
}
