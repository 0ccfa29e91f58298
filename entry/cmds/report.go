package cmds

import (
	"time"

	"verbenaroad.example/share/services/procs"
)

// report is the process's expvar.
func (e *Entry) report() any {
	calls := e.runner.GetCounts().GetReport()
	costs := make(map[string]float64, len(calls.Stages))
	for name, use := range calls.Stages {
		costs[name] = use.Cost
	}
	return map[string]any{
		"role":               "entry",
		"cost-by-stage":      costs,
		"cross-region-bytes": calls.CrossBytes,
		"sent":               calls.Sent,
		"retries":            calls.Retries,
		"resends":            calls.Resends,
		"results":            e.router.GetResults().GetCounts(),
		"calls":              calls,
		"fleet":              e.fleet.GetReport(),
		"pools":              e.policy.FindReports(time.Now()),
		"active-teams":       e.policy.CountTeams(),
		"config":             procs.DescribeConfig(e.follower),
		"store":              e.store.Stats(),
	}
}
