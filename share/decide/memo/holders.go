package memo

import (
	"hash/fnv"
	"strconv"
)

// shards is the number of groups of holders. An ingress sends its memos to the holders of all groups, so
// their number limits the links that it opens, however many ingresses there are.
const shards = 4

// ShardKey returns the key by which the holders of a memo are ranked.
func ShardKey(key string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // never fails
	return "memos/" + strconv.FormatUint(uint64(h.Sum32()%shards), 10)
}

// Holder is an ingress that may hold memos of others.
type Holder struct {
	Name   string
	Domain string
}

// OrderHolders orders the holders of a memo, given in the order of their score for its ShardKey: the first of
// each failure domain, then the second of each, and so on. A memo is sent to the first few, so that the
// loss of a domain leaves a copy, and looked up in the same order. The loss of a holder moves none of the
// others towards the end.
func OrderHolders(ranked []Holder) []string {
	places := make([]int, len(ranked))
	perDomain := map[string]int{}
	rounds := 0
	for i, h := range ranked {
		places[i] = perDomain[h.Domain]
		perDomain[h.Domain]++
		rounds = max(rounds, perDomain[h.Domain])
	}
	ordered := make([]string, 0, len(ranked))
	for round := range rounds {
		for i, h := range ranked {
			if places[i] == round {
				ordered = append(ordered, h.Name)
			}
		}
	}
	return ordered
}
