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

func newMembers(n int, regions ...string) []member.Instance {
	list := make([]member.Instance, 0, n)
	for i := range n {
		region := regions[i%len(regions)]
		domain := fmt.Sprintf("%s-%d", region, i/len(regions)%2)
		name := fmt.Sprintf("agent-%02d", i)
		list = append(list, member.Instance{Name: name, Role: member.RoleAgent, Service: "model", Region: region, Domain: domain})
	}
	return list
}

func newSettings() route.Settings {
	s := route.DefaultSettings()
	s.Name = "entry-1"
	s.Service = "model"
	s.Region = "osrednja"
	s.RegionOrder = []string{"stajerska", "primorska"}
	return s
}

func newRouter(s route.Settings, list []member.Instance) *route.Router {
	r := route.New(s)
	r.OnMembers(start, list)
	for _, m := range list {
		r.OnSession(start, m.Name, route.SessionUp, "one")
	}
	return r
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

type forbid map[string]bool

func (f forbid) Allow(s match.Server) (int, bool) { return 0, !f[s.Name] }

type prefer map[string]int

func (p prefer) Allow(s match.Server) (int, bool) { return p[s.Name], true }

func TestChooseNeverReturnsIneligibleAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSettings()
		s.Policy = rapid.SampledFrom(route.Policies()).Draw(t, "policy")
		list := newMembers(rapid.IntRange(2, 15).Draw(t, "agents"), "osrednja", "stajerska", "primorska")
		first, second := newRouter(s, list), newRouter(s, list)
		seed := rapid.Uint64().Draw(t, "seed")
		one, two := newRandom(seed), newRandom(seed)
		forbidden := forbid{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(list).Draw(t, "agent").Name
			event := rapid.IntRange(0, 6).Draw(t, "event")
			for _, r := range []*route.Router{first, second} {
				apply(r, now, name, event)
			}
			if event == 6 {
				forbidden[name] = true
			}
			q := route.Request{Filter: forbidden, Budget: time.Second, Exclude: []string{list[0].Name}}
			eligible := make(map[string]bool)
			ejected := 0
			for _, term := range first.Explain(now, q) {
				eligible[term.Name] = term.Reason == route.ReasonNone
				if now.Before(term.EjectedUntil) {
					ejected++
				}
			}
			if ejected > max(1, int(s.MaxEjectedShare*float64(len(list)))) {
				t.Fatalf("%d of %d ejected", ejected, len(list))
			}
			a, errA := first.Choose(now, q, one)
			b, errB := second.Choose(now, q, two)
			if !reflect.DeepEqual(a, b) || (errA == nil) != (errB == nil) {
				t.Fatalf("same input and seed, but %v and %v", a, b)
			}
			if errA == nil && (!eligible[a.Name] || forbidden[a.Name] || a.Name == list[0].Name) {
				t.Fatalf("%s may not be chosen", a.Name)
			}
			if errA != nil && slices.Contains(slices.Collect(values(eligible)), true) {
				t.Fatalf("no agent chosen although one is eligible: %v", errA)
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
		r.OnEnded(now, route.CallResult{Name: name, Code: codes.OK, CachedTokens: -1})
	case 2:
		for range 5 {
			r.OnEnded(now, route.CallResult{Name: name, Code: codes.BackendFailed})
		}
	case 3:
		r.OnSession(now, name, route.SessionSilent, "")
	case 4:
		r.OnSession(now, name, route.SessionUp, "one")
	case 5:
		r.OnLeaving(now, name)
	}
}

func TestChooseLeavesRegionOnlyToMeetDeadline(t *testing.T) {
	busy := route.Load{Running: 8, Queued: 40, Slots: 8, Wait: 400 * time.Millisecond, ServiceTime: 80 * time.Millisecond}
	idle := route.Load{Slots: 8, ServiceTime: 80 * time.Millisecond}
	cases := []struct {
		name          string
		local, remote route.Load
		budget        time.Duration
		cross         bool
		withinBudget  bool
	}{
		{"both idle", idle, idle, 150 * time.Millisecond, false, true},
		{"local region busy, within the budget with the margin", busy, idle, 3 * time.Second, false, true},
		{"local region busy, within the budget only without the margin", busy, idle, time.Second, true, true},
		{"all regions busy, within the budget", busy, busy, time.Second, false, true},
		{"only the local region over the budget", busy, idle, 200 * time.Millisecond, true, true},
		{"all regions busy, over the budget", busy, busy, 200 * time.Millisecond, false, false},
		{"no budget", busy, idle, 0, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			list := newMembers(12, "osrednja", "stajerska")
			r := newRouter(newSettings(), list)
			for _, m := range list {
				load := tc.local
				if m.Region != "osrednja" {
					load = tc.remote
				}
				r.OnReport(start, m.Name, load)
			}
			random := newRandom(7)
			for range 50 {
				c, err := r.Choose(start, route.Request{Budget: tc.budget}, random)
				is.NoErr(err)
				is.Equal(c.CrossRegion, tc.cross)
				is.Equal(c.WithinBudget, tc.withinBudget)
			}
		})
	}
}

