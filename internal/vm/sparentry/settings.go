package sparentry

import (
	"context"
	"strings"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/platform"
)

type (
	// input is a message from another goroutine to the event loop. It is a sealed interface.
	input interface {
		input()
	}

	// received is a control datagram from a peer.
	received struct {
		datagram sparcontrol.Input
	}

	// pulled is the outcome of a pull from a peer.
	pulled struct {
		pull  pull
		reply *sparcontrol.PullReply
		age   time.Duration      // of the settings of the peer
		delta sparregistry.Delta // unless the peer is overloaded or has no settings
		err   error
	}

	// pullProgress reports that the pull under way makes progress.
	pullProgress struct{}

	// probed reports that a probe was answered as not ready.
	probed struct{}

	// origin is where settings come from: the platform or a peer, all of them or the changes
	// after a revision.
	origin struct {
		source string
		after  sparregistry.Position
	}

	// pull is a request to a peer for its settings.
	pull struct {
		req   sparsync.Pull
		began time.Duration
	}
)

func (received) input()     {}
func (pulled) input()       {}
func (pullProgress) input() {}
func (probed) input()       {}

// dispatch handles an input from another goroutine.
func (vm *VM) dispatch(in input) {
	now := vm.clock.now()
	vm.engine.Advance(time.Since(vm.began))
	state := vm.sync.State()
	switch in := in.(type) {
	case received:
		vm.receive(in.datagram, now)
	case read:
		vm.readDone(in, now)
	case pulled:
		vm.pullDone(in, now)
	case pullProgress:
		vm.sync.PullProgressed(now)
	case probed:
		vm.leave.ProbeRefused(now)
	case served:
		vm.sync.Served(in.to, in.large, in.digest, in.whole)
	case wrote:
		vm.writeDone(in)
	case connected:
		vm.connectionDone(in)
	}
	vm.logState(state)
	vm.logEvents()
}

func (vm *VM) receive(datagram sparcontrol.Input, now time.Duration) {
	switch d := datagram.(type) {
	case sparcontrol.ReceivedNotification:
		vm.noteUnderWay(d.Notification, now)
		vm.confirm(d.Notification)
		vm.perform(vm.sync.Notified(d.Notification, now), now)
	case sparcontrol.ReceivedQuery:
		vm.perform(vm.sync.Queried(d.Query, now), now)
	case sparcontrol.ReceivedDeparture:
		vm.leave.Received(d.Departure, now)
	case sparcontrol.ReceivedEvidence:
		vm.receiveReport(d.Report, now)
	case sparcontrol.ReceivedProbe:
		vm.receiveProbe(d.Question)
	case sparcontrol.ReceivedProbeAnswer:
		vm.receiveProbeAnswer(d.Answer)
	case sparcontrol.ReceivedReceipt:
		vm.sync.Confirmed(d.From, d.Timing, now)
	default:
		vm.metrics.badControl.Add(1) // a message used only by VMs of another carrier
	}
	vm.age = vm.sync.Age(now)
}

// confirm settles the registry on a restored platform if a peer that has done so holds the same.
func (vm *VM) confirm(n sparsync.Notification) {
	next := vm.registry.WithConfirmed(n.At, n.Digest)
	if next.Position() == vm.registry.Position() {
		return
	}
	vm.logSettled(n.At, 0, 0)
	vm.adopt(next, origin{source: n.From.Name})
}

func (vm *VM) pullDone(in pulled, now time.Duration) {
	if in.err != nil {
		vm.logPullFailed(in.pull, in.err)
		vm.perform(vm.sync.PullFailed(now), now)
		return
	}
	from, r := in.pull.req.From, in.reply
	switch {
	case r.Busy:
		vm.logPeerBusy(in.pull, r.Elsewhere.ToVM())
		vm.perform(vm.sync.PullRefused(from, r.Elsewhere.ToVM(), now), now)
	case !r.Synced:
		vm.perform(vm.sync.PullFailed(now), now)
	default:
		vm.observe(in.delta.At, origin{source: from.Name}, now)
		next, complete := vm.registry.WithDelta(in.delta)
		vm.adopt(next, origin{source: from.Name, after: in.delta.After})
		vm.perform(vm.sync.Pulled(from, r.Reader, in.pull.began-in.age, complete, now), now)
	}
}

func (vm *VM) held() sparsync.Held {
	return sparsync.Held{At: vm.registry.Position(), Digest: vm.registry.Digest()}
}

// adopt replaces the registry and puts the new settings in force if its content differs, or if
// it begins or ends to keep entries of earlier eras.
func (vm *VM) adopt(next sparregistry.Registry, from origin) {
	changed := next.Digest() != vm.registry.Digest() || next.Restoring() != vm.registry.Restoring() || !vm.synced
	vm.registry = next
	vm.sync.SetHeld(vm.held())
	if !changed {
		return
	}
	before := vm.engine.Roster()
	roster := before.With(next, platform.Decode)
	vm.engine.Apply(roster)
	vm.updateBoard(roster)
	vm.sync.List(roster.VMs, vm.clock.now())
	vm.logSettings(before, roster, from)
	if !vm.synced {
		vm.synced = true
		vm.ready.Store(vm.leave.Ready())
		vm.logReady()
		vm.engine.SetFresh(true)
		vm.forwardEarly()
	}
}

// perform performs the outputs of sparsync.
func (vm *VM) perform(outs []sparsync.Output, now time.Duration) {
	for _, out := range outs {
		switch out := out.(type) {
		case sparsync.Read:
			vm.reads.Put(readRequest{began: now, after: out.After, limit: out.Limit})
		case sparsync.ListVMs:
			vm.reads.Put(readRequest{began: now, vms: true})
		case sparsync.Pull:
			vm.pulls.Put(pull{req: out, began: now}) // one at a time, see sparsync
		case sparsync.SendQuery:
			vm.sendControl(out.To, sparcontrol.EncodeQuery(out.Query))
		case sparsync.Notify:
			vm.sendControl(out.To, sparcontrol.EncodeNotification(out.Notification))
		case sparsync.Register:
			vm.registerOthers(out.VMs)
		case sparsync.Deregister:
			vm.deregister(out.Name)
		case sparsync.Confirm:
			vm.sendControl(out.To, sparcontrol.EncodeReceipt(vm.file.VM(), out.Timing))
		}
	}
}

// post sends an input that must not be lost to the event loop. It retries while the ring is
// full.
func (vm *VM) post(ctx context.Context, in input) {
	for !vm.inputs.Put(in) {
		select {
		case <-time.After(tickEvery):
		case <-ctx.Done():
			return
		}
	}
}

// shortError returns the cause of a failed call without its address and path, which would
// otherwise repeat in each log line.
func shortError(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, "\": "); i >= 0 {
		return text[i+3:]
	}
	return text
}
