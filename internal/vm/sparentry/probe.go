package sparentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/platform"
)

const (
	// probeBytes bounds what a VM sends in a second to ask about upstreams and to answer.
	probeBytes = 2048
	// connectRing is the number of upstreams that may wait for a connection. sparprobe bounds those
	// under way.
	connectRing = 64
	// lateTimeout is the delay of a timeout from which on this VM may not have noticed that the connection
	// had opened: it got no processor time.
	lateTimeout = 20 * time.Millisecond
)

// What a connection shows.
const (
	dialUnknown dialResult = iota // nothing: this VM lacks the means
	dialSilent
	dialAlive
)

type (
	// prober finds out with other VMs whether upstreams are gone. Use newProber.
	prober struct {
		asker       *sparprobe.Asker
		answerer    sparprobe.Answerer
		connections sparprobe.Connections
		budget      sparevidence.Budget
		vms         map[string]sparconfig.VM // others, by name
		refused     refusals
		stats       proberStats
	}

	proberStats struct {
		sent, answers, unsent, connections uint64
		outcomes                           [sparprobe.Back + 1]uint64
	}

	// connected is the outcome of a connection to an upstream.
	connected struct {
		mark uint64
		dialResult
	}

	// dialResult is what a connection shows about its upstream.
	dialResult uint8
)

func (connected) input() {}

func newProber(self sparconfig.VM, most int) *prober {
	return &prober{
		asker:  sparprobe.NewAsker(sparprobe.VM{Name: self.Name, Domain: self.Domain}, rand.Uint32(), most),
		budget: sparevidence.Budget{PerSecond: probeBytes},
	}
}

// setVMs replaces the VMs that may be asked.
func (p *prober) setVMs(self string, vms []sparconfig.VM) {
	p.vms = map[string]sparconfig.VM{}
	var list []sparprobe.VM
	for _, vm := range vms {
		list = append(list, sparprobe.VM{Name: vm.Name, Domain: vm.Domain})
		if vm.Name != self {
			p.vms[vm.Name] = vm
		}
	}
	p.asker.SetVMs(list)
}

// probeUpstreams begins and ends the rounds that are due. The VM says and concludes nothing while it
// may have responses to read.
func (vm *VM) probeUpstreams() {
	p, now := vm.prober, vm.tickedAt
	suspects := vm.engine.Suspects()
	if vm.engine.JustPaused() {
		p.asker.Cancel()
		p.answerer.Cancel()
		return
	}
	vm.askVMs(p.asker.Renew(now, vm.engine.Look), now)
	if len(suspects) > 0 {
		vm.askVMs(p.asker.Begin(now, suspects), now)
	}
	vm.connectAll(p.asker.Wanted(now, &p.connections))
	for _, o := range p.asker.Evaluate(now, &p.connections, vm.engine.Look) {
		vm.engine.SetGone(o)
		vm.resetPending(o)
		p.stats.outcomes[o.Kind]++
		vm.logOutcome(o)
	}
	vm.answerProbes(now)
}

// resetPending resets the flows with a pending request at an upstream that is gone.
func (vm *VM) resetPending(o sparprobe.Outcome) {
	var b [platform.HeaderBytes]byte
	for _, ended := range vm.engine.ResetPending(o) {
		vm.send(platform.Reset(b[:], ended.Segment), sparflow.MakeEndpoint(ended.From.IP(), vm.port))
		vm.logVerdict(ended.Segment, ended.Verdict)
	}
}

// askVMs sends questions, as far as the budget allows.
func (vm *VM) askVMs(questions []sparprobe.Addressed, now time.Duration) {
	for _, q := range questions {
		if vm.sendProbe(q.To, sparcontrol.EncodeProbe(q.Question), now) {
			vm.prober.stats.sent++
		}
	}
}

// answerProbes sends the answers that are complete.
func (vm *VM) answerProbes(now time.Duration) {
	p := vm.prober
	for _, a := range p.answerer.Due(now, vm.file.Name, &p.connections, vm.engine.Look) {
		if vm.sendProbe(a.To, sparcontrol.EncodeProbeAnswer(a.Answer), now) {
			p.stats.answers++
		}
	}
}

func (vm *VM) sendProbe(to string, b []byte, now time.Duration) (sent bool) {
	other, ok := vm.prober.vms[to]
	if !ok || !vm.prober.budget.Take(now, len(b)) {
		vm.prober.stats.unsent++
		return false
	}
	vm.sendControl(other, b)
	return true
}

// receiveProbe takes in the question of another VM.
func (vm *VM) receiveProbe(q sparprobe.Question) {
	p, now := vm.prober, time.Since(vm.began)
	if _, ok := p.vms[q.From]; !ok {
		vm.refuse(&p.refused, "probe refused", q.From, sparprobe.UnknownVM, now)
		return
	}
	if vm.engine.JustPaused() || now-vm.tickedAt > lateTick {
		return
	}
	vm.connectAll(p.answerer.Ask(now, q, &p.connections, vm.engine.Look))
	vm.answerProbes(now)
}

// receiveProbeAnswer takes in the answer of another VM.
func (vm *VM) receiveProbeAnswer(a sparprobe.Answer) {
	now := time.Since(vm.began)
	if err := vm.prober.asker.Receive(now, a); err != nil {
		vm.refuse(&vm.prober.refused, "probe refused", a.From, err, now)
	}
}

// connectionDone takes in the outcome of a connection. A question may be answered now.
func (vm *VM) connectionDone(c connected) {
	now := time.Since(vm.began)
	if c.dialResult == dialUnknown {
		vm.prober.connections.Drop(c.mark)
	} else {
		vm.prober.connections.Done(now, c.mark, c.dialResult == dialAlive)
	}
	if !vm.engine.JustPaused() && now-vm.tickedAt <= lateTick {
		vm.answerProbes(now)
	}
}

func (vm *VM) connectAll(upstreams []sparprobe.Upstream) {
	for _, u := range upstreams {
		vm.prober.stats.connections++
		if !vm.connects.Put(u) {
			vm.prober.connections.Drop(u.Mark())
		}
	}
}

// connector opens connections to upstreams and closes them at once, until ctx ends.
func (vm *VM) connector(ctx context.Context) error {
	workers := pool.New().WithMaxGoroutines(sparprobe.MaxConnections)
	defer workers.Wait()
	for {
		select {
		case u := <-vm.connects.Out():
			workers.Go(func() { vm.post(ctx, connected{mark: u.Mark(), dialResult: dial(ctx, u.At)}) })
		case <-ctx.Done():
			return nil
		}
	}
}

// dial opens a connection to an address and closes it at once.
func dial(ctx context.Context, at sparflow.Endpoint) dialResult {
	dialer := net.Dialer{Timeout: sparprobe.ConnectTimeout, KeepAlive: -1}
	began := time.Now()
	conn, err := dialer.DialContext(ctx, "tcp4", at.String())
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	return judgeDial(err, time.Since(began))
}

// judgeDial returns what a connection shows that ended so after some time. A lack of descriptors, ports or
// memory and a timeout that comes late are faults of this VM.
func judgeDial(err error, took time.Duration) dialResult {
	var timeout net.Error
	switch {
	case err == nil:
		return dialAlive
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS),
		errors.Is(err, syscall.ENOMEM), errors.Is(err, syscall.EADDRNOTAVAIL), errors.Is(err, context.Canceled):
		return dialUnknown
	case errors.As(err, &timeout) && timeout.Timeout() && took >= sparprobe.ConnectTimeout+lateTimeout:
		return dialUnknown
	}
	return dialSilent
}