func TestReportIsDiscountedByAge(t *testing.T) {
	is := is.New(t)
	r := newRouter(newSettings(), newMembers(1, "osrednja"))
	r.OnReport(start, "agent-00", route.Load{Running: 4, Queued: 12, Slots: 4, ServiceTime: 40 * time.Millisecond})
	var waits []int64
	for halfLives := range 5 {
		terms := r.Explain(start.Add(time.Duration(halfLives)*2*time.Second), route.Request{})
		waits = append(waits, terms[0].Wait.Milliseconds())
	}
	is.Equal(waits, []int64{130, 50, 10, 0, 0})
}

func TestCachedPrefixAttractsRequestsUntilAgentIsBusy(t *testing.T) {
	is := is.New(t)
	list := newMembers(6, "osrednja")
	r := newRouter(newSettings(), list)
	prefixes := []route.Prefix{{Digest: 9, Tokens: 2000}, {Digest: 4, Tokens: 500}}
	r.OnEnded(start, route.CallResult{Name: "agent-03", Code: codes.OK, Prefixes: prefixes, CachedTokens: -1})
	random := newRandom(3)
	c, err := r.Choose(start, route.Request{Prefixes: prefixes}, random)
	is.NoErr(err)
	is.Equal(c.Name, "agent-03")
	is.Equal(c.ExpectedTokens, 2000)

	r.OnReport(start, "agent-03", route.Load{Running: 8, Queued: 64, Slots: 8, ServiceTime: 50 * time.Millisecond})
	c, err = r.Choose(start, route.Request{Prefixes: prefixes}, random)
	is.NoErr(err)
	is.True(c.Name != "agent-03") // a busy agent's cache is worth less than the wait
}

func TestAffinityDecaysAndEndsWithRestart(t *testing.T) {
	is := is.New(t)
	r := newRouter(newSettings(), newMembers(2, "osrednja"))
	prefixes := []route.Prefix{{Digest: 9, Tokens: 1000}}
	bonus := func(now time.Time) time.Duration {
		for _, term := range r.Explain(now, route.Request{Prefixes: prefixes}) {
			if term.Name == "agent-01" {
				return term.Affinity
			}
		}
		return 0
	}
	r.OnEnded(start, route.CallResult{Name: "agent-01", Code: codes.OK, Prefixes: prefixes, CachedTokens: -1})
	is.Equal(bonus(start), 100*time.Millisecond)
	is.Equal(bonus(start.Add(time.Minute)), 50*time.Millisecond)
	r.OnEnded(start, route.CallResult{Name: "agent-01", Code: codes.OK, Prefixes: prefixes, ExpectedTokens: 1000, CachedTokens: 0})
	is.Equal(bonus(start), 80*time.Millisecond)
	r.OnSession(start, "agent-01", route.SessionUp, "two") // a restart loses the cache
	is.Equal(bonus(start), time.Duration(0))
}

func TestEjectionTimeDoublesAndSlowStartFollows(t *testing.T) {
	is := is.New(t)
	s := newSettings()
	r := newRouter(s, newMembers(6, "osrednja"))
	now := start
	for round := range 3 {
		for range s.EjectConsecutiveFaults {
			r.OnEnded(now, route.CallResult{Name: "agent-02", Code: codes.BackendLost})
		}
		term := r.Explain(now, route.Request{})[2]
		is.Equal(term.Reason, route.ReasonEjected)
		is.Equal(term.EjectedUntil.Sub(now), s.BaseEjectionTime<<round)
		now = term.EjectedUntil
		is.True(r.Explain(now, route.Request{})[2].SlowStartPenalty > 0)
	}
	is.Equal(r.Explain(now.Add(s.SlowStart), route.Request{})[2].SlowStartPenalty, time.Duration(0))
}

