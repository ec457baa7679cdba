// Package sparrank ranks candidates for a hash slot by rendezvous hashing.
//
// The order is a pure function of the names, so every VM computes the same one,
// and a candidate that comes or goes moves only its own share of the slots:
//
//	names := []uint64{sparrank.Name("a"), sparrank.Name("b"), sparrank.Name("c")}
//	order := sparrank.Order(17, names) // indices into names, best first
package sparrank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// golden is 2^64 divided by the golden ratio, the increment of splitmix64.
const golden = 0x9E3779B97F4A7C15

// Name hashes the name of a candidate.
func Name(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Weight returns the weight of a candidate for a slot; the highest weight ranks first.
func Weight(slot int, name uint64) uint64 {
	x := name ^ (uint64(slot)+1)*golden
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

// Best returns the index of the first candidate for slot that keep accepts, or -1.
func Best(slot int, names []uint64, keep func(i int) bool) int {
	best := -1
	var top uint64
	for i, name := range names {
		w := Weight(slot, name)
		if (best < 0 || w > top) && keep(i) {
			best, top = i, w
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

// Share assigns each of slots to one of names such that no candidate gets more
// than its even share, rounded up. It walks the slots in order and gives each to
// its best ranked candidate that still has room, so that a candidate that comes
// or goes moves little more than its own share. It returns indices into names, or
// nil without candidates.
func Share(slots int, names []uint64) []int {
	if len(names) == 0 {
		return nil
	}
	room := (slots + len(names) - 1) / len(names)
	held := make([]int, len(names))
	shares := make([]int, slots)
	for slot := range shares {
		best := Best(slot, names, func(i int) bool { return held[i] < room })
		held[best]++
		shares[slot] = best
	}
	return shares
}
