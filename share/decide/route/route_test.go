package route_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/codes"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // a constant in all but syntax

func members(n int, regions ...string) []member.Instance {
	list := make([]member.Instance, 0, n)
	for i := range n {
		region := regions[i%len(regions)]
		domain := fmt.Sprintf("%s-%d", region, i/len(regions)%2)
		name := fmt.Sprintf("agent-%02d", i)
		list = append(list, member.Instance{Name: name, Role: member.RoleAgent, Service: "model", Region: region, Domain: domain})
	}
	return list
}

func settings() route.Settings {
	s := route.DefaultSettings()
	s.Name = "entry-1"
	s.Service = "model"
	s.Region = "osrednja"
	s.RegionOrder = []string{"stajerska", "primorska"}
	return s
}

func router(s route.Settings, list []member.Instance) *route.Router {
	r := route.New(s)
	r.OnList(start, list)
	for _, m := range list {
		r.OnSession(start, m.Name, route.SessionUp, "one")
	}
	return r
}

func source(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

type forbid map[string]bool

func (f forbid) Allow(s match.Server) (int, bool) { return 0, !f[s.Name] }

type prefer map[string]int

func (p prefer) Allow(s match.Server) (int, bool) { return p[s.Name], true }

func TestChooseNeverTakesABarredAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings()
		s.Policy = rapid.SampledFrom(route.Policies()).Draw(t, "policy")
		list := members(rapid.IntRange(2, 15).Draw(t, "agents"), "osrednja", "stajerska", "primorska")
		first, second := router(s, list), router(s, list)
		seed := rapid.Uint64().Draw(t, "seed")
		one, two := source(seed), source(seed)
		barred := forbid{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(list).Draw(t, "agent").Name
			event := rapid.IntRange(0, 6).Draw(t, "event")
			for _, r := range []*route.Router{first, second} {
				apply(r, now, name, event)
			}
			if event == 6 {
				barred[name] = true
			}
			q := route.Request{Filter: barred, Budget: time.Second, Exclude: []string{list[0].Name}}
			open := make(map[string]bool)
			ejected := 0
			for _, term := range first.Explain(now, q) {
				open[term.Name] = term.Reason == route.ReasonNone
				if now.Before(term.EjectedUntil) {
					ejected++
				}
			}
			if ejected > max(1, int(s.EjectShare*float64(len(list)))) {
				t.Fatalf("%d of %d ejected", ejected, len(list))
			}
			a, errA := first.Choose(now, q, one)
			b, errB := second.Choose(now, q, two)
			if !reflect.DeepEqual(a, b) || (errA == nil) != (errB == nil) {
				t.Fatalf("equal input, but %v and %v", a, b)
			}
			if errA == nil && (!open[a.Name] || barred[a.Name] || a.Name == list[0].Name) {
				t.Fatalf("%s is barred", a.Name)
			}
			if errA != nil && slices.Contains(slices.Collect(values(open)), true) {
				t.Fatalf("refused though an agent is open: %v", errA)
			}
		}
	})
}

func values(m map[string]bool) func(func(bool) bool) {
	return func(yield func(bool) bool) {
		for _, v := range m {
			if !yield(v) {
				return
			}
		}
	}
}

func apply(r *route.Router, now time.Time, name string, event int) {
	switch event {
	case 0:
		r.OnSent(now, name)
	case 1:
		r.OnEnded(now, route.Ended{Name: name, Code: codes.OK, Cached: -1})
	case 2:
		for range 5 {
			r.OnEnded(now, route.Ended{Name: name, Code: codes.BackendFailed})
		}
	case 3:
		r.OnSession(now, name, route.SessionSilent, "")
	case 4:
		r.OnSession(now, name, route.SessionUp, "one")
	case 5:
		r.OnLeaving(now, name)
	}
}

