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
	// input is what other threads tell the deciding one. It is a sealed interface.
	input interface {
		input()
	}

	// heard is a datagram of a peer.
	heard struct {
		datagram sparcontrol.Input
	}

	// pulled is the outcome of a pull from a peer.
	pulled struct {
		pull  pull
		reply *sparcontrol.PullReply
		age   time.Duration      // of the settings of the peer
		share sparregistry.Share // unless the peer is busy or knows none
		err   error
	}

	// probed says that the fabric was told to send nothing here.
	probed struct{}

	// pull is a question to a peer for its settings.
	pull struct {
		ask   sparsync.Ask
		began time.Duration
	}
)

func (heard) input()  {}
func (pulled) input() {}
func (probed) input() {}

// take acts on what another thread tells.
func (vm *VM) take(in input) {
	now := vm.clock.now()
	vm.engine.Advance(time.Since(vm.began))
	state := vm.sync.State()
	switch in := in.(type) {
	case heard:
		vm.hear(in.datagram, now)
	case read:
		vm.takeReading(in, now)
	case pulled:
		vm.takePull(in, now)
	case probed:
		vm.leave.Refused(now)
	case served:
		vm.sync.Served(in.to, in.after, in.digest, in.whole)
	case wrote:
		vm.takeWrite(in)
	}
	vm.logState(state)
	vm.logEvents()
}

func (vm *VM) hear(datagram sparcontrol.Input, now time.Duration) {
	switch d := datagram.(type) {
	case sparcontrol.Told:
		vm.perform(vm.sync.Heard(d.Notice, now), now)
	case sparcontrol.Asked:
		vm.perform(vm.sync.Asked(d.Query, now), now)
	case sparcontrol.Departed:
		vm.leave.Heard(d.Departure, now)
	case sparcontrol.Received:
		vm.sync.Confirmed(d.From, now)
	default:
		vm.metrics.badControl.Add(1) // of VMs of another carrier
	}
	vm.age = vm.sync.Age(now)
}

func (vm *VM) takePull(in pulled, now time.Duration) {
	if in.err != nil {
		vm.logPullFailed(in.pull, in.err)
		vm.perform(vm.sync.PullFailed(now), now)
		return
	}
	from, r := in.pull.ask.From, in.reply
	switch {
	case r.Busy:
		vm.logPeerBusy(in.pull, r.Elsewhere.ToVM())
		vm.perform(vm.sync.PullBusy(from, r.Elsewhere.ToVM(), now), now)
	case !r.Synced:
		vm.perform(vm.sync.PullFailed(now), now)
	default:
		next, complete := vm.registry.WithShare(in.share)
		vm.adopt(next, from.Name)
		vm.perform(vm.sync.Pulled(from, r.Reader, in.pull.began-in.age, complete, now), now)
	}
}

func (vm *VM) held() sparsync.Held {
	return sparsync.Held{Revision: vm.registry.Revision(), Digest: vm.registry.Digest()}
}

// adopt puts settings in force where they differ.
func (vm *VM) adopt(next sparregistry.Registry, source string) {
	changed := next.Digest() != vm.registry.Digest() || !vm.synced
	vm.registry = next
	vm.sync.Holds(vm.held())
	if !changed {
		return
	}
	before := vm.engine.Roster()
	roster := before.With(next, platform.Decode)
	vm.engine.Apply(roster)
	vm.sync.List(roster.VMs, vm.clock.now())
	vm.logSettings(before, roster, source)
	if !vm.synced {
		vm.synced = true
		vm.ready.Store(vm.leave.Ready())
		vm.logReady()
		vm.engine.Fresh(true)
		vm.release()
	}
}

// perform does what the settings need.
func (vm *VM) perform(outs []sparsync.Output, now time.Duration) {
	for _, out := range outs {
		switch out := out.(type) {
		case sparsync.Read:
			vm.reads.Put(order{began: now, after: out.After})
		case sparsync.Peek:
			vm.reads.Put(order{began: now, vms: true})
		case sparsync.Ask:
			vm.pulls.Put(pull{ask: out, began: now}) // one at a time, see sparsync
		case sparsync.Enquire:
			vm.tell(out.To, sparcontrol.EncodeQuery(out.Query))
		case sparsync.Notify:
			vm.tell(out.To, sparcontrol.EncodeNotice(out.Notice))
		case sparsync.Enlist:
			vm.enlist(out.VMs)
		case sparsync.Unlist:
			vm.unlist(out.Name)
		case sparsync.Confirm:
			vm.tell(out.To, sparcontrol.EncodeReceipt(vm.file.VM()))
		}
	}
}

// post hands an input that must not be lost to the deciding thread.
func (vm *VM) post(ctx context.Context, in input) {
	for !vm.inputs.Put(in) {
		select {
		case <-time.After(tickEvery):
		case <-ctx.Done():
			return
		}
	}
}

// shortError returns the cause of a failed call without its address and path, which
// each line of the log would repeat.
func shortError(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, "\": "); i >= 0 {
		return text[i+3:]
	}
	return text
}
