// Package sparrank ranks candidates for a hash slot by rendezvous hashing.
//
// The order depends only on the names, so every VM computes the same one. Adding or
// removing a candidate moves only the slots of that candidate:
//
//	names := []uint64{sparrank.Hash("a"), sparrank.Hash("b"), sparrank.Hash("c")}
//	order := sparrank.Order(17, names) // indices into names, best first
package sparrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// splitmixIncrement is 2^64 divided by the golden ratio, the increment of splitmix64.
const splitmixIncrement = 0x9E3779B97F4A7C15

// Hash returns the hash of the name of a candidate.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Weight returns the weight of a candidate for a slot. The highest weight ranks first.
func Weight(slot int, name uint64) uint64 {
	x := name ^ (uint64(slot)+1)*splitmixIncrement
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

// Best returns the index of the first candidate for slot that keep accepts, or -1.
func Best(slot int, names []uint64, keep func(i int) bool) int {
	best := -1
	var topWeight uint64
	for i, name := range names {
		w := Weight(slot, name)
		if (best < 0 || w > topWeight) && keep(i) {
			best, topWeight = i, w
		}
	}
	return best
}

// Order returns the indices of names, best first.
func Order(slot int, names []uint64) []int {
	order := make([]int, len(names))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(Weight(slot, names[b]), Weight(slot, names[a]))
	})
	return order
}

// Assign assigns each slot to one of names so that no candidate gets more than an equal
// share, rounded up. It assigns the slots in order, each to its best ranked candidate
// below that quota, so that adding or removing a candidate moves little more than the
// share of that candidate. It returns indices into names, or nil if names is empty.
func Assign(slots int, names []uint64) []int {
	if len(names) == 0 {
		return nil
	}
	quota := (slots + len(names) - 1) / len(names)
	counts := make([]int, len(names))
	assigned := make([]int, slots)
	for slot := range assigned {
		best := Best(slot, names, func(i int) bool { return counts[i] < quota })
		counts[best]++
		assigned[slot] = best
	}
	return assigned
}
