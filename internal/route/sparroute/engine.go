// Package sparroute decides where each packet goes.
//
// An Engine holds the routing state of one VM. It does no I/O and reads no clock:
// the caller passes in packets, settings, views and messages, and acts on the
// verdicts and effects that the engine returns.
//
//	e := sparroute.New("vm-1", hasher, flows)
//	e.Advance(now, wall)
//	e.Apply(snapshot)
//	e.SetView(view)
//	switch v := e.Forward(segment); v.Action {
//	case sparroute.ToUpstream:
//		// rewrite the destination to v.At and send
//	case sparroute.ToPeer:
//		// redirect to the VM v.Peer
//	}
//
// A keyed hash maps each flow of a service to one of sparflow.Slots hash slots.
// One VM owns each slot and chooses the upstream of its new flows. Most flows go to
// the default upstream of their slot, which the owner and its standbys agree on. A
// flow placed on another upstream is an override: the standbys acknowledge its record
// before its SYN is forwarded, so that no flow breaks when the owner crashes.
//
// A VM that has no record of a flow redirects its packets to the owner. It learns
// flows from the responses of upstreams, whose source address names the upstream.
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
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/state/sparchart"
)

const (
	// MaxHops is the number of redirects that a packet may take.
	MaxHops = 2

	// HandoverWait is how long a new owner waits for the former one to hand over.
	HandoverWait = 1500 * time.Millisecond

	scanEvery = 100 * time.Millisecond
	// handedWait is how long slots handed to this VM wait for the view that makes it their
	// owner.
	handedWait      = 700 * time.Millisecond
	endedFlushEvery = time.Second
	collectEvery    = 5 * time.Second
	linger          = 60 * time.Second // how long the record of a closed flow is kept
	maxHeld         = 8192             // flows per service whose first packet is held
	maxFlows        = 4 << 20          // flow records per service
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
		self           string
		hasher         sparflow.Hasher
		now            time.Duration
		wall           time.Time
		snapshot       sparconfig.Snapshot
		first          sparregistry.Position // of the first settings applied
		applied        bool
		view           sparmember.View
		me             int // index in view.Members, or -1
		roles          []role
		groups         map[string]*group
		byService      map[address]*group // by the address of the service
		byUpstream     map[address]*group // by the address of an upstream
		cache          *sparflow.Cache
		pending        []pending
		effects        []Effect
		acked          func(peer string) (seq uint64)
		queue          func(peer string, m Message) (seq uint64)
		searches       int    // searches started since searchesFrom
		viewIncomplete bool   // VMs that may own slots are unreachable, or were until recently
		newerPeer      string // a live peer with newer settings, or ""
		collected      time.Duration

		searchesFrom time.Duration
		stats        Stats
	}

	// role holds the owner and the standbys of one slot as indices in view.Members, or -1.
	role struct {
		owner    int16
		standbys [2]int16
	}

	// address is a protocol and an endpoint in one word: proto<<48 | endpoint.
	address uint64

	// group is the routing state of one service and its upstreams.
	group struct {
		service    *sparconfig.Service
		ranks      []uint64                   // address hashes of service.Upstreams, for rendezvous hashing
		carries    map[sparflow.Endpoint]bool // upstreams that may carry flows
		anyRemoved bool                       // an upstream that may have had flows has been removed
		slots      []slot
		flows      map[sparflow.Key]flow
		load       load
		health     map[sparflow.Endpoint]*sparhealth.Health
		held       map[sparflow.Key]bool // flows whose first packet is held
		handovers  []handover
		ended      map[sparflow.Key]bool // closed overrides that standbys are to delete
		dirty      map[uint16]bool       // slots whose standbys need a full copy

		scanDue      bool // some slot waits for a scan
		scanned      time.Duration
		endedFlushed time.Duration // when ended overrides were last sent to standbys
	}

	// slot is the state of one hash slot on this VM.
	slot struct {
		phase           sparchart.State
		defaultUpstream sparflow.Endpoint // upstream of flows without a record
		preferred       sparflow.Endpoint // upstream that the settings choose for new flows
		complete        bool              // every open flow has a record here
		changingDefault bool              // a new default waits for the standbys
		overridesKnown  bool              // this VM has the overrides of the slot
		resumed         bool              // owned before a pause of this process, to be handed over
		handed          bool              // received by a handover before the view made this VM the owner
		from            string            // VM that hands the slot over
		since           time.Duration     // last change of phase, reset or handover
	}

	// flow is the record of one flow. It takes 16 bytes.
	flow struct {
		upstream sparflow.Endpoint
		changed  uint32 // time of the last change, in monotonic seconds
		state    uint8
		flags    uint8
		tried    uint16 // upstreams that a search has ruled out
	}

	// pending is a change that waits for the acknowledgements of standbys.
	pending struct {
		group    *group
		key      sparflow.Key // 0 for a change of the default upstream
		upstream sparflow.Endpoint
		slots    []uint16
		acks     []ack
	}

	// ack is an acknowledgement to wait for: that peer has received message seq.
	ack struct {
		peer string
		seq  uint64
	}

	// handover is a handover that its receiver has not acknowledged.
	handover struct {
		ack
		slots []uint16
	}
)

