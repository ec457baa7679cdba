package sparcookie

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCookies is the number of candidate cookies of an upstream. With 7,800 upstreams the
// probability that two share their first candidate is 0.7%.
const maxCookies = 4

// Cookie identifies an upstream in the packets of a flow. 0 means none.
type Cookie uint32

// candidateCookie returns the nth candidate cookie of the upstream with the ID. It is
// never 0.
func candidateCookie(id uint64, n int) Cookie {
	var b [9]byte
	binary.BigEndian.PutUint64(b[:], id)
	b[8] = byte(n)
	c := Cookie(xxhash.Sum64(b[:]))
	if c == 0 {
		return 1
	}
	return c
}

// assignCookies assigns a cookie to each upstream. On a collision, an upstream in the
// roster takes precedence over a removed one, then the one that started first; the other
// takes its next candidate. This order follows from the roster, so all VMs that know both
// upstreams assign the same cookies. The previous cookie of an upstream stays valid after
// a change, unless an upstream with higher precedence needs it.
func (e *Engine) assignCookies() {
	order := make([]*upstream, 0, len(e.upstreams))
	for _, u := range e.upstreams {
		order = append(order, u)
	}
	slices.SortFunc(order, func(a, b *upstream) int {
		if a.removed != b.removed {
			if a.removed {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.ID, b.ID))
	})
	clear(e.cookies)
	for _, u := range order {
		prev := u.cookie
		u.cookie = e.pickCookie(u)
		if prev != 0 && e.cookies[prev] == nil {
			e.cookies[prev] = u
		}
	}
}

// pickCookie returns the first candidate cookie of u that is not taken, or 0.
func (e *Engine) pickCookie(u *upstream) Cookie {
	for n := range maxCookies {
		c := candidateCookie(u.ID, n)
		if e.cookies[c] == nil {
			e.cookies[c] = u
			return c
		}
	}
	return 0
}
