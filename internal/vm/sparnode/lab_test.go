package sparnode_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparnode"
)

const (
	labDelay  = 5 * time.Millisecond
	labSecret = "000102030405060708090a0b0c0d0e0f"
	maxTries  = 12
	udpIP     = 28
	fabricLag = time.Second // the fabric goes on spraying over a dead VM
)

type (
	// lab drives real nodes with fakes at their interfaces: a clock, a lossless
	// network with cuts, a platform and hosts that only remember connections.
	lab struct {
		t     testing.TB
		rng   *rand.Rand
		now   time.Duration
		start time.Time
		vms   []*labVM
		wires []labWire
		cut   func(from, to string) bool
		loss  int                           // percent of the messages between VMs
		late  func(vm string) time.Duration // of settings

		entries  map[string]sparregistry.Entry
		revision uint64
		down     bool

		uppers   map[sparflow.Endpoint]*labUpper
		services map[sparflow.Endpoint]string
		strays   int // packets that reached an upstream of another service
		traces   bool
	}

	labVM struct {
		name   string
		file   sparconfig.File
		node   *sparnode.Node
		dead   bool
		died   time.Duration
		frozen bool
		seen   uint64
		held   map[sparflow.Key]labHeld
		bytes  int
	}

	labHeld struct {
		flow *labFlow
		kind sparroute.Kind
	}

	labWire struct {
		at       time.Duration
		from, to string
		deliver  func(vm *labVM)
	}

	labUpper struct {
		service string
		conns   map[*labFlow]bool
		mute    bool // does not answer openings
		shed    bool // refuses openings
		opened  []time.Duration
	}

	labFlow struct {
		tuple   sparflow.Tuple
		service string
		home    sparflow.Endpoint
		open    bool
		ending  bool // the caller has sent FIN
		refused bool
		broken  string
		trail   []string // decisions on its packets, where the lab traces
	}
)

func newLab(t testing.TB, seed uint64) *lab {
	return &lab{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1_800_000_000, 0), now: time.Second,
		entries: map[string]sparregistry.Entry{}, uppers: map[sparflow.Endpoint]*labUpper{},
		services: map[sparflow.Endpoint]string{},
		cut:      func(string, string) bool { return false },
		late:     func(string) time.Duration { return 0 },
	}
}

func (l *lab) wall() time.Time { return l.start.Add(l.now) }

// boot starts a VM and lists it.
func (l *lab) boot(name, domain string) *labVM {
	ip := len(l.vms) + 1
	file := sparconfig.File{
		Name: name, Domain: domain, Data: fmt.Sprintf("127.0.0.1:%d", 10000+ip),
		Control: fmt.Sprintf("127.0.0.1:%d", 20000+ip), Secret: labSecret, Flows: sparconfig.DefaultFlows,
	}
	vm := &labVM{name: name, file: file, held: map[sparflow.Key]labHeld{}}
	vm.node = sparnode.New(file, uint64(l.now/time.Millisecond), l.now, l.wall())
	l.vms = append(l.vms, vm)
	l.put(sparconfig.VMKey(name), file.VM().Text())
	return vm
}

func (l *lab) bootAll(n int) {
	for i := range n {
		l.boot(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("domain-%d", i%4))
	}
}

func (l *lab) put(key string, value []byte) {
	l.revision++
	l.entries[key] = sparregistry.Entry{Key: key, Value: value, Revision: l.revision}
}

// serve writes a service and its claims, and starts the upstreams it names.
func (l *lab) serve(name string, d sparconfig.Document) {
	for _, key := range d.Claims() {
		if _, ok := l.entries[key]; !ok {
			l.put(key, []byte("team/"+name))
		}
	}
	for _, m := range d.Upstreams {
		at, _ := sparflow.ParseEndpoint(m.At)
		if l.uppers[at] == nil {
			l.uppers[at] = &labUpper{service: name, conns: map[*labFlow]bool{}}
		}
	}
	at, _ := sparflow.ParseEndpoint(d.Address)
	l.services[at] = name
	l.put(sparconfig.ServiceKey("team", name), d.Text())
}

