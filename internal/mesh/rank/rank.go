// Package rank orders names by rendezvous hashing, also known as highest random
// weight hashing (Thaler and Ravishankar, 1998). Nodes with the same membership
// view choose the same node for a role without exchanging messages.
package rank

import (
	"hash/fnv"
	"sort"
)

// Order returns the names in descending order of their score for the key; names
// with equal scores are in lexical order.
func Order(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	scores := make([]scored, 0, len(names))
	for _, name := range names {
		scores = append(scores, scored{
			name:  name,
			score: score(key, name),
		})
	}
	sort.Slice(scores, func(i, j int) bool {
		if scores[i].score != scores[j].score {
			return scores[i].score > scores[j].score
		}
		return scores[i].name < scores[j].name
	})
	ordered := make([]string, 0, len(scores))
	for _, s := range scores {
		ordered = append(ordered, s.name)
	}
	return ordered
}

// Best returns the name with the highest score for the key, the first of Order,
// or "" if names is empty.
func Best(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, name := range names {
		s := score(key, name)
		if best == "" || s > bestScore || (s == bestScore && name < best) {
			best, bestScore = name, s
		}
	}
	return best
}

// score hashes the key and the name with FNV-1a and mixes the result.
func score(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return fmix64(h.Sum64())
}

// fmix64 is the 64-bit finalizer of MurmurHash3. FNV-1a alone gives correlated
// scores to similar names.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
