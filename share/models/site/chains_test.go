package site_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/site"
)

func newRoute(priority int, services ...string) site.Route {
	r := site.Route{Priority: priority}
	for i, s := range services {
		stage := site.Stage{Service: s}
		if i > 0 {
			stage.After = []int{i - 1}
		}
		r.Stages = append(r.Stages, stage)
	}
	return r
}

func TestLongChainsYieldToShorterOnes(t *testing.T) {
	plain := site.Route{Priority: 0}
	for name, c := range map[string]struct {
		routes []site.Route
		want   bool
	}{
		"no stages":                  {[]site.Route{plain}, false},
		"only short chains":          {[]site.Route{newRoute(0, "a"), newRoute(1, "a")}, false},
		"long chain is first":        {[]site.Route{newRoute(0, "a", "b", "c"), newRoute(1, "a"), newRoute(2, "a", "b", "c")}, false},
		"long chains yield":          {[]site.Route{newRoute(2, "a", "b", "c"), newRoute(0, "a"), newRoute(1, "a", "b", "c"), plain}, true},
		"equally urgent":             {[]site.Route{newRoute(1, "a", "b"), newRoute(1, "a")}, false},
		"other services":             {[]site.Route{newRoute(1, "a", "b"), newRoute(0, "d")}, false},
		"one of the long ones first": {[]site.Route{newRoute(1, "a", "b"), newRoute(0, "a"), newRoute(0, "b", "c")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal((&site.Config{Routes: c.routes}).LongChainsYield(), c.want)
		})
	}
}

// Stages that need no results of each other are one step, however many there are.
func TestIndependentStagesAreNoChain(t *testing.T) {
	is := is.New(t)
	wide := site.Route{Priority: 1, Stages: []site.Stage{{Service: "a"}, {Service: "a"}, {Service: "b", After: []int{0, 1}}}}
	is.True(!(&site.Config{Routes: []site.Route{wide, newRoute(0, "a", "b")}}).LongChainsYield())
	is.True((&site.Config{Routes: []site.Route{wide, newRoute(0, "a")}}).LongChainsYield())
}

// Guards against a chain that counts as shorter because its stages are numbered from the last to the first.
func TestNumbersOfStagesHaveNoOrder(t *testing.T) {
	is := is.New(t)
	backward := site.Route{Priority: 2, Stages: []site.Stage{{Service: "c", After: []int{1}}, {Service: "b", After: []int{2}}, {Service: "a"}}}
	is.Equal(site.OrderStages(backward.Stages), []int{2, 1, 0})
	is.Equal(site.OrderStages(newRoute(0, "a", "b", "c").Stages), []int{0, 1, 2})
	is.True((&site.Config{Routes: []site.Route{backward, newRoute(0, "a", "b")}}).LongChainsYield())
	for _, stages := range [][]site.Stage{{{After: []int{0}}}, {{After: []int{1}}, {After: []int{0}}}, {{After: []int{7}}}, {{After: []int{-1}}}} {
		is.Equal(len(site.OrderStages(stages)), 0)
	}
}
