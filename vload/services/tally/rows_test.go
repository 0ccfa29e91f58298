package tally_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/vload/models/report"
	"verbenaroad.example/vload/models/scene"
	"verbenaroad.example/vload/services/tally"
)

// newScenario returns a scenario with a warm-up phase, a measured phase and one class for each of
// two teams.
func newScenario() *scene.Scenario {
	return &scene.Scenario{
		Phases: []scene.Phase{
			{Name: "warm", Duration: config.Duration(time.Second), WarmUp: true},
			{Name: "load", Duration: config.Duration(2 * time.Second)},
		},
		Classes: []scene.Class{
			{Name: "drafts", Team: "estimators", Priority: config.PriorityUrgent},
			{Name: "notes", Team: "workshops"},
		},
	}
}

// figures returns the values of the rows by class and metric.
func figures(counter *tally.Counter) map[string]report.Figure {
	all := make(map[string]report.Figure)
	for _, row := range counter.Rows() {
		all[row.Class+" "+row.Metric] = row.Value
	}
	return all
}

func TestRowsByClassTeamPriorityAndPhase(t *testing.T) {
	is := is.New(t)
	counter := tally.NewCounter(newScenario())
	counter.Add(&tally.Sample{Phase: 0, Ending: tally.EndingComplete, InTime: true})
	for i := range 4 {
		latency := time.Duration(i+1) * 100 * time.Millisecond
		counter.Add(&tally.Sample{Phase: 1, Class: i % 2, Ending: tally.EndingComplete, InTime: i != 3, Latency: latency, Tokens: 10})
	}
	counter.Add(&tally.Sample{Phase: 1, Class: 0, Ending: tally.EndingNotSent})
	counter.Add(&tally.Sample{
		Phase: 1, Class: 1, Ending: tally.EndingRefused, CodeName: "overloaded", Outcome: codes.OutcomeNotRun,
		Latency: time.Millisecond, RetryAfter: 3 * time.Second,
	})
	f := figures(counter)
	is.Equal(f["all offered"], report.Figure(6))
	is.Equal(f["all attainment"], report.Figure(0.5))
	is.Equal(f["drafts attained"], report.Figure(2))
	is.Equal(f["team:workshops attained"], report.Figure(1))
	is.Equal(f["priority:urgent not-sent"], report.Figure(1))
	is.Equal(f["priority:unset refused/overloaded"], report.Figure(1))
	is.Equal(f["all refused-outcome/not-run"], report.Figure(1))
	is.Equal(f["all retry-after-mean"], report.Figure(3))
	is.Equal(f["all requests-per-second"], report.Figure(2))
	is.Equal(f["phase:load tokens-per-second"], report.Figure(20))
	_, warm := f["phase:warm offered"]
	is.True(!warm)
	// Latencies are merged over the classes; refusals and requests that were not sent have no
	// latency.
	is.True(f["all latency-p50"] > 199 && f["all latency-p50"] < 201)
	is.True(f["all latency-max"] > 399 && f["all latency-max"] < 401)
	is.True(f["drafts latency-max"] > 299 && f["drafts latency-max"] < 301)
	is.True(!f["all first-token-p50"].Available())
	// Attainment 2/3 and 1/3: (1)^2 / (2 * 5/9).
	is.True(f["all jain-teams"] > 0.899 && f["all jain-teams"] < 0.901)
}
