package sparroute_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const upstreams = 15

var (
	service = sparflow.MakeEndpoint(0xC6336401, 443)
	wall    = time.Unix(1_800_000_000, 0)
)

func upstream(i int) sparflow.Endpoint { return sparflow.MakeEndpoint(0x0A000001+uint32(i), 8080) }

func client(i int) sparflow.Endpoint {
	return sparflow.MakeEndpoint(0xCB000000+uint32(i/50000), uint16(1024+i%50000))
}

// settings returns a snapshot with one service at a revision.
func settings(base sparconfig.Snapshot, revision uint64, d sparconfig.Document) sparconfig.Snapshot {
	r := sparregistry.Registry{}.WithFullRead(nil, sparregistry.Position{Revision: revision})
	for _, key := range d.Claims() {
		r = r.With(sparregistry.Entry{Key: key, Value: []byte("team/booking"), Revision: 1})
	}
	r = r.With(sparregistry.Entry{Key: sparconfig.ServiceKey("team", "booking"), Value: d.Text(), Revision: revision})
	return base.With(r)
}

func document(proto string) sparconfig.Document {
	d := sparconfig.Document{Address: service.String(), Proto: proto}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, sparconfig.Member{At: upstream(i).String()})
	}
	return d
}

func view(names ...string) sparmember.View {
	v := sparmember.View{Settled: true}
	for i, name := range names {
		v.Members = append(v.Members, sparmember.Member{
			VM: sparconfig.VM{Name: name, Domain: fmt.Sprintf("domain-%d", i%4)}, Incarnation: 1, Rank: sparrank.Hash(name),
		})
		v.Digest = v.Digest*31 + sparrank.Hash(name)
	}
	return v
}

// engine returns an engine with a service that is newer than its first settings.
func engine(proto string, names ...string) *sparroute.Engine {
	e := sparroute.New("vm-1", sparflow.NewHasher(1, 2), 4<<20)
	e.Advance(time.Second, wall)
	e.Apply(settings(sparconfig.Snapshot{}, 1, sparconfig.Document{}))
	e.SetView(view(names...))
	e.Apply(settings(e.Snapshot(), 5, document(proto)))
	e.Tick()
	return e
}

func packet(i int, kind sparroute.Kind) sparroute.Segment {
	return sparroute.Segment{From: client(i), To: service, Proto: sparflow.TCP, Kind: kind}
}

func response(i int, from sparflow.Endpoint, kind sparroute.Kind) sparroute.Segment {
	return sparroute.Segment{From: from, To: client(i), Proto: sparflow.TCP, Kind: kind}
}

// open opens n flows. Those of slots owned elsewhere are learned from a response.
func open(e *sparroute.Engine, n int) (assigned []sparflow.Endpoint) {
	for i := range n {
		v := e.Forward(packet(i, sparroute.SYN))
		at := v.At
		if v.Action == sparroute.ToPeer {
			at = upstream(i % upstreams)
			e.Return(response(i, at, sparroute.Data))
		} else {
			e.Return(response(i, at, sparroute.SYNACK))
		}
		assigned = append(assigned, at)
	}
	return assigned
}

func assertAction(t *testing.T, v sparroute.Verdict, want sparroute.Action) {
	t.Helper()
	if v.Action != want {
		t.Fatalf("action %d (cause %s), want %d", v.Action, v.Cause, want)
	}
}

func TestPacketDecisionAllocatesNothing(t *testing.T) {
	cases := []struct {
		name    string
		members []string
	}{
		{"owner", []string{"vm-1"}},
		{"one of eight", []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			const flows = 10_000
			e := engine("tcp", c.members...)
			assigned := open(e, flows)
			i := 0
			allocs := testing.AllocsPerRun(flows, func() {
				i = (i + 1) % flows
				e.Forward(packet(i, sparroute.Data))
				e.Return(response(i, assigned[i], sparroute.Data))
			})
			if allocs != 0 {
				t.Errorf("%v allocations a packet, want 0", allocs)
			}
		})
	}
}

