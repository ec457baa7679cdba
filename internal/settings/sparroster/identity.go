package sparroster

import (
	"cmp"
	"fmt"
	"slices"
)

// resolveIDs puts the upstreams in the order of their IDs, each ID once. The entries of other writers may
// have the ID of an upstream under keys of their own. One that can't be used says nothing about the
// upstream. If several can be used and differ, nothing tells which one is right, and the ID takes no new
// flows.
func (r *Roster) resolveIDs() {
	slices.SortStableFunc(r.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	upstreams, doubtful := r.Upstreams[:0], []Unusable{}
	for group := range groupByID(r.Upstreams) {
		if slices.ContainsFunc(group, func(u Upstream) bool { return u != group[0] }) {
			doubtful = append(doubtful, Unusable{ID: group[0].ID})
			r.addProblem(UpstreamPrefix, r.At, fmt.Sprintf("%d entries differ that have the id %x, it takes no new flows", len(group), group[0].ID))
			continue
		}
		upstreams = append(upstreams, group[0])
	}
	r.Upstreams = upstreams
	r.Unusable = slices.DeleteFunc(r.Unusable, func(u Unusable) bool { return r.hasUpstream(u.ID) })
	r.Unusable = append(r.Unusable, doubtful...)
}

// groupByID yields the upstreams of each ID. The list is in the order of IDs.
func groupByID(upstreams []Upstream) func(yield func([]Upstream) bool) {
	return func(yield func([]Upstream) bool) {
		for first := 0; first < len(upstreams); {
			end := first + 1
			for end < len(upstreams) && upstreams[end].ID == upstreams[first].ID {
				end++
			}
			if !yield(upstreams[first:end]) {
				return
			}
			first = end
		}
	}
}

func (r *Roster) hasUpstream(id uint64) bool {
	_, found := slices.BinarySearchFunc(r.Upstreams, id, func(u Upstream, id uint64) int { return cmp.Compare(u.ID, id) })
	return found
}