const (
	flowHeld    uint8 = iota // waits for its standbys
	flowOpening              // SYN forwarded, no response seen
	flowOpen
	flowSearch // a search looks for its upstream, see startSearch
	flowClosed // kept for linger so that a reused port finds the same upstream
)

const (
	flagReplicated  uint8 = 1 << iota // standbys have the record
	flagClientFIN                     // the client has sent FIN
	flagUpstreamFIN                   // the upstream has sent FIN
	flagUnverified                    // may also be open at another upstream, across a network partition
)

// New returns an engine for the VM called self. flows limits the size of its cache.
func New(self string, hasher sparflow.Hasher, flows int) *Engine {
	return &Engine{
		self: self, hasher: hasher, me: -1,
		groups: map[string]*group{}, byService: map[address]*group{}, byUpstream: map[address]*group{},
		cache: sparflow.NewCache(max(flows/2, 1)),
		acked: func(string) uint64 { return 0 },
		queue: func(string, Message) uint64 { return 0 },
	}
}

// Connect sets the functions that reach other VMs: queue sends a message to a peer and
// returns its sequence number, acked returns the highest number that the peer has
// acknowledged.
func (e *Engine) Connect(queue func(peer string, m Message) uint64, acked func(peer string) uint64) {
	e.queue, e.acked = queue, acked
}

// Advance sets the monotonic and the wall time for the calls that follow.
func (e *Engine) Advance(now time.Duration, wall time.Time) {
	e.now, e.wall = now, wall
}

// SetNewerPeer names a live peer with settings newer than those in force, or "".
func (e *Engine) SetNewerPeer(peer string) { e.newerPeer = peer }

// SetViewIncomplete says whether VMs that may own slots are unreachable, or were until
// recently. Flows may then exist that no reachable VM has a record of.
func (e *Engine) SetViewIncomplete(incomplete bool) { e.viewIncomplete = incomplete }

// Snapshot returns the settings in force.
func (e *Engine) Snapshot() sparconfig.Snapshot { return e.snapshot }

// View returns the view that decides who owns each slot.
func (e *Engine) View() sparmember.View { return e.view }

// Effects returns the effects since the last call.
func (e *Engine) Effects() []Effect {
	effects := e.effects
	e.effects = nil
	return effects
}

func (e *Engine) emit(effect Effect) { e.effects = append(e.effects, effect) }

func makeAddress(proto sparflow.Proto, at sparflow.Endpoint) address {
	return address(uint64(proto)<<48 | uint64(at))
}

// sorted returns the keys of m in order, so that runs are reproducible.
func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// seconds returns the monotonic time in the unit of flow.changed.
func (e *Engine) seconds() uint32 { return uint32(e.now / time.Second) }
