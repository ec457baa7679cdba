package sparcookie

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidates is the number of cookies that an upstream may have. Two of 7,800
// upstreams share their first one with a chance of 0.7%.
const candidates = 4

// Cookie names an upstream in the packets of a flow. 0 means none.
type Cookie uint32

// candidate returns the nth cookie of the upstream with an id, never 0.
func candidate(id uint64, n int) Cookie {
	var b [9]byte
	binary.BigEndian.PutUint64(b[:], id)
	b[8] = byte(n)
	c := Cookie(xxhash.Sum64(b[:]))
	if c == 0 {
		return 1
	}
	return c
}

// assign gives each upstream its cookie. Of two with the same one, the upstream that
// is listed and started first keeps it, the other takes its next. The order follows
// from the roster, so all VMs that know both assign alike. A cookie in use stays
// valid when the assignment changes, unless another upstream needs it.
func (e *Engine) assign() {
	order := make([]*upstream, 0, len(e.upstreams))
	for _, u := range e.upstreams {
		order = append(order, u)
	}
	slices.SortFunc(order, func(a, b *upstream) int {
		if a.gone != b.gone {
			if a.gone {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.ID, b.ID))
	})
	clear(e.cookies)
	for _, u := range order {
		before := u.cookie
		u.cookie = e.claim(u)
		if before != 0 && e.cookies[before] == nil {
			e.cookies[before] = u
		}
	}
}

// claim returns the first cookie of u that no upstream before it has.
func (e *Engine) claim(u *upstream) Cookie {
	for n := range candidates {
		c := candidate(u.ID, n)
		if e.cookies[c] == nil {
			e.cookies[c] = u
			return c
		}
	}
	return 0
}
