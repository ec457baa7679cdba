// Package sparroute decides where each packet goes.
//
// An Engine holds the routing state of one VM. It does no I/O and reads no clock:
// the shell feeds it packets, settings, views and messages, and acts on the
// verdicts and effects it returns.
//
//	e := sparroute.New("vm-1", hasher, flows)
//	e.Advance(now, wall)
//	e.Apply(snapshot)
//	e.Join(view)
//	switch v := e.Forward(segment); v.Action {
//	case sparroute.ToUpstream:
//		// rewrite the destination to v.At and send
//	case sparroute.ToPeer:
//		// redirect to the VM v.Peer
//	}
//
// A keyed hash puts each flow of a service into one of sparflow.Slots hash slots.
// One VM owns each slot and decides its openings. Most flows go to the base
// of their slot, an upstream that the owner and its standbys agree on. A flow
// placed elsewhere is an override: its standbys acknowledge it before its SYN
// leaves, so the death of the owner breaks no flow.
//
// A packet of a flow that a VM does not know is redirected to the owner. A VM learns
// flows from the answers of upstreams, which name the upstream in their source.
package sparroute

import (
	"cmp"
	_ "embed"
	"maps"
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/route/sparhealth"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/state/sparchart"
)

const (
	// MaxHops is the number of redirects that a packet may take.
	MaxHops = 2

	// HandoverWait is how long a new owner waits for the former one.
	HandoverWait = 1500 * time.Millisecond

	scanEvery    = 100 * time.Millisecond
	handedWait   = 700 * time.Millisecond
	endedEvery   = time.Second
	collectEvery = 5 * time.Second
	linger       = 60 * time.Second
	maxHeld      = 8192
	maxFlows     = 4 << 20
)

const (
	none     sparchart.State = "none"
	standby  sparchart.State = "standby"
	awaiting sparchart.State = "awaiting"
	owning   sparchart.State = "owning"
)

var (
	//go:embed slot.chart
	slotText []byte

	slotChart = sparchart.MustParse(slotText)
)

type (
	// Engine is the routing state of one VM. Use New.
	Engine struct {
		self     string
		hasher   sparflow.Hasher
		now      time.Duration
		wall     time.Time
		snapshot sparconfig.Snapshot
		first    uint64 // revision of the first settings applied
		applied  bool
		view     sparmember.View
		me       int // index in view, or -1
		roles    []role
		groups   map[string]*group
		accept   map[address]*group
		answer   map[address]*group
		cache    *sparflow.Cache
		pending  []pending
		effects  []Effect
		acked    func(peer string) (seq uint64)
		queue    func(peer string, m Message) (seq uint64)
		searches int    // begun since searchesFrom
		partial  bool   // VMs that may own slots are out of reach, or were lately
		newer    string // a live peer with newer settings, or ""
		collect  time.Duration

		searchesFrom time.Duration
		stats        Stats
	}

	// role names the VMs of one slot as indices in the view, or -1.
	role struct {
		owner    int16
		standbys [2]int16
	}

	// address is a protocol and an endpoint in one word: proto<<48 | endpoint.
	address uint64

	// group is the state of one service.
	group struct {
		service *sparconfig.Service
		names   []uint64 // ranks of service.Upstreams
		carries map[sparflow.Endpoint]bool
		lost    bool // an upstream that may have had flows carries none any more
		slots   []slot
		flows   map[sparflow.Key]flow
		load    load
		health  map[sparflow.Endpoint]*sparhealth.Health
		held    map[sparflow.Key]bool
		handing []handing
		ended   map[sparflow.Key]bool // overrides that standbys are to forget
		dirty   map[uint16]bool       // slots whose standbys are to be told everything

		scanDue bool // some slot waits for a scan
		scanned time.Duration
		swept   time.Duration // last time that standbys were told of ended overrides
	}

	// slot is what this VM knows of one hash slot.
	slot struct {
		phase    sparchart.State
		base     sparflow.Endpoint // home of flows without a record
		first    sparflow.Endpoint // where settings put new flows
		complete bool              // every open flow has a record here
		rebasing bool
		informed bool // overrides of the slot are known here
		resumed  bool // owned before a pause of this process, to be handed over
		handed   bool // a handover has finished before the view made us owner
		from     string
		since    time.Duration
	}

	// flow is one record. It takes 16 bytes.
	flow struct {
		home  sparflow.Endpoint
		at    uint32 // monotonic seconds of the last change
		state uint8
		flags uint8
		tried uint16 // upstreams that a search has ruled out
	}

	// pending is a change that waits for the acknowledgement of standbys.
	pending struct {
		group *group
		key   sparflow.Key // 0 for a rebase
		home  sparflow.Endpoint
		slots []uint16
		needs []need
	}

	need struct {
		peer string
		seq  uint64
	}

	// handing is a handover that its receiver has not acknowledged.
	handing struct {
		need
		slots []uint16
	}
)

