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
		ShortHelp:  "show instances, committed capacity and stages as one entry sees them",
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
		return a.fail(err)
	}
	if a.output == outputJSON {
		return a.printJSON(s)
	}
	a.printLinef("%s: revision %d, confirmed %s ago, %s", s.Instance, s.Revision, s.ConfirmedAge.Value(), s.Use)
	a.printInstances(s.Instances)
	a.printPools(s.Pools)
	a.printStages(s.Stages)
	return nil
}

func (a *app) printInstances(instances []admapi.InstanceStatus) {
	var rows [][]string
	for _, i := range instances {
		rows = append(rows, []string{
			i.Name, i.Role, orDash(i.Service), i.Region, i.Domain, i.State, strconv.FormatUint(i.Revision, 10),
			strconv.Itoa(i.Running), strconv.Itoa(i.Queued), strconv.Itoa(i.Slots), i.Wait.Value().String(),
		})
	}
	a.printTable("INSTANCE ROLE SERVICE REGION DOMAIN STATE REVISION RUNNING QUEUED SLOTS WAIT", rows)
}

func (a *app) printPools(pools []admapi.PoolStatus) {
	var rows [][]string
	for _, p := range pools {
		rows = append(rows, []string{p.Name, number(p.Committed), number(p.Used), number(p.Idle), number(p.Beyond)})
	}
	a.printTable("POOL COMMITTED USED IDLE BEYOND", rows)
}

func (a *app) printStages(stages []admapi.StageStatus) {
	var rows [][]string
	for _, s := range stages {
		rows = append(rows, []string{s.Team, s.Pipeline, s.Stage, strconv.FormatUint(s.Calls, 10), strconv.FormatUint(s.Met, 10), number(s.Cost)})
	}
	a.printTable("TEAM PIPELINE STAGE CALLS MET COST", rows)
}

func number(v float64) string {
	return fmt.Sprintf("%.2f", v)
}
