package sparsync

import (
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// maxLargePulls is the number of full copies and large changes served at a time. On slow
	// links settings spread fastest if few pulls share a link, since a peer that has been served
	// can serve others.
	maxLargePulls = 2
	// maxSmallPulls is the same for small changes.
	maxSmallPulls = 2 * fanOut
	// LargePull is the number of bytes, before compression, from which changes are large: the
	// slowest link carries a few such pulls in a fraction of a second.
	LargePull = 64_000
	// maxHolders is the number of peers on record that hold the settings of this VM.
	maxHolders = 16
)

// serving tracks the pulls that this VM serves.
type serving struct {
	large   int
	small   int
	digest  uint64          // of the settings that the holders have
	holders []sparconfig.VM // peers served last, the latest at the end
	next    int             // rotates the holders that peers are referred to
}

// Serve reports whether to serve the pull of a peer: a large one, which is a full copy or has
// LargePull bytes of changes, or a small one. If ok, the caller must call Served afterwards.
// Otherwise referral is a peer that holds the same settings, or the zero VM if none is on record.
func (s *Sync) Serve(to sparconfig.VM, large bool) (referral sparconfig.VM, ok bool) {
	if s.atLimit(large) {
		return s.holder(to), false
	}
	*s.active(large)++
	return sparconfig.VM{}, true
}

// Served ends a pull that Serve admitted. digest is that of the settings sent; complete
// reports whether the peer received all of them.
func (s *Sync) Served(to sparconfig.VM, large bool, digest uint64, complete bool) {
	*s.active(large)--
	if !complete || to.Name == "" || digest != s.held.Digest {
		return
	}
	v := &s.serving
	if v.digest != digest {
		v.digest, v.holders = digest, nil
	}
	if len(v.holders) >= maxHolders {
		v.holders = slices.Delete(v.holders, 0, 1)
	}
	v.holders = append(v.holders, to)
}

// active returns the counter of the pulls of the same kind that are being served.
func (s *Sync) active(large bool) *int {
	if large {
		return &s.serving.large
	}
	return &s.serving.small
}

// atLimit reports whether no more pulls of the same kind may be served now.
func (s *Sync) atLimit(large bool) bool {
	if large {
		return s.serving.large >= maxLargePulls
	}
	return s.serving.small >= maxSmallPulls
}

// holder returns a peer that holds the settings of this VM, in rotation, preferably one in
// the failure domain of the requester.
func (s *Sync) holder(requester sparconfig.VM) sparconfig.VM {
	v := &s.serving
	if v.digest != s.held.Digest {
		return sparconfig.VM{}
	}
	v.next++
	var found sparconfig.VM
	for i := range v.holders {
		vm := v.holders[(i+v.next)%len(v.holders)]
		if vm.Name == requester.Name {
			continue
		}
		if vm.Domain == requester.Domain {
			return vm
		}
		if found.Name == "" {
			found = vm
		}
	}
	return found
}

// refer replies to a query of a peer that has no settings: with a notification to pull from
// this VM, or from a peer that holds the same settings if this VM is overloaded. If there is
// none, a Confirm makes the peer query again later.
func (s *Sync) refer(to sparconfig.VM, now time.Duration) []Output {
	out := s.notify(to, now)
	if s.atLimit(true) {
		if out.Notification.From = s.holder(to); out.Notification.From.Name == "" {
			return []Output{Confirm{To: to, Timing: s.timing(to.Name, now)}}
		}
	}
	return []Output{out}
}
