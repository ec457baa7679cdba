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
	statusEvery   = 200 * time.Millisecond
	statusTimeout = time.Second
)

// checkStatuses queries the state of random VMs, as the status command does, and compares
// it with what the store held at the revision that the VM reports.
func (t *testbed) checkStatuses(ctx context.Context) {
	client := &http.Client{Timeout: statusTimeout}
	rng := newRand(t.plan.Seed, 3)
	for ; ctx.Err() == nil; sleep(ctx, statusEvery) {
		v := t.vms[rng.intN(len(t.vms))]
		facts, err := sparcontrol.Dial(v.control, client).Facts(ctx, &sparcontrol.FactsRequest{Id: v.name})
		if err != nil {
			continue // an unreachable VM reports nothing that could be wrong
		}
		history, era := t.store.History()
		if facts.Era != era || facts.Restoring {
			t.checker.checkEra(v, facts, era)
			continue
		}
		t.checker.checkStatus(v, facts, history)
	}
}

// checkStatus checks the upstreams that a VM reports. They may already include entries of
// later revisions, and after an outage the VM keeps expired entries for a while.
func (c *checker) checkStatus(v *vm, facts *sparcontrol.FactsReply, history []sparfake.Change) {
	reported := map[sparflow.Endpoint]bool{}
	for _, s := range facts.Services {
		for _, u := range s.Upstreams {
			reported[sparflow.Endpoint(u.At)] = true
		}
	}
	registered, unsure := upstreamsAt(history, facts.Revision)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Words++
	if last := history[len(history)-1].Revision; facts.Revision > last {
		c.addViolation("STATUS", "%s names revision %d, the store is at %d", v.name, facts.Revision, last)
	}
	c.checkEvacuations(v, facts, history)
	for at, key := range registered {
		if !reported[at] && !unsure[key] {
			c.addViolation("STATUS", "%s leaves upstream %s out at revision %d", v.name, at, facts.Revision)
		}
		delete(reported, at)
	}
	if !c.testbed.faultLog.stable(v.name, storeParty) {
		return
	}
	for at := range reported {
		if !unsure[fmt.Sprint(at)] {
			c.addViolation("STATUS", "%s names upstream %s at revision %d, which had no such entry", v.name, at, facts.Revision)
		}
	}
}

// upstreamsAt returns the upstreams that the store held at a revision, with their keys, and the keys and
// addresses of which a VM may say either: those that changed later, and those whose entry was of a service
// that the configuration doesn't name, and so of no upstream to use. A VM that knew the upstream before leaves it
// out.
func upstreamsAt(history []sparfake.Change, revision uint64) (registered map[sparflow.Endpoint]string, unsure map[string]bool) {
	registered, unsure = map[sparflow.Endpoint]string{}, map[string]bool{}
	byKey := map[string]sparflow.Endpoint{} // two keys may name one address
	unnamed := map[string]sparflow.Endpoint{}
	for _, change := range history {
		key := sparroster.UpstreamPrefix + change.Upstream()
		if change.Upstream() == "" {
			continue
		}
		fact, err := platform.Decode(key, change.Value)
		u, ok := fact.(sparroster.Upstream)
		if change.Revision > revision {
			unsure[key] = true
			if err == nil && ok {
				unsure[fmt.Sprint(u.At)] = true
			}
			continue
		}
		delete(byKey, key)
		delete(unnamed, key)
		switch {
		case err != nil || !ok || change.Removed:
		case u.Service == sparfake.UnnamedService:
			unnamed[key] = u.At
		default:
			byKey[key] = u.At
		}
	}
	for key, at := range byKey {
		registered[at] = key
	}
	for key, at := range unnamed {
		unsure[key], unsure[fmt.Sprint(at)] = true, true
	}
	return registered, unsure
}
