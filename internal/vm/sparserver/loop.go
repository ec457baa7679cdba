package sparserver

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparnode"
)

const (
	// handoverTimeout is how long a VM that stops waits until others have taken over its slots.
	handoverTimeout = 30 * time.Second
	// forwardAfter is how long it then forwards the packets that the fabric still sends to it.
	forwardAfter = 2 * time.Second
)

type (
	// input is a message from another goroutine to the event loop. It is a sealed interface.
	input interface {
		input()
	}

	// controlInput is a datagram from another VM.
	controlInput struct {
		datagram sparcontrol.Input
	}

	// platformInput is the result of a read of the platform.
	platformInput struct {
		listing sparkv.Listing
		err     error
	}

	// pullInput holds the settings pulled from another VM.
	pullInput struct {
		delta sparregistry.Delta
	}
)

func (controlInput) input()  {}
func (platformInput) input() {}
func (pullInput) input()     {}

// clock returns the monotonic time since the start, and the wall time.
func (s *Server) clock() (now time.Duration, wall time.Time) {
	wall = time.Now()
	return wall.Sub(s.began), wall
}

// eventLoop runs the node, which no other goroutine may use. Once stop is done it hands over
// the slots and returns.
func (s *Server) eventLoop(workers, stop context.Context, abort <-chan os.Signal) error {
	ticker := time.NewTicker(sparnode.TickEvery)
	defer ticker.Stop()
	stopping := stop.Done()
	var stopped, handedOver time.Time
	for {
		select {
		case p := <-s.packets.Out():
			s.forward(p)
		case in := <-s.inputs.Out():
			s.receive(in)
		case query := <-s.queries.Out():
			query(s)
		case <-ticker.C:
			s.tick()
			switch {
			case stopped.IsZero():
			case handedOver.IsZero() && (s.node.HandedOver() || time.Since(stopped) > handoverTimeout):
				handedOver = time.Now()
			case !handedOver.IsZero() && time.Since(handedOver) > forwardAfter:
				s.log.Info("handed over")
				return nil
			}
		case <-stopping:
			stopping = nil
			stopped = time.Now()
			s.log.Info("handing over")
			s.node.Stop()
		case <-abort:
			return errors.New("aborted before the slots were handed over")
		case <-workers.Done():
			return nil
		}
	}
}

func (s *Server) receive(in input) {
	now, wall := s.clock()
	s.node.Advance(now, wall)
	switch in := in.(type) {
	case controlInput:
		s.node.Receive(in.datagram)
	case platformInput:
		s.reachable = in.err == nil
		if in.err == nil {
			s.node.MergeRead(in.listing.Entries, in.listing.Revision)
		}
	case pullInput:
		s.node.Merge(in.delta)
	}
	s.perform(s.node.Effects())
}

func (s *Server) tick() {
	now, wall := s.clock()
	s.perform(s.node.Tick(now, wall))
	s.held.expire(now)
	s.updateWatch(now)
	s.refreshPeers()
	s.metrics.publish(s)
}

// updateWatch notifies watchPlatform whether this VM reads the platform for its failure
// domain.
func (s *Server) updateWatch(now time.Duration) {
	reads := s.node.Tracker.ReadsPlatform(now)
	select {
	case <-s.watch:
	default:
	}
	s.watch <- reads
}

func (s *Server) refreshPeers() {
	clear(s.peers)
	for _, vm := range s.node.Tracker.Targets() {
		if addr, err := netip.ParseAddrPort(vm.Data); err == nil {
			s.peers[vm.Name] = addr
		}
	}
}

// perform carries out the outputs of the node.
func (s *Server) perform(outs []sparnode.Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case sparnode.Beat:
			s.sendControl(out.To, sparcontrol.EncodeBeat(out.Report))
		case sparnode.Frame:
			s.sendControl(out.To, sparcontrol.EncodeFrame(out.Message))
		case sparnode.Pull:
			s.pulls.Put(out)
		case sparnode.ReleaseClaim:
			s.claims.Put(out)
		case sparnode.RaiseEra:
			s.eras.Put(out) // if the ring is full, one is under way
		case sparnode.Release:
			if p := s.held.take(out.Key); p != nil {
				s.forward(p)
			}
		}
	}
}

func (s *Server) sendControl(to sparconfig.VM, b []byte) {
	addr, err := netip.ParseAddrPort(to.Control)
	if err != nil {
		return
	}
	s.metrics.countDatagram(len(b))
	_, _ = s.control.WriteToUDPAddrPort(b, addr) // a lost datagram is sent again
}