// Guards against routing to agents whose backend server is gone. They refuse calls at once and look
// idle, so they would be chosen again until they had enough consecutive faults: with a third of the
// backend servers gone, a third of the callers would get errors.
func TestAgentWithoutBackendIsEjectedImmediately(t *testing.T) {
	is := is.New(t)
	list := newMembers(6, "osrednja")
	r := newRouter(newSettings(), list)
	for _, m := range list[:5] {
		r.OnSent(start, m.Name)
		r.OnEnded(start, route.CallResult{Name: m.Name, Code: codes.NoBackend, CachedTokens: -1})
	}
	for seed := range uint64(20) {
		choice, err := r.Choose(start, route.Request{}, newRandom(seed))
		is.NoErr(err)
		is.Equal(choice.Name, list[5].Name)
	}
	choice, err := r.Choose(start.Add(newSettings().BaseEjectionTime+time.Millisecond), route.Request{Exclude: []string{list[5].Name}}, newRandom(1))
	is.NoErr(err) // the ejections have expired
	is.True(choice.Name != list[5].Name)
}

func TestSubsetSpreadsReservesRemoteAndWidens(t *testing.T) {
	is := is.New(t)
	s := newSettings()
	s.SubsetSize = 8
	s.SubsetMax = 32
	s.RemoteReserve = 2
	list := newMembers(90, "osrednja", "stajerska", "primorska")
	r := newRouter(s, list)
	byName := make(map[string]member.Instance)
	for _, m := range list {
		byName[m.Name] = m
	}
	regions, domains := map[string]int{}, map[string]int{}
	for _, name := range r.WantedAgents() {
		regions[byName[name].Region]++
		domains[byName[name].Domain]++
	}
	is.Equal(regions, map[string]int{"osrednja": 6, "stajerska": 2})
	is.Equal(domains["osrednja-0"], 3)

	for _, name := range r.WantedAgents() {
		r.OnReport(start, name, route.Load{Running: 4, Queued: 40, Slots: 4, ServiceTime: 50 * time.Millisecond})
	}
	version := r.SubsetVersion()
	_, err := r.Choose(start.Add(time.Second), route.Request{}, newRandom(1))
	is.NoErr(err)
	is.Equal(len(r.WantedAgents()), 16)
	is.True(r.SubsetVersion() > version)
	for i := range 40 { // the load reports have aged: the subset narrows again
		_, err = r.Choose(start.Add(time.Duration(i)*10*time.Second), route.Request{}, newRandom(1))
		is.NoErr(err)
	}
	is.Equal(len(r.WantedAgents()), 8)
}

func TestLeavingEndsWithNewIncarnation(t *testing.T) {
	is := is.New(t)
	r := newRouter(newSettings(), newMembers(1, "osrednja"))
	r.OnEnded(start, route.CallResult{Name: "agent-00", Code: codes.Draining})
	_, err := r.Choose(start, route.Request{}, newRandom(1))
	result, ok := err.(*codes.Result) //nolint:errorlint // the concrete type is the contract
	is.True(ok)
	is.Equal(result.Code, codes.NoBackend)
	r.OnSession(start, "agent-00", route.SessionDown, "")
	r.OnSession(start, "agent-00", route.SessionUp, "two")
	c, err := r.Choose(start, route.Request{}, newRandom(1))
	is.NoErr(err)
	is.Equal(c.Incarnation, "two")
}

func TestEventsShowInExplanations(t *testing.T) {
	idle := route.Load{Slots: 4, ServiceTime: time.Millisecond}
	ended := route.CallResult{Name: "agent-00", Code: codes.OK, CachedTokens: -1}
	fault := route.CallResult{Name: "agent-00", Code: codes.BackendFailed}
	members := newMembers(3, "osrednja")
	leavingMembers := newMembers(3, "osrednja")
	leavingMembers[0].Leaving = true
	cases := []struct {
		name  string
		event func(r *route.Router)
		check func(term route.Explanation) bool
	}{
		{"sent", func(r *route.Router) { r.OnSent(start, "agent-00") }, func(m route.Explanation) bool { return m.Outstanding == 1 }},
		{"ended", func(r *route.Router) { r.OnSent(start, "agent-00"); r.OnEnded(start, ended) }, func(m route.Explanation) bool { return m.Outstanding == 0 }},
		{"own calls in the report", func(r *route.Router) {
			r.OnSent(start, "agent-00")
			idle.Running = 3
			r.OnReport(start, "agent-00", idle)
		}, func(m route.Explanation) bool { return m.OtherLoad == 2 && m.ReportWeight == 1 }},
		{"leaving in the member list", func(r *route.Router) { r.OnMembers(start, leavingMembers) }, func(m route.Explanation) bool { return m.Reason == route.ReasonLeaving }},
		{"leaving by its own report", func(r *route.Router) { r.OnLeaving(start, "agent-00") }, func(m route.Explanation) bool { return m.Reason == route.ReasonLeaving }},
		{"not in the member list, session up", func(r *route.Router) { r.OnMembers(start, members[1:]) }, func(m route.Explanation) bool { return m.Name == "agent-00" && m.Reason == "" }},
		{"not in the member list, session down", func(r *route.Router) {
			r.OnSession(start, "agent-00", route.SessionDown, "")
			r.OnMembers(start, members[1:])
		}, func(m route.Explanation) bool { return m.Name == "agent-01" }},
		{"half of its calls fail", func(r *route.Router) {
			for range 8 {
				r.OnEnded(start, ended)
				r.OnEnded(start, fault)
			}
		}, func(m route.Explanation) bool { return m.Reason == route.ReasonEjected }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newRouter(newSettings(), newMembers(3, "osrednja"))
			tc.event(r)
			is.New(t).True(tc.check(r.Explain(start, route.Request{})[0]))
		})
	}
}

