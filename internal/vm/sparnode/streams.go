package sparnode

import (
	"maps"
	"slices"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparstream"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
)

func (n *Node) receiveMessage(m sparcontrol.Message) {
	s := n.stream(m.Name)
	if s == nil {
		return
	}
	before := s.Acked()
	body, ok := s.Receive(m.Frame)
	if ok {
		n.Engine.Receive(m.Name, body)
	}
	if s.Acked() != before {
		n.Engine.Acknowledged()
	}
}

// stream returns the stream to a peer that has sent heartbeats, or nil.
func (n *Node) stream(peer string) *sparstream.Stream[sparroute.Message] {
	if s := n.streams[peer]; s != nil {
		return s
	}
	incarnation, ok := n.Tracker.Incarnation(peer)
	if !ok {
		return nil
	}
	s := sparstream.New[sparroute.Message](n.incarnation, incarnation)
	n.streams[peer] = s
	return s
}

func (n *Node) queue(peer string, m sparroute.Message) uint64 {
	s := n.stream(peer)
	if s == nil {
		return 0
	}
	return s.Queue(m)
}

func (n *Node) acked(peer string) uint64 {
	s := n.streams[peer]
	if s == nil {
		return 0
	}
	return s.Acked()
}

// frames returns the frames that are due on all streams. It deletes the streams to peers that are
// neither on record nor registered any more.
func (n *Node) frames() []Output {
	var outs []Output
	for _, name := range slices.Sorted(maps.Keys(n.streams)) {
		s := n.streams[name]
		to, ok := n.Tracker.VM(name)
		if !ok && !n.Tracker.Registered(name) {
			delete(n.streams, name)
		}
		if !ok || !n.Tracker.ReceivesFrom(name, n.now) {
			continue
		}
		for _, f := range s.Due(n.now) {
			outs = append(outs, Frame{To: to, Message: sparcontrol.Message{Name: n.self.Name, Frame: f}})
		}
	}
	return outs
}
