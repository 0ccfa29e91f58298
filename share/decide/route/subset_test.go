package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/rhash"
)

const (
	manyAgents  = 200
	manyEntries = 40
	manyDomains = 7
	subsetSize  = 12
)

func manyMembers() []member.Instance {
	members := make([]member.Instance, 0, manyAgents)
	for n := range manyAgents {
		members = append(members, member.Instance{
			Name:    fmt.Sprintf("llm-%d", n),
			Role:    member.RoleAgent,
			Service: "llm",
			Region:  "north",
			Domain:  fmt.Sprintf("north-%d", n%manyDomains),
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	return members
}

// byRouter is the subset of an entry as the router keeps it.
func byRouter(entry string, members []member.Instance) []string {
	s := route.DefaultSettings()
	s.Name, s.Service, s.Region = entry, "llm", "north"
	s.SubsetSize, s.FarKeep = subsetSize, 0
	r := route.New(s)
	r.OnList(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), members)
	return r.Wanted()
}

// byShuffle is the subset that a shuffle seeded with the entry's name gives.
func byShuffle(entry string, members []member.Instance) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(entry), 1))
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:subsetSize]
}

// movedSessions is the share of all entries' sessions that a change of the list replaces.
func movedSessions(subset func(string, []member.Instance) []string, before, after []member.Instance) float64 {
	moved := 0
	for n := range manyEntries {
		entry := fmt.Sprintf("entry-%d", n)
		old := subset(entry, before)
		for _, name := range subset(entry, after) {
			if !slices.Contains(old, name) {
				moved++
			}
		}
	}
	return float64(moved) / (manyEntries * subsetSize)
}

// Callers see slow answers each time an instance comes or goes: every entry
// takes other agents, opens new sessions and knows nothing of their load or
// caches. The cause is a rule for subsets by position in the list.
func TestSubsetStaysWhenOneAgentChanges(t *testing.T) {
	is := is.New(t)
	all := manyMembers()
	const step = 20
	changes, ours, shuffle := 0, 0.0, 0.0
	for gone := 0; gone < manyAgents; gone += step {
		less := slices.Delete(slices.Clone(all), gone, gone+1)
		ours += movedSessions(byRouter, all, less) + movedSessions(byRouter, less, all)
		shuffle += movedSessions(byShuffle, all, less) + movedSessions(byShuffle, less, all)
		changes += 2
	}
	ours, shuffle = ours/float64(changes), shuffle/float64(changes)
	t.Logf("one agent of %d leaves or joins, mean of %d changes: rendezvous hashing replaces %.3f %% of the sessions, a seeded shuffle %.1f %%",
		manyAgents, changes, 100*ours, 100*shuffle)
	is.True(ours < 2.0/manyAgents)
	is.True(shuffle > 0.5)
}

// One agent answers late while others idle: a large team's work always goes to
// the agent that the hash of its name names, and buckets of it to a few.
func TestHashingATeamToAgentsConcentratesItsLoad(t *testing.T) {
	is := is.New(t)
	names := make([]string, 0, 20)
	for n := range 20 {
		names = append(names, fmt.Sprintf("llm-%d", n))
	}
	const requests, hot = 10000, 9000
	for _, c := range []struct {
		buckets int
		least   float64
	}{{1, 0.9}, {16, 0.08}} {
		load := map[string]int{}
		for n := range requests {
			key := fmt.Sprintf("cold-%d", n)
			if n < hot {
				key = "hot:" + strconv.Itoa(n%c.buckets)
			}
			load[rhash.Pick(key, names, 1)[0]]++
		}
		most := 0
		for _, count := range load {
			most = max(most, count)
		}
		share := float64(most) / requests
		t.Logf("%d bucket(s) of a team with 90 %% of the requests over 20 agents: the most loaded gets %.1f %%, an even share is 5 %%", c.buckets, 100*share)
		is.True(share > c.least)
	}
}
