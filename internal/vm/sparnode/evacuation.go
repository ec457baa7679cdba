package sparnode

import (
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// addEvacuationEvents adds the evacuations that come into force and those that end.
func (n *Node) addEvacuationEvents(before, now sparconfig.Snapshot) {
	for _, e := range now.Evacuations {
		if !before.Evacuates(e.Domain) {
			n.addEvent(sparroute.Event{Kind: "evacuated", Subject: e.Domain, Count: int(n.evacuatedFlows(e.Domain).Flows)})
		}
	}
	for _, e := range before.Evacuations {
		if !now.Evacuates(e.Domain) {
			n.addEvent(sparroute.Event{Kind: "evacuation-ended", Subject: e.Domain, Count: int(n.evacuatedFlows(e.Domain).Flows)})
		}
	}
}

// evacuationFacts returns the evacuations in force at this VM.
func (n *Node) evacuationFacts() (facts []*sparcontrol.EvacuationFacts) {
	for _, e := range n.snapshot.Evacuations {
		f := n.evacuatedFlows(e.Domain)
		f.Era, f.Revision = e.At.Era, e.At.Revision
		facts = append(facts, f)
	}
	return facts
}

// evacuatedFlows adds up the open flows at the upstreams of a failure domain.
func (n *Node) evacuatedFlows(domain string) *sparcontrol.EvacuationFacts {
	facts := &sparcontrol.EvacuationFacts{Domain: domain}
	for name, service := range n.snapshot.Services() {
		for _, u := range service.Upstreams {
			if u.Domain != domain {
				continue
			}
			state := n.Engine.UpstreamState(name, u.At)
			facts.Flows += uint32(state.Flows)
			facts.Unrecorded = facts.Unrecorded || state.Unrecorded
		}
	}
	return facts
}

// Evacuated returns the number of evacuated failure domains, and that of the open flows at their
// upstreams that this VM owns.
func (n *Node) Evacuated() (domains, flows int) {
	for _, f := range n.evacuationFacts() {
		flows += int(f.Flows)
	}
	return len(n.snapshot.Evacuations), flows
}