func TestEjectionTimeShrinksAfterSuccessfulService(t *testing.T) {
	is := is.New(t)
	s := newSettings()
	r := newRouter(s, newMembers(4, "osrednja"))
	now := start
	for range 2 {
		for range s.EjectConsecutiveFaults {
			r.OnEnded(now, route.CallResult{Name: "agent-01", Code: codes.BackendLost})
		}
		term := r.Explain(now, route.Request{})[1]
		is.Equal(term.EjectedUntil.Sub(now), s.BaseEjectionTime)
		now = term.EjectedUntil.Add(s.BaseEjectionTime)
		r.OnEnded(now, route.CallResult{Name: "agent-01", Code: codes.OK, CachedTokens: -1})
	}
}

func TestNewMemberStartsSlowlyFromSessionUp(t *testing.T) {
	is := is.New(t)
	s := newSettings()
	r := newRouter(s, newMembers(2, "osrednja"))
	r.OnMembers(start, newMembers(3, "osrednja"))
	up := start.Add(time.Hour)
	r.OnSession(up, "agent-02", route.SessionUp, "one")
	terms := r.Explain(up, route.Request{})
	is.Equal(terms[1].SlowStartPenalty, time.Duration(0))
	is.True(terms[2].SlowStartPenalty > 0)
}

func TestAffinityTableEvictsOldestPrefix(t *testing.T) {
	is := is.New(t)
	s := newSettings()
	s.AffinityLimit = 2
	r := newRouter(s, newMembers(1, "osrednja"))
	for digest := range uint64(3) {
		r.OnEnded(start, route.CallResult{Name: "agent-00", Code: codes.OK, CachedTokens: -1, Prefixes: []route.Prefix{{Digest: digest, Tokens: 10}}})
	}
	for digest, known := range []bool{false, true, true} {
		q := route.Request{Prefixes: []route.Prefix{{Digest: uint64(digest)}}}
		is.Equal(r.Explain(start, q)[0].Affinity > 0, known)
	}
}

// Guards against a graceful restart of all agents of a service after which callers get "no backend
// server" forever. This happens if the entry keeps no session to an agent that announced that it is
// leaving, since only a session shows the incarnation that follows under the same name.
func TestLeavingAgentIsWantedUntilItRejoins(t *testing.T) {
	is := is.New(t)
	list := newMembers(2, "osrednja")
	r := newRouter(newSettings(), list)
	r.OnLeaving(start, "agent-00")
	is.Equal(len(r.WantedAgents()), 2)
	r.OnSession(start, "agent-00", route.SessionDown, "")
	r.OnMembers(start, list)
	is.Equal(len(r.WantedAgents()), 2)
	for seed := range uint64(20) {
		c, err := r.Choose(start, route.Request{}, newRandom(seed))
		is.NoErr(err)
		is.Equal(c.Name, "agent-01")
	}
	list[0].Leaving = true // the list marks it as leaving too, and will show when it rejoins
	r.OnMembers(start, list)
	is.Equal(len(r.WantedAgents()), 1)
	list[0].Leaving = false
	r.OnMembers(start, list)
	is.Equal(len(r.WantedAgents()), 2)
	r.OnSession(start, "agent-00", route.SessionUp, "two")
	r.OnLeaving(start, "agent-01")
	c, err := r.Choose(start, route.Request{}, newRandom(1))
	is.NoErr(err)
	is.Equal(c.Name, "agent-00")
}

func TestRulePreferenceDecidesBetweenIdleAgents(t *testing.T) {
	is := is.New(t)
	r := newRouter(newSettings(), newMembers(8, "osrednja"))
	random := newRandom(5)
	for range 50 {
		c, err := r.Choose(start, route.Request{Filter: prefer{"agent-06": 20}}, random)
		is.NoErr(err)
		is.Equal(c.Name, "agent-06")
	}
}
