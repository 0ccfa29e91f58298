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

// subsetOfRouter returns the subset that the router of an entry chooses.
func subsetOfRouter(entry string, members []member.Instance) []string {
	s := route.DefaultSettings()
	s.Name, s.Service, s.Region = entry, "llm", "north"
	s.SubsetSize, s.RemoteReserve = subsetSize, 0
	r := route.New(s)
	r.OnMembers(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), members)
	return r.WantedAgents()
}

// subsetOfShuffle returns the subset that results from a shuffle seeded with the entry's name.
func subsetOfShuffle(entry string, members []member.Instance) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(entry), 1))
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:subsetSize]
}

// replacedSessionShare returns the share of all entries' sessions that a change of the list
// replaces.
func replacedSessionShare(subset func(string, []member.Instance) []string, before, after []member.Instance) float64 {
	replaced := 0
	for n := range manyEntries {
		entry := fmt.Sprintf("entry-%d", n)
		old := subset(entry, before)
		for _, name := range subset(entry, after) {
			if !slices.Contains(old, name) {
				replaced++
			}
		}
	}
	return float64(replaced) / (manyEntries * subsetSize)
}

// Guards against subsets that depend on the position in the member list. Each time an instance
// joined or left, every entry would choose other agents, open new sessions and know nothing of
// their load or caches, and callers would see slow answers.
func TestSubsetIsStableWhenOneAgentChanges(t *testing.T) {
	is := is.New(t)
	all := manyMembers()
	const step = 20
	changes, rendezvous, shuffle := 0, 0.0, 0.0
	for removed := 0; removed < manyAgents; removed += step {
		remaining := slices.Delete(slices.Clone(all), removed, removed+1)
		rendezvous += replacedSessionShare(subsetOfRouter, all, remaining) + replacedSessionShare(subsetOfRouter, remaining, all)
		shuffle += replacedSessionShare(subsetOfShuffle, all, remaining) + replacedSessionShare(subsetOfShuffle, remaining, all)
		changes += 2
	}
	rendezvous, shuffle = rendezvous/float64(changes), shuffle/float64(changes)
	t.Logf("one agent of %d leaves or joins, mean of %d changes: rendezvous hashing replaces %.3f %% of the sessions, a seeded shuffle %.1f %%",
		manyAgents, changes, 100*rendezvous, 100*shuffle)
	is.True(rendezvous < 2.0/manyAgents)
	is.True(shuffle > 0.5)
}

// Shows why teams are not hashed to agents: all requests of a large team would go to one agent, or
// with buckets to a few, which would answer late while the others are idle.
func TestHashingTeamToAgentsConcentratesLoad(t *testing.T) {
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
		t.Logf("%d bucket(s) for a team with 90 %% of the requests over 20 agents: the most loaded agent gets %.1f %%, an even share is 5 %%", c.buckets, 100*share)
		is.True(share > c.least)
	}
}
