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
	labDelay     = 5 * time.Millisecond
	labSecret    = "000102030405060708090a0b0c0d0e0f"
	maxTries     = 12
	udpIPHeaders = 28
	fabricLag    = time.Second // how long the fabric still sprays packets to a stopped VM
)

type (
	// lab runs real nodes with fakes at their interfaces: a clock, a network with partitions
	// and message loss, a platform, and hosts that only track connections.
	lab struct {
		t             testing.TB
		rng           *rand.Rand
		now           time.Duration
		start         time.Time
		vms           []*labVM
		messages      []labMessage
		blocked       func(from, to string) bool
		loss          int                           // percent of the messages between VMs
		settingsDelay func(vm string) time.Duration // extra delay of settings to a VM

		entries  map[string]sparregistry.Entry
		revision uint64
		down     bool

		upstreams map[sparflow.Endpoint]*labUpstream
		services  map[sparflow.Endpoint]string
		misrouted int // packets that reached an upstream of another service
		tracing   bool
	}

	labVM struct {
		name         string
		file         sparconfig.File
		node         *sparnode.Node
		stopped      bool
		stoppedAt    time.Duration
		frozen       bool
		readRevision uint64
		held         map[sparflow.Key]heldPacket
		bytes        int
	}

	heldPacket struct {
		flow *labFlow
		kind sparroute.Kind
	}

	labMessage struct {
		at       time.Duration
		from, to string
		deliver  func(vm *labVM)
	}

	labUpstream struct {
		service      string
		conns        map[*labFlow]bool
		unresponsive bool // does not answer SYNs
		refusing     bool // answers SYNs with RST
		opened       []time.Duration
	}

	labFlow struct {
		tuple    sparflow.Tuple
		service  string
		upstream sparflow.Endpoint
		open     bool
		ending   bool // the client has sent FIN
		refused  bool
		broken   string
		trace    []string // decisions on its packets, if the lab traces them
	}
)

func newLab(t testing.TB, seed uint64) *lab {
	return &lab{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1_800_000_000, 0), now: time.Second,
		entries: map[string]sparregistry.Entry{}, upstreams: map[sparflow.Endpoint]*labUpstream{},
		services:      map[sparflow.Endpoint]string{},
		blocked:       func(string, string) bool { return false },
		settingsDelay: func(string) time.Duration { return 0 },
	}
}

func (l *lab) wall() time.Time { return l.start.Add(l.now) }

// boot starts a VM and registers it.
func (l *lab) boot(name, domain string) *labVM {
	ip := len(l.vms) + 1
	file := sparconfig.File{
		Name: name, Domain: domain, Data: fmt.Sprintf("127.0.0.1:%d", 10000+ip),
		Control: fmt.Sprintf("127.0.0.1:%d", 20000+ip), Secret: labSecret, Flows: sparconfig.DefaultFlows,
	}
	vm := &labVM{name: name, file: file, held: map[sparflow.Key]heldPacket{}}
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
		if l.upstreams[at] == nil {
			l.upstreams[at] = &labUpstream{service: name, conns: map[*labFlow]bool{}}
		}
	}
	at, _ := sparflow.ParseEndpoint(d.Address)
	l.services[at] = name
	l.put(sparconfig.ServiceKey("team", name), d.Text())
}

func (l *lab) vm(name string) *labVM {
	for _, vm := range l.vms {
		if vm.name == name && !vm.stopped {
			return vm
		}
	}
	return nil
}

// kill stops a VM without a handover. The platform still lists it.
func (l *lab) kill(name string) {
	vm := l.vm(name)
	vm.stopped, vm.stoppedAt = true, l.now
}

// run advances the clock by d and runs the VMs.
func (l *lab) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.now += sparnode.TickEvery
		l.deliver()
		l.readPlatform()
		for _, vm := range l.vms {
			if !vm.stopped && !vm.frozen {
				l.perform(vm, vm.node.Tick(l.now, l.wall()))
			}
		}
	}
}

func (l *lab) deliver() {
	due := l.messages
	l.messages = nil
	for _, m := range due {
		switch vm := l.vm(m.to); {
		case m.at > l.now:
			l.messages = append(l.messages, m)
		case vm == nil:
		case vm.frozen:
			l.messages = append(l.messages, m) // waits in the socket buffer
		default:
			vm.node.Advance(l.now, l.wall())
			m.deliver(vm)
			l.perform(vm, vm.node.Effects())
		}
	}
}

// readPlatform sends the entries of the platform to the VMs that watch it.
func (l *lab) readPlatform() {
	for _, vm := range l.vms {
		if l.down || vm.stopped || vm.frozen || vm.readRevision == l.revision || l.blocked(vm.name, "platform") {
			continue
		}
		if !vm.node.Tracker.ReadsPlatform(l.now) {
			vm.readRevision = 0
			continue
		}
		vm.readRevision = l.revision
		var entries []sparregistry.Entry
		for _, e := range l.entries {
			entries = append(entries, e)
		}
		revision := l.revision
		l.send("platform", vm.name, l.settingsDelay(vm.name), func(vm *labVM) { vm.node.MergeRead(entries, revision) })
	}
}