const (
	flowHeld    uint8 = iota // waits for its standbys
	flowOpening              // SYN passed on, no answer seen
	flowOpen
	flowSearch // its upstream is being looked for, see search
	flowClosed // kept for a while so that a reused port finds the same home
)

const (
	flagReplicated uint8 = 1 << iota // standbys have the record
	flagCallerIn                     // caller sent FIN
	flagUpperIn                      // upstream sent FIN
	flagDoubt                        // may have been opened elsewhere too, across a cut
)

// New returns an engine for the VM called self. flows bounds its cache.
func New(self string, hasher sparflow.Hasher, flows int) *Engine {
	return &Engine{
		self: self, hasher: hasher, me: -1,
		groups: map[string]*group{}, accept: map[address]*group{}, answer: map[address]*group{},
		cache: sparflow.NewCache(max(flows/2, 1)),
		acked: func(string) uint64 { return 0 },
		queue: func(string, Message) uint64 { return 0 },
	}
}

// Connect gives the engine its streams: queue sends a message and returns its
// sequence number, acked returns the highest number that the peer has taken.
func (e *Engine) Connect(queue func(peer string, m Message) uint64, acked func(peer string) uint64) {
	e.queue, e.acked = queue, acked
}

// Advance sets the time for the calls that follow: monotonic and wall.
func (e *Engine) Advance(now time.Duration, wall time.Time) {
	e.now, e.wall = now, wall
}

// Newer names a live peer whose settings are newer than these, or "".
func (e *Engine) Newer(peer string) { e.newer = peer }

// Partial says whether VMs that may own slots are out of reach, or were until a
// moment ago. Flows may then exist that no VM on this side has a record of.
func (e *Engine) Partial(partial bool) { e.partial = partial }

// Snapshot returns the settings in force.
func (e *Engine) Snapshot() sparconfig.Snapshot { return e.snapshot }

// View returns the view that ownership follows.
func (e *Engine) View() sparmember.View { return e.view }

// Effects returns and clears what the shell has to do.
func (e *Engine) Effects() []Effect {
	effects := e.effects
	e.effects = nil
	return effects
}

func (e *Engine) emit(effect Effect) { e.effects = append(e.effects, effect) }

func makeAddress(proto sparflow.Proto, at sparflow.Endpoint) address {
	return address(uint64(proto)<<48 | uint64(at))
}

// sorted returns the keys of m in order, so that equal runs act alike.
func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// seconds returns the monotonic time as kept in records.
func (e *Engine) seconds() uint32 { return uint32(e.now / time.Second) }

// Frozen takes ownership away after a pause of the process: the others have taken
// over. They get the records of this VM with the next view, unless the pause was so
// long that they may be about flows long ended.
func (e *Engine) Frozen(pause time.Duration) {
	e.cache.Clear()
	e.view = sparmember.View{}
	e.me = -1
	e.roles = nil
	e.pending = nil
	for _, g := range e.groups {
		for n := range g.slots {
			g.slots[n].resumed = g.slots[n].phase == owning && pause < linger
			g.slots[n].phase = slotChart.Next(g.slots[n].phase, "frozen")
			g.slots[n].rebasing = false
		}
		g.recount()
	}
}

// Tick does what time makes due.
func (e *Engine) Tick() {
	for _, name := range sorted(e.groups) {
		g := e.groups[name]
		e.expireDrains(g)
		e.tickHealth(g)
		g.load.tick()
		if e.now-g.swept >= endedEvery {
			g.swept = e.now
			e.flushEnded(g)
		}
		if g.scanDue && e.now-g.scanned >= scanEvery {
			e.scan(g)
		}
	}
	e.settle()
	if e.now-e.collect >= collectEvery {
		e.collect = e.now
		for _, g := range e.groups {
			e.collectFlows(g)
		}
	}
}

// scan does what slots wait for. It costs a walk over all slots, so it runs only
// while some slot waits.
func (e *Engine) scan(g *group) {
	g.scanned = e.now
	g.scanDue = false
	waits := e.expireWaits(g)
	waits = e.retryHandovers(g) || waits
	e.flush(g)
	late := e.rebase(g)
	g.scanDue = g.scanDue || waits || late
}
