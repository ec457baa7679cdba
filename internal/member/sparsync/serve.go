package sparsync

import (
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// wholesAtOnce is the number of peers that get all settings at a time. Where links are
	// slow, settings spread fastest if few share one: those served can serve others.
	wholesAtOnce = 2
	// changesAtOnce is the same for changes, which are small.
	changesAtOnce = 2 * fanOut
	// maxHolders is the number of peers kept that hold the settings served last.
	maxHolders = 16
)

// serving is whom this VM hands its settings to.
type serving struct {
	wholes  int
	changes int
	digest  uint64          // of the settings that the holders have got
	holders []sparconfig.VM // the last ones served
	turn    int             // of the holder named next
}

// Serve reports whether a peer is handed now what changed after a revision, or everything
// where that is 0. If so, Served must follow. Otherwise elsewhere is a peer that holds the
// same settings, the zero VM where none is known.
func (s *Sync) Serve(to sparconfig.VM, after uint64) (elsewhere sparconfig.VM, ok bool) {
	if s.full(after) {
		return s.holder(to), false
	}
	*s.served(after)++
	return sparconfig.VM{}, true
}

// Served notes that a peer was handed the settings with a digest, or that this broke off.
func (s *Sync) Served(to sparconfig.VM, after, digest uint64, whole bool) {
	*s.served(after)--
	if !whole || to.Name == "" || digest != s.held.Digest {
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

// served returns the number of peers that are handed as much at the moment.
func (s *Sync) served(after uint64) *int {
	if after == 0 {
		return &s.serving.wholes
	}
	return &s.serving.changes
}

// full reports whether no more peers are handed as much at the moment.
func (s *Sync) full(after uint64) bool {
	if after == 0 {
		return s.serving.wholes >= wholesAtOnce
	}
	return s.serving.changes >= changesAtOnce
}

// holder names a peer that holds the settings of this VM: another one each time, of the
// asker's failure domain where there is one.
func (s *Sync) holder(asker sparconfig.VM) sparconfig.VM {
	v := &s.serving
	if v.digest != s.held.Digest {
		return sparconfig.VM{}
	}
	v.turn++
	var found sparconfig.VM
	for i := range v.holders {
		vm := v.holders[(i+v.turn)%len(v.holders)]
		if vm.Name == asker.Name {
			continue
		}
		if vm.Domain == asker.Domain {
			return vm
		}
		if found.Name == "" {
			found = vm
		}
	}
	return found
}

// refer answers a peer that knows no settings: by a notice of this VM, or of one that
// holds the same where this one is busy. Where there is none the peer is to ask again.
func (s *Sync) refer(to sparconfig.VM, now time.Duration) []Output {
	n := s.notice(now)
	if s.full(0) {
		if n.From = s.holder(to); n.From.Name == "" {
			return []Output{Confirm{To: to}}
		}
	}
	return []Output{Notify{To: to, Notice: n}}
}
