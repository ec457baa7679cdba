package sparnode_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

// baseline is a load balancer without slot owners. Every VM chooses the upstream by hash,
// and may keep a table of the flows whose packets it has received.
type baseline struct {
	hasher sparflow.Hasher
	hashes []uint64 // of the upstreams
	bySlot []int
	tables []map[sparflow.Key]int // flow table of each VM, nil for hashing alone
	rng    *rand.Rand
}

func newBaseline(tables bool) *baseline {
	b := &baseline{hasher: sparflow.NewHasher(1, 2), rng: rand.New(rand.NewPCG(1, 7))}
	for i := range bigUpstreams {
		b.hashes = append(b.hashes, sparrank.Hash(upstreamAt(1, i+1)))
	}
	b.bySlot = sparrank.Assign(sparflow.Slots, b.hashes)
	if tables {
		for range bigVMs {
			b.tables = append(b.tables, map[sparflow.Key]int{})
		}
	}
	return b
}

// forward returns the upstream to which a random VM sends a packet.
func (b *baseline) forward(key sparflow.Key) int {
	if b.tables == nil {
		return b.bySlot[key.Slot()]
	}
	table := b.tables[b.rng.IntN(len(b.tables))]
	if upstream, ok := table[key]; ok {
		return upstream
	}
	table[key] = b.bySlot[key.Slot()]
	return table[key]
}

// drain removes the last upstream from the hash.
func (b *baseline) drain() {
	b.bySlot = sparrank.Assign(sparflow.Slots, b.hashes[:bigUpstreams-1])
}

// broken opens flows, sends some packets on each, drains an upstream and sends 20 more on
// each. It returns the number of flows that reached another upstream, and the ratio of the
// maximum to the mean load before the drain.
func (b *baseline) broken(flows, packets int) (n int, maxMean float64) {
	upstreams := map[sparflow.Key]int{}
	counts := make([]int, bigUpstreams)
	for i := range flows {
		key := b.hasher.Key(sparflow.Tuple{Client: client(i), Proto: sparflow.TCP})
		upstreams[key] = b.forward(key)
		counts[upstreams[key]]++
		for range packets {
			b.forward(key)
		}
	}
	most := 0
	for _, c := range counts {
		most = max(most, c)
	}
	b.drain()
	for key, upstream := range upstreams {
		for range 20 {
			if b.forward(key) != upstream {
				n++
				break
			}
		}
	}
	return n, float64(most) * bigUpstreams / float64(flows)
}

func TestAgainstBaselines(t *testing.T) {
	hashOnly, load := newBaseline(false).broken(bigFlows, 0)
	t.Logf("hash only: broken %d, max/mean %.3f", hashOnly, load)
	tables10, _ := newBaseline(true).broken(bigFlows, 10)
	tables30, _ := newBaseline(true).broken(bigFlows, 30)
	t.Logf("flow table on each VM: broken %d of flows with 10 packets before, %d with 30", tables10, tables30)

	l, d, flows := booking(t, 1, bigFlows)
	most, mean := l.spread("booking")
	before := l.stats()
	l.serve("booking", l.drained(d, upstreamAt(1, bigUpstreams)))
	l.run(2 * time.Second)
	packets := 0
	for range 20 {
		for _, f := range flows {
			l.sendData(f)
			packets++
		}
	}
	ours := l.broken(flows)
	after := l.stats()
	t.Logf("owners: broken %d, max/mean %.3f, %.2f redirects a packet", ours, float64(most)/mean,
		float64(after.Redirects-before.Redirects)/float64(packets))
	assertAtMost(t, "broken flows", ours, 0)
	if hashOnly == 0 || tables10 == 0 {
		t.Errorf("the baselines broke %d and %d flows: the comparison shows nothing", hashOnly, tables10)
	}
}
