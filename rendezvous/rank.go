// Package rendezvous assigns keys to members by rendezvous hashing (highest random weight).
// Processes that know the same members choose the same ones without communicating.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a member for a key. It does not allocate.
func Weight(key uint64, member string) uint64 { return WeightByHash(key, Hash(member)) }

// WeightByHash returns the weight of a member for a key, given the member's Hash. Callers that rank
// thousands of members repeatedly store the hashes.
func WeightByHash(key, member uint64) uint64 {
	const golden, mix = 0x9e3779b97f4a7c15, 0xff51afd7ed558ccd
	h := member ^ key*golden
	h ^= h >> 33
	h *= mix
	h ^= h >> 33
	return h
}

// Hash returns the hash of a string, as a key or as a member.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Top returns the n members with the highest weights for a key in descending order, or all
// members if there are fewer than n.
func Top(key uint64, members []string, n int) []string {
	s := slices.Clone(members)
	slices.SortFunc(s, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return s[:min(n, len(s))]
}