func TestChooseLeavesTheRegionOnlyForTheDeadline(t *testing.T) {
	busy := route.Load{Running: 8, Queued: 40, Slots: 8, Wait: 400 * time.Millisecond, Service: 80 * time.Millisecond}
	idle := route.Load{Slots: 8, Service: 80 * time.Millisecond}
	cases := []struct {
		name      string
		near, far route.Load
		budget    time.Duration
		cross     bool
		fits      bool
	}{
		{"both idle", idle, idle, 150 * time.Millisecond, false, true},
		{"near busy within the budget and its margin", busy, idle, 3 * time.Second, false, true},
		{"near busy within the budget, not its margin", busy, idle, time.Second, true, true},
		{"busy everywhere within the budget", busy, busy, time.Second, false, true},
		{"near busy breaks the budget", busy, idle, 200 * time.Millisecond, true, true},
		{"busy everywhere", busy, busy, 200 * time.Millisecond, false, false},
		{"no budget", busy, idle, 0, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			list := members(12, "osrednja", "stajerska")
			r := router(settings(), list)
			for _, m := range list {
				load := tc.near
				if m.Region != "osrednja" {
					load = tc.far
				}
				r.OnReport(start, m.Name, load)
			}
			random := source(7)
			for range 50 {
				c, err := r.Choose(start, route.Request{Budget: tc.budget}, random)
				is.NoErr(err)
				is.Equal(c.CrossRegion, tc.cross)
				is.Equal(c.Fits, tc.fits)
			}
		})
	}
}

func TestReportFadesWithAge(t *testing.T) {
	is := is.New(t)
	r := router(settings(), members(1, "osrednja"))
	r.OnReport(start, "agent-00", route.Load{Running: 4, Queued: 12, Slots: 4, Service: 40 * time.Millisecond})
	var waits []int64
	for halfLives := range 5 {
		terms := r.Explain(start.Add(time.Duration(halfLives)*2*time.Second), route.Request{})
		waits = append(waits, terms[0].Wait.Milliseconds())
	}
	is.Equal(waits, []int64{130, 50, 10, 0, 0})
}

func TestPrefixGoesWhereItIsCachedUntilBusy(t *testing.T) {
	is := is.New(t)
	list := members(6, "osrednja")
	r := router(settings(), list)
	prefixes := []route.Prefix{{Digest: 9, Tokens: 2000}, {Digest: 4, Tokens: 500}}
	r.OnEnded(start, route.Ended{Name: "agent-03", Code: codes.OK, Prefixes: prefixes, Cached: -1})
	random := source(3)
	c, err := r.Choose(start, route.Request{Prefixes: prefixes}, random)
	is.NoErr(err)
	is.Equal(c.Name, "agent-03")
	is.Equal(c.ExpectedTokens, 2000)

	r.OnReport(start, "agent-03", route.Load{Running: 8, Queued: 64, Slots: 8, Service: 50 * time.Millisecond})
	c, err = r.Choose(start, route.Request{Prefixes: prefixes}, random)
	is.NoErr(err)
	is.True(c.Name != "agent-03") // a busy agent's cache is worth less than the wait
}

func TestAffinityFadesWhenTheCacheIsGone(t *testing.T) {
	is := is.New(t)
	r := router(settings(), members(2, "osrednja"))
	prefixes := []route.Prefix{{Digest: 9, Tokens: 1000}}
	bonus := func(now time.Time) time.Duration {
		for _, term := range r.Explain(now, route.Request{Prefixes: prefixes}) {
			if term.Name == "agent-01" {
				return term.Affinity
			}
		}
		return 0
	}
	r.OnEnded(start, route.Ended{Name: "agent-01", Code: codes.OK, Prefixes: prefixes, Cached: -1})
	is.Equal(bonus(start), 100*time.Millisecond)
	is.Equal(bonus(start.Add(time.Minute)), 50*time.Millisecond)
	r.OnEnded(start, route.Ended{Name: "agent-01", Code: codes.OK, Prefixes: prefixes, Expected: 1000, Cached: 0})
	is.Equal(bonus(start), 80*time.Millisecond)
	r.OnSession(start, "agent-01", route.SessionUp, "two") // a restart loses the cache
	is.Equal(bonus(start), time.Duration(0))
}

func TestEjectionGrowsAndEndsInSlowStart(t *testing.T) {
	is := is.New(t)
	s := settings()
	r := router(s, members(6, "osrednja"))
	now := start
	for round := range 3 {
		for range s.EjectFaults {
			r.OnEnded(now, route.Ended{Name: "agent-02", Code: codes.BackendLost})
		}
		term := r.Explain(now, route.Request{})[2]
		is.Equal(term.Reason, route.ReasonEjected)
		is.Equal(term.EjectedUntil.Sub(now), s.EjectBase<<round)
		now = term.EjectedUntil
		is.True(r.Explain(now, route.Request{})[2].Slow > 0)
	}
	is.Equal(r.Explain(now.Add(s.SlowStart), route.Request{})[2].Slow, time.Duration(0))
}

