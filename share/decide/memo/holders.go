package memo

import (
	"hash/fnv"
	"strconv"
)

// shards is the number of groups of holders. An ingress sends its memos to the holders of all groups, so
// their number limits the links that it opens, however many ingresses there are.
const shards = 4

// Shard is the number of a group of holders.
type Shard uint32

// ListShards returns all groups of holders.
func ListShards() []Shard {
	list := make([]Shard, 0, shards)
	for s := range Shard(shards) {
		list = append(list, s)
	}
	return list
}

// ShardOf returns the group of the holders of a memo.
func ShardOf(key string) Shard {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // never fails
	return Shard(h.Sum32() % shards)
}

// RankKey returns the key by which the holders of a group are ranked.
func (s Shard) RankKey() string { return "memos/" + strconv.FormatUint(uint64(s), 10) }

// ShardKey returns the key by which the holders of a memo are ranked.
func ShardKey(key string) string { return ShardOf(key).RankKey() }

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
