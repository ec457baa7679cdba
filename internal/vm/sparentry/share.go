package sparentry

import (
	"context"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// maxCached is the number of encoded shares kept: everything, and the changes that the
// VMs below this one ask for.
const maxCached = 4

type (
	// ticket is the place of one pull among those that this VM serves at a time. It is
	// given back once the answer is written or has failed, also where the deciding thread
	// comes to the question only after that.
	ticket struct {
		mu       sync.Mutex
		closed   bool
		admitted bool
		failed   bool
		to       sparconfig.VM
		after    uint64
		digest   uint64
	}

	// ticketKey is the key of a request's ticket in its context.
	ticketKey struct{}

	// served is a ticket that is given back.
	served struct {
		to            sparconfig.VM
		after, digest uint64
		whole         bool
	}

	// admission is what the deciding thread answers to a pull.
	admission struct {
		reply *sparcontrol.PullReply
		share sparregistry.Share // to be encoded, where the reply has none yet
		key   shareKey
	}

	// shareKey names a share of the settings of a moment.
	shareKey struct {
		digest, revision, after uint64
	}

	// shareCache keeps encoded shares, so that each is encoded once for all that ask. The zero
	// cache is empty.
	shareCache struct {
		mu     sync.Mutex
		shares map[shareKey][]byte
	}
)

func (served) input() {}

// admit lets the peer of the ticket in, unless others keep this VM busy.
func (t *ticket) admit(vm *VM) (elsewhere sparconfig.VM, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return sparconfig.VM{}, false
	}
	elsewhere, t.admitted = vm.sync.Serve(t.to, t.after)
	t.digest = vm.registry.Digest()
	return elsewhere, t.admitted
}

// fail notes that the answer did not get through.
func (t *ticket) fail() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed = true
}

// close ends the ticket. It reports false where its peer was never let in.
func (t *ticket) close() (end served, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return served{to: t.to, after: t.after, digest: t.digest, whole: !t.failed}, t.admitted
}

// hooks gives each request a ticket, and gives it back when the request has ended.
func (vm *VM) hooks(threads context.Context) *twirp.ServerHooks {
	of := func(ctx context.Context) *ticket {
		t, _ := ctx.Value(ticketKey{}).(*ticket)
		return t
	}
	return &twirp.ServerHooks{
		RequestReceived: func(ctx context.Context) (context.Context, error) {
			return context.WithValue(ctx, ticketKey{}, &ticket{}), nil
		},
		Error: func(ctx context.Context, _ twirp.Error) context.Context {
			if t := of(ctx); t != nil {
				t.fail()
			}
			return ctx
		},
		ResponseSent: func(ctx context.Context) {
			if t := of(ctx); t != nil {
				if end, ok := t.close(); ok {
					vm.post(threads, end)
				}
			}
		},
	}
}

// answerPull decides on a pull: what is shared, or who else holds the same.
func (vm *VM) answerPull(t *ticket) admission {
	a := admission{
		reply: &sparcontrol.PullReply{
			Synced: vm.sync.Synced(), Reader: vm.sync.Reader(),
			Age: uint64(max(vm.sync.Age(vm.clock.now()), 0).Microseconds()),
		},
		key: shareKey{digest: vm.registry.Digest(), revision: vm.registry.Revision(), after: t.after},
	}
	if !a.reply.Synced {
		return a
	}
	elsewhere, ok := t.admit(vm)
	if !ok {
		vm.metrics.busy.Add(1)
		a.reply.Busy = true
		if elsewhere.Name != "" {
			a.reply.Elsewhere = sparcontrol.FromVM(elsewhere)
		}
		return a
	}
	vm.metrics.served.Add(1)
	if a.reply.Share = vm.shares.get(a.key); a.reply.Share == nil {
		a.share = vm.registry.Share(t.after)
	}
	return a
}

// get returns an encoded share, nil where it is not kept.
func (c *shareCache) get(k shareKey) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shares[k]
}

// put keeps an encoded share. Those of older settings are dropped.
func (c *shareCache) put(k shareKey, share []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.shares {
		if other.digest != k.digest || other.revision != k.revision || len(c.shares) >= maxCached {
			delete(c.shares, other)
		}
	}
	if c.shares == nil {
		c.shares = map[shareKey][]byte{}
	}
	c.shares[k] = share
}