// A third of the callers get errors after a third of the backend servers went:
// their agents refuse at once, look idle and are chosen again and again until
// enough faults in a row have come together.
func TestAgentWithoutBackendIsEjectedAtOnce(t *testing.T) {
	is := is.New(t)
	list := members(6, "osrednja")
	r := router(settings(), list)
	for _, m := range list[:5] {
		r.OnSent(start, m.Name)
		r.OnEnded(start, route.Ended{Name: m.Name, Code: codes.NoBackend, Cached: -1})
	}
	for seed := range uint64(20) {
		choice, err := r.Choose(start, route.Request{}, source(seed))
		is.NoErr(err)
		is.Equal(choice.Name, list[5].Name)
	}
	choice, err := r.Choose(start.Add(settings().EjectBase+time.Millisecond), route.Request{Exclude: []string{list[5].Name}}, source(1))
	is.NoErr(err) // they are tried again
	is.True(choice.Name != list[5].Name)
}

func TestSubsetSpreadsKeepsFarAndWidens(t *testing.T) {
	is := is.New(t)
	s := settings()
	s.SubsetSize = 8
	s.SubsetMax = 32
	s.FarKeep = 2
	list := members(90, "osrednja", "stajerska", "primorska")
	r := router(s, list)
	byName := make(map[string]member.Instance)
	for _, m := range list {
		byName[m.Name] = m
	}
	regions, domains := map[string]int{}, map[string]int{}
	for _, name := range r.Wanted() {
		regions[byName[name].Region]++
		domains[byName[name].Domain]++
	}
	is.Equal(regions, map[string]int{"osrednja": 6, "stajerska": 2})
	is.Equal(domains["osrednja-0"], 3)

	for _, name := range r.Wanted() {
		r.OnReport(start, name, route.Load{Running: 4, Queued: 40, Slots: 4, Service: 50 * time.Millisecond})
	}
	version := r.Version()
	_, err := r.Choose(start.Add(time.Second), route.Request{}, source(1))
	is.NoErr(err)
	is.Equal(len(r.Wanted()), 16)
	is.True(r.Version() > version)
	for i := range 40 { // the load is gone: it narrows again
		_, err = r.Choose(start.Add(time.Duration(i)*10*time.Second), route.Request{}, source(1))
		is.NoErr(err)
	}
	is.Equal(len(r.Wanted()), 8)
}

func TestLeavingEndsWithANewIncarnation(t *testing.T) {
	is := is.New(t)
	r := router(settings(), members(1, "osrednja"))
	r.OnEnded(start, route.Ended{Name: "agent-00", Code: codes.Draining})
	_, err := r.Choose(start, route.Request{}, source(1))
	result, ok := err.(*codes.Result) //nolint:errorlint // the concrete type is the contract
	is.True(ok)
	is.Equal(result.Code, codes.NoBackend)
	r.OnSession(start, "agent-00", route.SessionDown, "")
	r.OnSession(start, "agent-00", route.SessionUp, "two")
	c, err := r.Choose(start, route.Request{}, source(1))
	is.NoErr(err)
	is.Equal(c.Incarnation, "two")
}

func TestEventsShowInTheTerms(t *testing.T) {
	idle := route.Load{Slots: 4, Service: time.Millisecond}
	ended := route.Ended{Name: "agent-00", Code: codes.OK, Cached: -1}
	fault := route.Ended{Name: "agent-00", Code: codes.BackendFailed}
	later := members(3, "osrednja")
	left := members(3, "osrednja")
	left[0].Leaving = true
	cases := []struct {
		name  string
		event func(r *route.Router)
		check func(term route.Term) bool
	}{
		{"sent", func(r *route.Router) { r.OnSent(start, "agent-00") }, func(m route.Term) bool { return m.Outstanding == 1 }},
		{"ended", func(r *route.Router) { r.OnSent(start, "agent-00"); r.OnEnded(start, ended) }, func(m route.Term) bool { return m.Outstanding == 0 }},
		{"own work in the report", func(r *route.Router) {
			r.OnSent(start, "agent-00")
			idle.Running = 3
			r.OnReport(start, "agent-00", idle)
		}, func(m route.Term) bool { return m.Others == 2 && m.Trust == 1 }},
		{"leaving by the list", func(r *route.Router) { r.OnList(start, left) }, func(m route.Term) bool { return m.Reason == route.ReasonLeaving }},
		{"leaving by its word", func(r *route.Router) { r.OnLeaving(start, "agent-00") }, func(m route.Term) bool { return m.Reason == route.ReasonLeaving }},
		{"missing from the list, session up", func(r *route.Router) { r.OnList(start, later[1:]) }, func(m route.Term) bool { return m.Name == "agent-00" && m.Reason == "" }},
		{"missing from the list, session down", func(r *route.Router) {
			r.OnSession(start, "agent-00", route.SessionDown, "")
			r.OnList(start, later[1:])
		}, func(m route.Term) bool { return m.Name == "agent-01" }},
		{"half of its calls fail", func(r *route.Router) {
			for range 8 {
				r.OnEnded(start, ended)
				r.OnEnded(start, fault)
			}
		}, func(m route.Term) bool { return m.Reason == route.ReasonEjected }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := router(settings(), members(3, "osrednja"))
			tc.event(r)
			is.New(t).True(tc.check(r.Explain(start, route.Request{})[0]))
		})
	}
}

