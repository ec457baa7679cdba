package sparroute

import "github.com/oleanderspar/oleanderspar/internal/flow/sparflow"

const (
	// maxKeys limits the keys of one message, so that it fits a datagram.
	maxKeys = 100
	// maxSlots limits the slots of one message.
	maxSlots = 400
)

type (
	// Message is a message between the routing engines of two VMs. It is a sealed
	// interface: Sync, Handover or HandoverEnd.
	Message interface {
		message()
	}

	// Sync updates the overrides and default upstreams that a standby keeps. Reset lists
	// the slots whose records are deleted first.
	Sync struct {
		Service  string
		Reset    []uint16
		Defaults []DefaultUpstream
		Flows    []Flows
		Removed  []sparflow.Key
	}

	// Handover carries the flows of slots to their next owner. Reset is as in Sync.
	Handover struct {
		Service string
		Reset   []uint16
		Flows   []Flows
	}

	// HandoverEnd makes the receiver the owner of the slots in Defaults.
	HandoverEnd struct {
		Service  string
		Defaults []DefaultUpstream
	}

	// DefaultUpstream is the default upstream of slots, to which their flows without a
	// record belong.
	DefaultUpstream struct {
		Upstream sparflow.Endpoint
		Complete bool // every open flow of the slots has a record
		Slots    []uint16
	}

	// Flows is a set of flows at one upstream.
	Flows struct {
		Upstream   sparflow.Endpoint
		Opening    bool // no response from the upstream seen yet
		Unverified bool // may also be open at another upstream, across a network partition
		Keys       []sparflow.Key
	}
)

func (Sync) message()        {}
func (Handover) message()    {}
func (HandoverEnd) message() {}

// batch groups items by attributes that they share, in order of the first item of each
// group.
type batch[A comparable, T any] struct {
	groups map[A][]T
	order  []A
}

// flowAttrs are the attributes that the keys of one Flows share.
type flowAttrs struct {
	upstream   sparflow.Endpoint
	opening    bool
	unverified bool
}

// slotAttrs are the attributes that the slots of one DefaultUpstream share.
type slotAttrs struct {
	upstream sparflow.Endpoint
	complete bool
}

func (b *batch[A, T]) add(attrs A, item T) {
	if b.groups == nil {
		b.groups = map[A][]T{}
	}
	if _, ok := b.groups[attrs]; !ok {
		b.order = append(b.order, attrs)
	}
	b.groups[attrs] = append(b.groups[attrs], item)
}

// chunks builds values from the groups of b and returns them in chunks of at most limit
// items in all. A group that does not fit in a chunk continues in the next one.
func chunks[A comparable, T, M any](b *batch[A, T], limit int, build func(attrs A, items []T) M) [][]M {
	var all [][]M
	var chunk []M
	room := limit
	for _, attrs := range b.order {
		items := b.groups[attrs]
		for len(items) > 0 {
			n := min(room, len(items))
			chunk = append(chunk, build(attrs, items[:n]))
			items = items[n:]
			room -= n
			if room == 0 {
				all = append(all, chunk)
				chunk, room = nil, limit
			}
		}
	}
	if len(chunk) > 0 {
		all = append(all, chunk)
	}
	return all
}

// flowChunks returns flows as lists that each fit a message.
func flowChunks(flows *batch[flowAttrs, sparflow.Key]) [][]Flows {
	return chunks(flows, maxKeys, func(a flowAttrs, keys []sparflow.Key) Flows {
		return Flows{Upstream: a.upstream, Opening: a.opening, Unverified: a.unverified, Keys: keys}
	})
}

// attrsOf returns the part of a record that other VMs get beside its key.
func attrsOf(f flow) flowAttrs {
	return flowAttrs{upstream: f.upstream, opening: f.state == flowOpening, unverified: f.flags&flagUnverified != 0 || f.state == flowSearch}
}

// defaultChunks returns the default upstreams of slots as lists that each fit a message.
func defaultChunks(g *group, slots []uint16) [][]DefaultUpstream {
	var b batch[slotAttrs, uint16]
	for _, n := range slots {
		b.add(slotAttrs{g.slots[n].defaultUpstream, g.slots[n].complete}, n)
	}
	return chunks(&b, maxSlots, func(a slotAttrs, slots []uint16) DefaultUpstream {
		return DefaultUpstream{Upstream: a.upstream, Complete: a.complete, Slots: slots}
	})
}
