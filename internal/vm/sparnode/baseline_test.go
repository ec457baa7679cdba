package sparnode_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

// baseline is a balancer without owners: every VM hashes, and may keep a table of the
// flows whose packets it has seen.
type baseline struct {
	hasher sparflow.Hasher
	names  []uint64
	shares []int
	tables []map[sparflow.Key]int // nil for hash only
	rng    *rand.Rand
}

func newBaseline(tables bool) *baseline {
	b := &baseline{hasher: sparflow.NewHasher(1, 2), rng: rand.New(rand.NewPCG(1, 7))}
	for i := range bigUpper {
		b.names = append(b.names, sparrank.Name(upperAt(1, i+1)))
	}
	b.shares = sparrank.Share(sparflow.Slots, b.names)
	if tables {
		for range bigVMs {
			b.tables = append(b.tables, map[sparflow.Key]int{})
		}
	}
	return b
}

// forward returns the upstream that a random VM sends a packet to.
func (b *baseline) forward(key sparflow.Key) int {
	if b.tables == nil {
		return b.shares[key.Slot()]
	}
	table := b.tables[b.rng.IntN(len(b.tables))]
	if home, ok := table[key]; ok {
		return home
	}
	table[key] = b.shares[key.Slot()]
	return table[key]
}

// drain takes the last upstream out of the hash.
func (b *baseline) drain() {
	b.shares = sparrank.Share(sparflow.Slots, b.names[:bigUpper-1])
}

// broken opens flows, sends each some packets, drains an upstream, sends each 20
// more and returns how many reached another upstream, with the load before.
func (b *baseline) broken(flows, packets int) (n int, maxMean float64) {
	homes := map[sparflow.Key]int{}
	counts := make([]int, bigUpper)
	for i := range flows {
		key := b.hasher.Key(sparflow.Tuple{Caller: caller(i), Proto: sparflow.TCP})
		homes[key] = b.forward(key)
		counts[homes[key]]++
		for range packets {
			b.forward(key)
		}
	}
	most := 0
	for _, c := range counts {
		most = max(most, c)
	}
	b.drain()
	for key, home := range homes {
		for range 20 {
			if b.forward(key) != home {
				n++
				break
			}
		}
	}
	return n, float64(most) * bigUpper / float64(flows)
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
	l.serve("booking", l.drained(d, upperAt(1, bigUpper)))
	l.run(2 * time.Second)
	packets := 0
	for range 20 {
		for _, f := range flows {
			l.say(f)
			packets++
		}
	}
	ours := l.broken(flows)
	after := l.stats()
	t.Logf("owners: broken %d, max/mean %.3f, %.2f redirects a packet", ours, float64(most)/mean,
		float64(after.Redirects-before.Redirects)/float64(packets))
	assertAtMost(t, "broken flows", ours, 0)
	if hashOnly == 0 || tables10 == 0 {
		t.Errorf("the baselines broke %d and %d flows: the case shows nothing", hashOnly, tables10)
	}
}
