package sparentry

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

// logVerdict logs each decision other than plain forwarding within a flow. The flow field
// identifies the request, since clients log both ends of the connection that carried it.
func (vm *VM) logVerdict(s sparcookie.Segment, v sparcookie.Verdict) {
	if v.Answered {
		vm.metrics.recordLatency(v.First, v.Waited)
	}
	routine := v.Cause == sparcookie.Carried || v.Cause == sparcookie.Relayed
	if routine && !v.Unanswered && !v.Abandoned {
		return
	}
	fields := vm.flowFields(s, v)
	if v.Abandoned {
		vm.log.WithFields(fields).Info("request given up")
		return
	}
	switch v.Cause {
	case sparcookie.Carried, sparcookie.Assisted:
		if v.Relay != 0 {
			fields["through"] = v.Relay.String()
			if v.Second != 0 {
				fields["and_through"] = v.Second.String()
			}
		}
		vm.log.WithFields(fields).Info("data repeated")
	case sparcookie.Placed:
		vm.log.WithFields(fields).Info("opening")
	case sparcookie.Repeated, sparcookie.Moved:
		fields["copy"] = s.Ack
		vm.log.WithFields(fields).Info("opening again")
	default:
		fields["cookie"] = fmt.Sprintf("%08x", uint32(s.Cookie))
		vm.addAdmission(fields, s, v)
		vm.log.WithFields(fields).Warn("flow refused")
	}
}

func (vm *VM) flowFields(s sparcookie.Segment, v sparcookie.Verdict) logrus.Fields {
	roster := vm.engine.Roster()
	fields := logrus.Fields{
		"flow": s.From.String() + ">" + s.To.String(), "do": v.Action.String(), "cause": v.Cause.String(),
		"version": roster.Routing.Version, "revision": roster.At.Revision, "age_ms": vm.age.Milliseconds(),
	}
	if v.ID != 0 {
		fields["upstream"] = fmt.Sprintf("%x", v.ID)
		fields["at"] = v.At.String()
		fields["silent_ms"] = v.Silent.Milliseconds()
	}
	if v.Waited > 0 {
		fields["waited_ms"] = v.Waited.Milliseconds()
	}
	return fields
}

func (vm *VM) logBadPacket(err error, size int) {
	vm.log.WithFields(logrus.Fields{"cause": err.Error(), "bytes": size}).Warn("packet refused")
}
