package sparentry

import (
	"context"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// maxCached is the number of encoded deltas kept: the full copy, and the changes requested
// by the VMs below this one in the notification tree.
const maxCached = 4

type (
	// permit counts one pull towards the limit of pulls served at a time. It is released once
	// the response is written or has failed, even if the event loop handles the query only
	// after that.
	permit struct {
		mu       sync.Mutex
		closed   bool
		admitted bool
		failed   bool
		to       sparconfig.VM
		after    sparregistry.Position
		large    bool // a full copy or large changes are sent
		digest   uint64
	}

	// permitKey is the key of a request's permit in its context.
	permitKey struct{}

	// served is a released permit.
	served struct {
		to     sparconfig.VM
		large  bool // a full copy or large changes were sent
		digest uint64
		whole  bool // the response was written in full
	}

	// pullDecision is the event loop's reply to a pull.
	pullDecision struct {
		reply *sparcontrol.PullReply
		delta sparregistry.Delta // to be encoded if the cache has no encoded copy
		key   deltaKey
	}

	// deltaKey identifies the delta from position after to the settings with a digest at a
	// position. From the zero Position it is a full copy.
	deltaKey struct {
		digest    uint64
		at, after sparregistry.Position
	}

	// deltaCache keeps encoded deltas, so that each is encoded only once for all peers. The
	// zero value is an empty cache.
	deltaCache struct {
		mu     sync.Mutex
		deltas map[deltaKey][]byte
	}
)

func (served) input() {}

// admit admits the peer of the permit unless this VM is overloaded. large reports whether it is
// sent a full copy or large changes. Otherwise referral is another peer with the same settings,
// if one is known.
func (p *permit) admit(vm *VM, large bool) (referral sparconfig.VM, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return sparconfig.VM{}, false
	}
	p.large = large
	referral, p.admitted = vm.sync.Serve(p.to, p.large)
	p.digest = vm.registry.Digest()
	return referral, p.admitted
}

// fail records that the response could not be sent.
func (p *permit) fail() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = true
}

// close closes the permit. It reports false if the peer was never admitted.
func (p *permit) close() (end served, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return served{to: p.to, large: p.large, digest: p.digest, whole: !p.failed}, p.admitted
}

// hooks attaches a permit to each request and releases it when the request has ended.
func (vm *VM) hooks(workers context.Context) *twirp.ServerHooks {
	permitOf := func(ctx context.Context) *permit {
		p, _ := ctx.Value(permitKey{}).(*permit)
		return p
	}
	return &twirp.ServerHooks{
		RequestReceived: func(ctx context.Context) (context.Context, error) {
			return context.WithValue(ctx, permitKey{}, &permit{}), nil
		},
		Error: func(ctx context.Context, _ twirp.Error) context.Context {
			if p := permitOf(ctx); p != nil {
				p.fail()
			}
			return ctx
		},
		ResponseSent: func(ctx context.Context) {
			if p := permitOf(ctx); p != nil {
				if end, ok := p.close(); ok {
					vm.post(workers, end)
				}
			}
		},
	}
}

// answerPull decides on a pull: which delta to send, or which other peer has the same
// settings.
func (vm *VM) answerPull(p *permit) pullDecision {
	d := pullDecision{
		reply: &sparcontrol.PullReply{
			Synced: vm.sync.Synced(), Reader: vm.sync.Reader(),
			Age: uint64(max(vm.sync.Age(vm.clock.now()), 0).Microseconds()),
		},
		key: deltaKey{digest: vm.registry.Digest(), at: vm.registry.Position(), after: p.after},
	}
	full := p.after.Revision == 0 || p.after.Era != d.key.at.Era
	if full {
		d.key.after = sparregistry.Position{}
	}
	if !d.reply.Synced {
		return d
	}
	referral, ok := p.admit(vm, full || vm.registry.DeltaSize(d.key.after) >= sparsync.LargePull)
	if !ok {
		vm.metrics.busy.Add(1)
		d.reply.Busy = true
		if referral.Name != "" {
			d.reply.Elsewhere = sparcontrol.FromVM(referral)
		}
		return d
	}
	vm.metrics.served.Add(1)
	if d.reply.Share = vm.deltas.get(d.key); d.reply.Share == nil {
		d.delta = vm.registry.Delta(d.key.after)
	}
	return d
}

// get returns an encoded delta, or nil if it is not cached.
func (c *deltaCache) get(k deltaKey) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deltas[k]
}

// put caches an encoded delta. It drops the deltas of other settings, and any others while
// the cache is full.
func (c *deltaCache) put(k deltaKey, delta []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.deltas {
		if other.digest != k.digest || other.at != k.at || len(c.deltas) >= maxCached {
			delete(c.deltas, other)
		}
	}
	if c.deltas == nil {
		c.deltas = map[deltaKey][]byte{}
	}
	c.deltas[k] = delta
}