func TestEjectionIsForgivenAfterGoodService(t *testing.T) {
	is := is.New(t)
	s := settings()
	r := router(s, members(4, "osrednja"))
	now := start
	for range 2 {
		for range s.EjectFaults {
			r.OnEnded(now, route.Ended{Name: "agent-01", Code: codes.BackendLost})
		}
		term := r.Explain(now, route.Request{})[1]
		is.Equal(term.EjectedUntil.Sub(now), s.EjectBase)
		now = term.EjectedUntil.Add(s.EjectBase)
		r.OnEnded(now, route.Ended{Name: "agent-01", Code: codes.OK, Cached: -1})
	}
}

func TestNewMemberStartsSlowlyOnceItsSessionIsUp(t *testing.T) {
	is := is.New(t)
	s := settings()
	r := router(s, members(2, "osrednja"))
	r.OnList(start, members(3, "osrednja"))
	up := start.Add(time.Hour)
	r.OnSession(up, "agent-02", route.SessionUp, "one")
	terms := r.Explain(up, route.Request{})
	is.Equal(terms[1].Slow, time.Duration(0))
	is.True(terms[2].Slow > 0)
}

func TestPrefixTableForgetsTheOldest(t *testing.T) {
	is := is.New(t)
	s := settings()
	s.AffinityLimit = 2
	r := router(s, members(1, "osrednja"))
	for digest := range uint64(3) {
		r.OnEnded(start, route.Ended{Name: "agent-00", Code: codes.OK, Cached: -1, Prefixes: []route.Prefix{{Digest: digest, Tokens: 10}}})
	}
	for digest, known := range []bool{false, true, true} {
		q := route.Request{Prefixes: []route.Prefix{{Digest: uint64(digest)}}}
		is.Equal(r.Explain(start, q)[0].Affinity > 0, known)
	}
}

// Every agent of a service is restarted gracefully under its old name. Callers
// are told "no backend server" for good: each agent was left out of the wanted
// sessions once it said that it leaves, and only a session shows a new incarnation.
func TestLeavingAgentIsWantedUntilItsReturnShows(t *testing.T) {
	is := is.New(t)
	list := members(2, "osrednja")
	r := router(settings(), list)
	r.OnLeaving(start, "agent-00")
	is.Equal(len(r.Wanted()), 2)
	r.OnSession(start, "agent-00", route.SessionDown, "")
	r.OnList(start, list)
	is.Equal(len(r.Wanted()), 2)
	for seed := range uint64(20) {
		c, err := r.Choose(start, route.Request{}, source(seed))
		is.NoErr(err)
		is.Equal(c.Name, "agent-01")
	}
	list[0].Leaving = true // the list knows as well: it will show the return
	r.OnList(start, list)
	is.Equal(len(r.Wanted()), 1)
	list[0].Leaving = false
	r.OnList(start, list)
	is.Equal(len(r.Wanted()), 2)
	r.OnSession(start, "agent-00", route.SessionUp, "two")
	r.OnLeaving(start, "agent-01")
	c, err := r.Choose(start, route.Request{}, source(1))
	is.NoErr(err)
	is.Equal(c.Name, "agent-00")
}

func TestRulePreferenceDecidesBetweenIdleAgents(t *testing.T) {
	is := is.New(t)
	r := router(settings(), members(8, "osrednja"))
	random := source(5)
	for range 50 {
		c, err := r.Choose(start, route.Request{Filter: prefer{"agent-06": 20}}, random)
		is.NoErr(err)
		is.Equal(c.Name, "agent-06")
	}
}
