package sparstatus

import (
	"fmt"
	"slices"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// evacuationSum adds up what all VMs report about the evacuation of one failure domain.
type evacuationSum struct {
	at         sparregistry.Position // that asked for it
	confirmed  int                   // VMs that have it in force as of at
	ended      int                   // VMs that have later settings without it
	flows      uint32
	unrecorded bool // there may be flows without a record
}

// evacuations returns the facts about the evacuations in force at any VM.
func (d deriver) evacuations() (facts []Fact) {
	for _, domain := range d.evacuatedAt() {
		facts = append(facts, d.evacuation(domain, d.sumEvacuation(domain)))
	}
	return facts
}

func (d deriver) sumEvacuation(domain string) (sum evacuationSum) {
	for _, a := range d.survey.Answered {
		e := evacuationOf(a, domain)
		if e == nil {
			continue
		}
		at := d.position(e.Era, e.Revision)
		if at.Compare(sum.at) > 0 {
			sum.at, sum.confirmed = at, 0
		}
		if at == sum.at {
			sum.confirmed++
		}
		sum.flows += e.Flows
		sum.unrecorded = sum.unrecorded || e.Unrecorded
	}
	for _, a := range d.survey.Answered {
		if evacuationOf(a, domain) == nil && d.position(a.Era, a.Revision).Compare(sum.at) > 0 {
			sum.ended++
		}
	}
	return sum
}

func evacuationOf(a *sparcontrol.FactsReply, domain string) *sparcontrol.EvacuationFacts {
	for _, e := range a.Evacuations {
		if e.Domain == domain {
			return e
		}
	}
	return nil
}

// evacuation returns the fact about the evacuation of one failure domain. A VM that has later
// settings without it knows that it has ended.
func (d deriver) evacuation(domain string, sum evacuationSum) Fact {
	head := fmt.Sprintf("evacuation %s revision %d", domain, sum.at.Revision)
	total := len(d.survey.Answered)
	switch {
	case sum.at.Era < d.era:
		return Fact{Word: Hold, Text: head + " kept from before a restore, the platform does not hold it"}
	case sum.ended > 0:
		return Fact{Word: Hold, Text: fmt.Sprintf("%s ended at %d of %d VMs", head, sum.ended, total)}
	case sum.confirmed < total:
		return Fact{Word: Hold, Text: fmt.Sprintf("%s confirmed by %d of %d VMs", head, sum.confirmed, total)}
	case !d.complete:
		return Fact{Word: Retry, Text: fmt.Sprintf("%s confirmed by %d VMs, the others are unknown", head, total)}
	}
	text := fmt.Sprintf("%s in force everywhere, counted %d flows", head, sum.flows)
	if sum.unrecorded || !d.settled() {
		text += " and maybe older ones"
	}
	return Fact{Word: OK, Text: text, Evacuated: domain, Everywhere: sum.at.Revision, Revision: sum.at.Revision}
}

// evacuationProblem returns the fact about the entry of an evacuation that has a problem. The cause
// says whether it is in force.
func evacuationProblem(p *sparcontrol.ProblemFacts) Fact {
	return Fact{Word: Call, Text: fmt.Sprintf("entry %s revision %d: %s", p.Service, p.Revision, p.Cause)}
}

// unavailable returns a fact if all upstreams of a service that take flows by their own state are
// in evacuated failure domains, as every VM has confirmed.
func (d deriver) unavailable(name string, sums map[sparflow.Endpoint]*upstreamSum) []Fact {
	evacuated := 0
	for _, u := range sums {
		switch {
		case u.draining:
		case u.evacuated < len(d.survey.Answered):
			return nil
		default:
			evacuated++
		}
	}
	if evacuated == 0 || !d.complete {
		return nil
	}
	text := fmt.Sprintf("service %s takes no new flows, its upstreams are in evacuated domains or drain", name)
	return []Fact{{Word: Call, Text: text}}
}

// evacuatedUpstream returns the fact about an upstream whose failure domain is evacuated at a VM.
// It is not about its health: without new flows, nothing shows that.
func (d deriver) evacuatedUpstream(head, tail string, u *upstreamSum) Fact {
	if u.evacuated < len(d.survey.Answered) {
		text := fmt.Sprintf("%s evacuated %s at %d of %d VMs, counted %d flows", head, tail, u.evacuated, len(d.survey.Answered), u.flows)
		return Fact{Word: Hold, Text: text}
	}
	if !d.complete {
		return Fact{Word: Retry, Text: fmt.Sprintf("%s evacuated %s, its flows are unknown", head, tail)}
	}
	text := fmt.Sprintf("%s evacuated %s, counted %d flows", head, tail, u.flows)
	if u.unrecorded || !d.settled() {
		text += " and maybe older ones"
	}
	return Fact{Word: OK, Text: text}
}

// least returns the revision that every VM has in force, or 0 if one is in an earlier era.
func (d deriver) least() uint64 {
	least := uint64(0)
	for i, a := range d.survey.Answered {
		if !d.present(a.Era) {
			return 0
		}
		if i == 0 || a.Revision < least {
			least = a.Revision
		}
	}
	return least
}

// evacuatedAt returns the failure domains whose evacuation is in force at any VM.
func (d deriver) evacuatedAt() (domains []string) {
	for _, a := range d.survey.Answered {
		for _, e := range a.Evacuations {
			domains = append(domains, e.Domain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// Evacuated reports whether this read found the evacuation of a failure domain that was asked for
// at revision, or later, in force everywhere.
func (r Report) Evacuated(domain string, revision uint64) bool {
	for _, f := range r.Facts {
		if f.Evacuated == domain && domain != "" && f.Everywhere >= revision {
			return true
		}
	}
	return false
}

// EvacuationEnded reports whether this read found that every VM has settings of revision or later
// in force, and none has the evacuation of a failure domain.
func (r Report) EvacuationEnded(domain string, revision uint64) bool {
	return r.Answered > 0 && len(r.Silent) == 0 && r.Least >= revision && !slices.Contains(r.EvacuatedAt, domain)
}