func (l *lab) vm(name string) *labVM {
	for _, vm := range l.vms {
		if vm.name == name && !vm.dead {
			return vm
		}
	}
	return nil
}

// kill stops a VM without a word; the platform still lists it.
func (l *lab) kill(name string) {
	vm := l.vm(name)
	vm.dead, vm.died = true, l.now
}

// run moves time on.
func (l *lab) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.now += sparnode.TickEvery
		l.deliver()
		l.read()
		for _, vm := range l.vms {
			if !vm.dead && !vm.frozen {
				l.perform(vm, vm.node.Tick(l.now, l.wall()))
			}
		}
	}
}

func (l *lab) deliver() {
	due := l.wires
	l.wires = nil
	for _, w := range due {
		switch vm := l.vm(w.to); {
		case w.at > l.now:
			l.wires = append(l.wires, w)
		case vm == nil:
		case vm.frozen:
			l.wires = append(l.wires, w) // waits in the socket buffer
		default:
			vm.node.Advance(l.now, l.wall())
			w.deliver(vm)
			l.perform(vm, vm.node.Drain())
		}
	}
}

// read gives the platform's state to the VMs that watch it.
func (l *lab) read() {
	for _, vm := range l.vms {
		if l.down || vm.dead || vm.frozen || vm.seen == l.revision || l.cut(vm.name, "platform") {
			continue
		}
		if !vm.node.Tracker.Watches(l.now) {
			vm.seen = 0
			continue
		}
		vm.seen = l.revision
		var entries []sparregistry.Entry
		for _, e := range l.entries {
			entries = append(entries, e)
		}
		revision := l.revision
		l.wire("platform", vm.name, l.late(vm.name), func(vm *labVM) { vm.node.Reading(entries, revision) })
	}
}

func (l *lab) wire(from, to string, extra time.Duration, deliver func(vm *labVM)) {
	if l.cut(from, to) || l.loss > 0 && l.rng.IntN(100) < l.loss {
		return
	}
	l.wires = append(l.wires, labWire{at: l.now + labDelay + extra, from: from, to: to, deliver: deliver})
}

func (l *lab) perform(vm *labVM, outs []sparnode.Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case sparnode.Beat:
			l.datagram(vm, out.To.Name, sparcontrol.EncodeBeat(out.Report))
		case sparnode.Frame:
			l.datagram(vm, out.To.Name, sparcontrol.EncodeFrame(out.Message))
		case sparnode.Pull:
			l.pull(vm, out)
		case sparnode.Sweep:
			if e, ok := l.entries[out.Key]; ok && e.Revision == out.Revision {
				delete(l.entries, out.Key)
				l.revision++
			}
		case sparnode.Release:
			if h, ok := vm.held[out.Key]; ok {
				delete(vm.held, out.Key)
				l.follow(vm, h.flow, sparroute.Segment{From: h.flow.tuple.Caller, To: h.flow.tuple.Service, Proto: h.flow.tuple.Proto, Kind: h.kind})
			}
		}
	}
}

func (l *lab) datagram(vm *labVM, to string, b []byte) {
	vm.bytes += len(b) + udpIP
	l.wire(vm.name, to, 0, func(vm *labVM) {
		in, err := sparcontrol.Decode(b)
		if err != nil {
			l.t.Fatalf("Decode: %v", err)
		}
		vm.node.Receive(in)
	})
}

func (l *lab) pull(vm *labVM, p sparnode.Pull) {
	asker := vm.name
	l.wire(asker, p.From.Name, 0, func(peer *labVM) {
		share := peer.node.Registry().Share(p.After)
		l.wire(peer.name, asker, l.late(asker), func(vm *labVM) { vm.node.Merge(share) })
	})
}

