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
	// maxLargeDoublings limits those served by a VM of a higher class to four times as many.
	maxLargeDoublings = 2
	// maxSmallPulls is the same for small changes.
	maxSmallPulls = 2 * fanOut
	// LargePull is the number of bytes, before compression, from which changes are large: the
	// slowest link carries a few such pulls in a fraction of a second.
	LargePull = 64_000
	// maxShareDoublings limits the turns of a holder to 8 times those of another one.
	maxShareDoublings = 3
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
	if s.atLimit(to, large) {
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

// atLimit reports whether no more pulls of the same kind may be served to a peer now.
func (s *Sync) atLimit(to sparconfig.VM, large bool) bool {
	if large {
		return s.serving.large >= s.largeLimit(to)
	}
	return s.serving.small >= maxSmallPulls
}

// largeLimit returns the number of large pulls served at a time to peers like to: more to those of
// lower classes, whose links are slower, and fewer where a VM of a higher class can serve them.
func (s *Sync) largeLimit(to sparconfig.VM) int {
	if above := s.standing.class - to.Class(); above > 0 && to.Class() > 0 {
		return maxLargePulls << min(above, maxLargeDoublings)
	}
	if s.serving.digest != s.held.Digest {
		return maxLargePulls
	}
	for _, vm := range s.serving.holders {
		if vm.Class() > s.standing.class && s.standing.class > 0 {
			return 1
		}
	}
	return maxLargePulls
}

// holder returns a peer that holds the settings of this VM, in rotation, preferably one in
// the failure domain of the requester. The rotation comes to a VM more often the higher its
// class is, but to all of them, since few VMs could not serve a large fleet.
func (s *Sync) holder(requester sparconfig.VM) sparconfig.VM {
	v := &s.serving
	if v.digest != s.held.Digest {
		return sparconfig.VM{}
	}
	v.next++
	var near, others []sparconfig.VM
	for _, vm := range v.holders {
		switch {
		case vm.Name == requester.Name:
		case vm.Domain == requester.Domain:
			near = append(near, vm)
		default:
			others = append(others, vm)
		}
	}
	if len(near) > 0 {
		return pick(near, v.next)
	}
	return pick(others, v.next)
}

// pick returns the VM whose turn it is, or the zero VM if there is none. A VM has twice as many
// turns as one of the class below, up to a limit.
func pick(vms []sparconfig.VM, turn int) sparconfig.VM {
	lowest, turns := sparconfig.MaxSize, 0
	for _, vm := range vms {
		lowest = min(lowest, vm.Class())
	}
	share := func(vm sparconfig.VM) int { return 1 << min(vm.Class()-lowest, maxShareDoublings) }
	for _, vm := range vms {
		turns += share(vm)
	}
	for _, vm := range vms {
		if turn%turns < share(vm) {
			return vm
		}
		turn = turn%turns - share(vm)
	}
	return sparconfig.VM{}
}

// refer replies to a query of a peer that has no settings: with a notification to pull from
// this VM, or from a peer that holds the same settings if this VM is overloaded. If there is
// none, a Confirm makes the peer query again later.
func (s *Sync) refer(to sparconfig.VM, now time.Duration) []Output {
	out := s.notify(to, now)
	if s.atLimit(to, true) {
		if out.Notification.From = s.holder(to); out.Notification.From.Name == "" {
			return []Output{Confirm{To: to, Timing: s.timing(to.Name, now)}}
		}
	}
	return []Output{out}
}