func TestFlowMemory(t *testing.T) {
	const (
		flows = 1 << 20
		bound = 64
	)
	cases := []struct {
		name    string
		members []string
	}{
		{"record of the owner", []string{"vm-1"}},
		{"cache entry", []string{"vm-2", "vm-3"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := engine("tcp", c.members...)
			before := heap()
			open(e, flows)
			each := (heap() - before) / flows
			t.Logf("%d bytes a flow", each)
			if each > bound {
				t.Errorf("%d bytes a flow, want at most %d", each, bound)
			}
			runtime.KeepAlive(e)
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func TestSYNIsRefusedWhenAllUpstreamsDrain(t *testing.T) {
	d := document("tcp")
	e := engine("tcp", "vm-1")
	for i := range d.Upstreams {
		d, _ = d.WithDrain(upstream(i).String(), wall.Add(time.Hour))
	}
	e.Apply(settings(e.Snapshot(), 6, d))
	assertAction(t, e.Forward(packet(1, sparroute.SYN)), sparroute.Refuse)
}

func TestReturnOfOtherUpstreamIsDropped(t *testing.T) {
	e := engine("tcp", "vm-1")
	at := e.Forward(packet(1, sparroute.SYN)).At
	other := upstream(0)
	if other == at {
		other = upstream(1)
	}
	assertAction(t, e.Return(response(1, other, sparroute.SYNACK)), sparroute.Drop)
	assertAction(t, e.Return(response(1, other, sparroute.RST)), sparroute.Drop)
	assertAction(t, e.Return(response(1, at, sparroute.SYNACK)), sparroute.ToClient)
}

func TestAdoptedFlowOfRemovedUpstreamIsAborted(t *testing.T) {
	e := engine("tcp", "vm-1")
	removed := sparflow.MakeEndpoint(0x0A0000FE, 8080)
	key := sparflow.NewHasher(1, 2).Key(sparflow.Tuple{Client: client(2), Service: service, Proto: sparflow.TCP})
	e.Receive("vm-2", sparroute.Handover{
		Service: "team/booking", Flows: []sparroute.Flows{{Upstream: removed, Keys: []sparflow.Key{key}}},
	})
	assertAction(t, e.Forward(packet(2, sparroute.Data)), sparroute.Abort)
}

func TestReusedTupleKeepsItsUpstream(t *testing.T) {
	e := engine("tcp", "vm-1")
	assigned := open(e, 3000) // some of them overrides
	for i, at := range assigned {
		e.Return(response(i, at, sparroute.SYNACK))
		e.Forward(packet(i, sparroute.RST))
		v := e.Forward(packet(i, sparroute.SYN))
		if v.At != at {
			t.Fatalf("new flow with tuple %d is at %s, the closed one was at %s", i, v.At, at)
		}
	}
}

func TestHalfCloseIsNotTheEnd(t *testing.T) {
	e := engine("tcp", "vm-1")
	at := e.Forward(packet(1, sparroute.SYN)).At
	e.Return(response(1, at, sparroute.SYNACK))
	e.Forward(packet(1, sparroute.FIN))
	if state := e.UpstreamState("team/booking", at); state.Flows != 1 {
		t.Fatalf("%d flows after half-close, want 1", state.Flows)
	}
	assertAction(t, e.Return(response(1, at, sparroute.Data)), sparroute.ToClient)
	e.Return(response(1, at, sparroute.FIN))
	if state := e.UpstreamState("team/booking", at); state.Flows != 0 {
		t.Errorf("%d flows after both halves closed, want 0", state.Flows)
	}
}

func TestUnansweredSYNMovesToOtherUpstream(t *testing.T) {
	e := engine("tcp", "vm-1")
	now := time.Second
	at := e.Forward(packet(1, sparroute.SYN)).At
	for try := range 6 {
		now += 3 * time.Second
		e.Advance(now, wall)
		v := e.Forward(packet(1, sparroute.SYN))
		assertAction(t, v, sparroute.ToUpstream)
		if v.At != at {
			t.Logf("moved after %d retransmissions", try+1)
			assertAction(t, e.Return(response(1, at, sparroute.SYNACK)), sparroute.Drop)
			return
		}
	}
	t.Error("the SYN never moved away from an unresponsive upstream")
}

func TestUDPFlowEndsByIdleTime(t *testing.T) {
	e := engine("udp", "vm-1")
	s := sparroute.Segment{From: client(1), To: service, Proto: sparflow.UDP}
	at := e.Forward(s).At
	for second := range 10 {
		e.Advance(time.Duration(second*30)*time.Second, wall)
		e.Tick()
		if v := e.Forward(s); v.At != at {
			t.Fatalf("a flow in use moved from %s to %s", at, v.At)
		}
	}
	e.Advance(600*time.Second, wall)
	e.Tick()
	if state := e.UpstreamState("team/booking", at); state.Flows != 0 {
		t.Errorf("%d flows after the idle time, want 0", state.Flows)
	}
}

func TestWarmingUpstreamGetsFewFlows(t *testing.T) {
	d := document("tcp")
	d.Warm = 100
	e := engine("tcp", "vm-1")
	open(e, 15_000)
	d.Upstreams = append(d.Upstreams, sparconfig.Member{At: upstream(upstreams).String()})
	e.Apply(settings(e.Snapshot(), 6, d))
	for i := range 3000 {
		e.Forward(packet(100_000+i, sparroute.SYN))
	}
	fair := 18_000 / 16
	if state := e.UpstreamState("team/booking", upstream(upstreams)); state.Flows == 0 || state.Flows > fair/5 {
		t.Errorf("%d flows at the start of warming, fair share %d", state.Flows, fair)
	}
}

func BenchmarkForward(b *testing.B) {
	for _, members := range [][]string{{"vm-1"}, {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"}} {
		b.Run(fmt.Sprintf("vms=%d", len(members)), func(b *testing.B) {
			const flows = 30_000
			e := engine("tcp", members...)
			open(e, flows)
			packets := make([]sparroute.Segment, flows)
			for i := range packets {
				packets[i] = packet(i, sparroute.Data)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				e.Forward(packets[i])
				if i++; i == flows {
					i = 0
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}

func BenchmarkOpening(b *testing.B) {
	e := engine("tcp", "vm-1")
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		e.Forward(packet(i%(1<<20), sparroute.SYN))
		i++
	}
}
