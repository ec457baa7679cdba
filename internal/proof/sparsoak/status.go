package sparsoak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	askStatusEvery = 200 * time.Millisecond
	askStatusTime  = time.Second
)

// statusAsker asks one VM after the other what it knows, as the status command does, and
// holds it against what the store had at the revision that the VM names.
func (w *world) statusAsker(ctx context.Context) {
	client := &http.Client{Timeout: askStatusTime}
	d := newDice(w.plan.Seed, 3)
	for ; ctx.Err() == nil; sleep(ctx, askStatusEvery) {
		v := w.vms[d.upTo(len(w.vms))]
		facts, err := sparcontrol.Dial(v.control, client).Facts(ctx, &sparcontrol.FactsRequest{Id: v.name})
		if err != nil {
			continue // silence is no false word
		}
		w.checks.status(v, facts, w.store.History())
	}
}

// status checks the upstreams that a VM names. Entries of later revisions may be in it
// already, and after an outage it keeps those that lapsed for a while.
func (c *checks) status(v *vm, facts *sparcontrol.FactsReply, history []sparfake.Change) {
	named := map[sparflow.Endpoint]bool{}
	for _, s := range facts.Services {
		for _, u := range s.Upstreams {
			named[sparflow.Endpoint(u.At)] = true
		}
	}
	listed, later := upstreamsAt(history, facts.Revision)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Words++
	if last := history[len(history)-1].Revision; facts.Revision > last {
		c.add("STATUS", "%s names revision %d, the store is at %d", v.name, facts.Revision, last)
	}
	for at, key := range listed {
		if !named[at] && !later[key] {
			c.add("STATUS", "%s leaves upstream %s out at revision %d", v.name, at, facts.Revision)
		}
		delete(named, at)
	}
	if !c.world.trouble.calm(v.name, storeParty) {
		return
	}
	for at := range named {
		if !later[fmt.Sprint(at)] {
			c.add("STATUS", "%s names upstream %s at revision %d, which had no such entry", v.name, at, facts.Revision)
		}
	}
}

// upstreamsAt returns the upstreams of the store at a revision with their keys, and the
// keys and addresses that changed later.
func upstreamsAt(history []sparfake.Change, revision uint64) (listed map[sparflow.Endpoint]string, later map[string]bool) {
	listed, later = map[sparflow.Endpoint]string{}, map[string]bool{}
	held := map[string]sparflow.Endpoint{}
	for _, change := range history {
		key := sparroster.UpstreamPrefix + change.Upstream()
		if change.Upstream() == "" {
			continue
		}
		fact, err := platform.Decode(key, change.Value)
		u, ok := fact.(sparroster.Upstream)
		if change.Revision > revision {
			later[key] = true
			if err == nil && ok {
				later[fmt.Sprint(u.At)] = true
			}
			continue
		}
		delete(listed, held[key])
		if err == nil && ok && !change.Removed {
			listed[u.At], held[key] = key, u.At
		}
	}
	return listed, later
}