// spray picks the VM that the fabric hands a packet to.
func (l *lab) spray() *labVM {
	var live []*labVM
	for _, vm := range l.vms {
		if !vm.dead || l.now-vm.died < fabricLag {
			live = append(live, vm)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[l.rng.IntN(len(live))]
}

// follow takes a packet through the VMs until it leaves them or is lost.
func (l *lab) follow(vm *labVM, f *labFlow, s sparroute.Segment) {
	for vm != nil && !vm.dead && !vm.frozen {
		vm.node.Advance(l.now, l.wall())
		snapshot := vm.node.Snapshot()
		var v sparroute.Verdict
		back := snapshot.Accepts(s.Proto, s.To) == nil && snapshot.Answers(s.Proto, s.From) != nil
		if back {
			v = vm.node.Engine.Return(s)
		} else {
			v = vm.node.Engine.Forward(s)
		}
		if l.traces && f.broken == "" {
			f.trail = append(f.trail, fmt.Sprintf("%v %s kind %d from %s hops %d: action %d %s%s %s",
				l.now, vm.name, s.Kind, s.From, s.Hops, v.Action, v.Peer, v.At, v.Cause))
		}
		switch v.Action {
		case sparroute.ToPeer:
			if l.cut(vm.name, v.Peer) {
				return
			}
			vm = l.vm(v.Peer)
			s.Hops++
			continue
		case sparroute.ToUpstream:
			if v.Keep {
				vm.held[v.Key] = labHeld{f, s.Kind}
			}
			l.arrive(f, v.At, s)
		case sparroute.ToCaller:
			l.answered(f, s)
		case sparroute.Hold:
			vm.held[v.Key] = labHeld{f, s.Kind}
		case sparroute.Refuse:
			f.refused = true
		case sparroute.Abort, sparroute.AbortCaller:
			if f.open {
				f.broken = "aborted"
			}
		}
		return
	}
}

// document returns a service with upstreams 10.0.net.1 to 10.0.net.n.
func document(net, n int) sparconfig.Document {
	d := sparconfig.Document{Address: fmt.Sprintf("198.51.100.%d:443", net), Proto: "tcp"}
	for i := range n {
		d.Upstreams = append(d.Upstreams, sparconfig.Member{At: upperAt(net, i+1)})
	}
	return d
}

func upperAt(net, n int) string { return fmt.Sprintf("10.0.%d.%d:8080", net, n) }

// drained returns d with some upstreams draining for an hour.
func (l *lab) drained(d sparconfig.Document, ats ...string) sparconfig.Document {
	for _, at := range ats {
		d, _ = d.WithDrain(at, l.wall().Add(time.Hour))
	}
	return d
}

// spread returns the most and the mean open flows of the upstreams of a service.
func (l *lab) spread(service string) (most int, mean float64) {
	total, n := 0, 0
	for _, u := range l.uppers {
		if u.service == service {
			most = max(most, len(u.conns))
			total += len(u.conns)
			n++
		}
	}
	return most, float64(total) / float64(n)
}

func (l *lab) stats() (s sparroute.Stats) {
	for _, vm := range l.vms {
		v := vm.node.Engine.Stats()
		s.Openings += v.Openings
		s.Overrides += v.Overrides
		s.Redirects += v.Redirects
		s.Unrecorded += v.Unrecorded
		s.Searches += v.Searches
		s.Refused += v.Refused
		for i := range v.Drops {
			s.Drops[i] += v.Drops[i]
		}
	}
	return s
}

func assertAtMost(t *testing.T, what string, got, bound int) {
	t.Helper()
	t.Logf("%s: %d (bound %d)", what, got, bound)
	if got > bound {
		t.Errorf("%s: %d, want at most %d", what, got, bound)
	}
}

func endpoint(s string) sparflow.Endpoint {
	e, err := sparflow.ParseEndpoint(s)
	if err != nil {
		panic(err)
	}
	return e
}

// caller returns the endpoint of the caller with a number.
func caller(n int) sparflow.Endpoint {
	return sparflow.MakeEndpoint(0xCB000000+uint32(n/50000), uint16(1024+n%50000))
}
