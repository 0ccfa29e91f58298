package cmds

import (
	"time"

	"verbenaroad.example/share/services/procs"
)

// report returns the figures that the process publishes under /debug/vars.
func (e *Entry) report() any {
	calls := e.runner.GetCounts().GetReport()
	costs := make(map[string]float64, len(calls.Stages))
	for name, usage := range calls.Stages {
		costs[name] = usage.Cost
	}
	return map[string]any{
		"role":               "entry",
		"cost-by-stage":      costs,
		"cross-region-bytes": calls.CrossBytes,
		"sent":               calls.Sent,
		"retries":            calls.Retries,
		"resends":            calls.Resends,
		"results":            e.callerRouter.GetResults().GetCounts(),
		"calls":              calls,
		"fleet":              e.fleet.GetReport(),
		"pools":              e.policy.FindReports(time.Now()),
		"active-teams":       e.policy.CountTeams(),
		"config":             procs.DescribeConfig(e.follower),
		"store":              e.store.Stats(),
	}
}
