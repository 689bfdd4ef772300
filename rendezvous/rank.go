// Package rendezvous chooses owners by highest random weight, so that all who
// know the same members choose the same without asking each other.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a member for a key. It does not allocate.
func Weight(key uint64, member string) uint64 { return WeightByHash(key, Hash(member)) }

// WeightByHash returns the weight of a member for a key, by the member's hash: whoever ranks thousands of
// members again and again keeps their hashes.
func WeightByHash(key, member uint64) uint64 {
	const golden, mix = 0x9e3779b97f4a7c15, 0xff51afd7ed558ccd
	h := member ^ key*golden
	h ^= h >> 33
	h *= mix
	h ^= h >> 33
	return h
}

// Hash hashes a string to a key.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Top returns the n members with the highest weight for a key, best first.
func Top(key uint64, members []string, n int) []string {
	s := slices.Clone(members)
	slices.SortFunc(s, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return s[:min(n, len(s))]
}