func (l *lab) send(from, to string, extra time.Duration, deliver func(vm *labVM)) {
	if l.blocked(from, to) || l.loss > 0 && l.rng.IntN(100) < l.loss {
		return
	}
	l.messages = append(l.messages, labMessage{at: l.now + labDelay + extra, from: from, to: to, deliver: deliver})
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
		case sparnode.ReleaseClaim:
			if e, ok := l.entries[out.Key]; ok && e.Revision == out.Revision {
				delete(l.entries, out.Key)
				l.revision++
			}
		case sparnode.RaiseEra:
			if l.entries[sparconfig.EraKey].Revision == out.Revision && !l.down && !l.blocked(vm.name, "platform") {
				l.put(sparconfig.EraKey, sparconfig.EraText(out.Era))
			}
		case sparnode.Release:
			if h, ok := vm.held[out.Key]; ok {
				delete(vm.held, out.Key)
				l.route(vm, h.flow, sparroute.Segment{From: h.flow.tuple.Client, To: h.flow.tuple.Service, Proto: h.flow.tuple.Proto, Kind: h.kind})
			}
		}
	}
}

func (l *lab) datagram(vm *labVM, to string, b []byte) {
	vm.bytes += len(b) + udpIPHeaders
	l.send(vm.name, to, 0, func(vm *labVM) {
		in, err := sparcontrol.Decode(b)
		if err != nil {
			l.t.Fatalf("Decode: %v", err)
		}
		vm.node.Receive(in)
	})
}

func (l *lab) pull(vm *labVM, p sparnode.Pull) {
	requester := vm.name
	l.send(requester, p.From.Name, 0, func(peer *labVM) {
		delta := peer.node.Registry().Delta(p.After)
		l.send(peer.name, requester, l.settingsDelay(requester), func(vm *labVM) { vm.node.Merge(delta) })
	})
}

// spray returns the VM to which the fabric sends a packet.
func (l *lab) spray() *labVM {
	var live []*labVM
	for _, vm := range l.vms {
		if !vm.stopped || l.now-vm.stoppedAt < fabricLag {
			live = append(live, vm)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[l.rng.IntN(len(live))]
}

// route passes a packet from VM to VM until it leaves them or is lost.
func (l *lab) route(vm *labVM, f *labFlow, s sparroute.Segment) {
	for vm != nil && !vm.stopped && !vm.frozen {
		vm.node.Advance(l.now, l.wall())
		snapshot := vm.node.Snapshot()
		var v sparroute.Verdict
		back := snapshot.ServiceAt(s.Proto, s.To) == nil && snapshot.ServiceOfUpstream(s.Proto, s.From) != nil
		if back {
			v = vm.node.Engine.Return(s)
		} else {
			v = vm.node.Engine.Forward(s)
		}
		if l.tracing && f.broken == "" {
			f.trace = append(f.trace, fmt.Sprintf("%v %s kind %d from %s hops %d: action %d %s%s %s",
				l.now, vm.name, s.Kind, s.From, s.Hops, v.Action, v.Peer, v.At, v.Cause))
		}
		switch v.Action {
		case sparroute.ToPeer:
			if l.blocked(vm.name, v.Peer) {
				return
			}
			vm = l.vm(v.Peer)
			s.Hops++
			continue
		case sparroute.ToUpstream:
			if v.Keep {
				vm.held[v.Key] = heldPacket{f, s.Kind}
			}
			l.upstreamReceive(f, v.At, s)
		case sparroute.ToClient:
			l.clientReceive(f, s)
		case sparroute.Hold:
			vm.held[v.Key] = heldPacket{f, s.Kind}
		case sparroute.Refuse:
			f.refused = true
		case sparroute.Abort, sparroute.AbortClient:
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
		d.Upstreams = append(d.Upstreams, sparconfig.Member{At: upstreamAt(net, i+1)})
	}
	return d
}

func upstreamAt(net, n int) string { return fmt.Sprintf("10.0.%d.%d:8080", net, n) }

// drained returns d with some upstreams draining for an hour.
func (l *lab) drained(d sparconfig.Document, ats ...string) sparconfig.Document {
	for _, at := range ats {
		d, _ = d.WithDrain(at, l.wall().Add(time.Hour))
	}
	return d
}

// spread returns the maximum and the mean of the open flows of the upstreams of a service.
func (l *lab) spread(service string) (most int, mean float64) {
	total, n := 0, 0
	for _, u := range l.upstreams {
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

// client returns the endpoint of client number n.
func client(n int) sparflow.Endpoint {
	return sparflow.MakeEndpoint(0xCB000000+uint32(n/50000), uint16(1024+n%50000))
}
