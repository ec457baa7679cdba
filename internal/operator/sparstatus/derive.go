package sparstatus

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// deriver derives facts from one survey.
type deriver struct {
	survey   *sparcontrol.SurveyReply
	complete bool   // every expected VM has responded
	era      uint64 // of the platform: the latest that a VM has seen
}

func (d deriver) vms(silent []string) []Fact {
	var facts []Fact
	for _, name := range silent {
		facts = append(facts, Fact{Word: Retry, Text: "vm " + name + " unknown, did not answer"})
	}
	answered := slices.Clone(d.survey.Answered)
	slices.SortFunc(answered, func(a, b *sparcontrol.FactsReply) int { return cmp.Compare(a.Vm.Name, b.Vm.Name) })
	for _, a := range answered {
		word := OK
		if a.State != "serving" {
			word = Hold
		}
		facts = append(facts, Fact{Word: word, Text: fmt.Sprintf("vm %s answered as %s", a.Vm.Name, a.State)})
	}
	return facts
}

func (d deriver) platform() Fact {
	reached := 0
	for _, a := range d.survey.Answered {
		if a.Platform {
			reached++
		}
	}
	if reached == 0 {
		return Fact{Word: Retry, Text: "platform unknown, the last call of every VM failed"}
	}
	return Fact{Word: OK, Text: fmt.Sprintf("platform answered the last call of %d VMs", reached)}
}

// services returns the sorted names of the services that at least one VM has in force or
// has refused.
func (d deriver) services() []string {
	names := map[string]bool{}
	for _, a := range d.survey.Answered {
		for _, s := range a.Services {
			names[s.Name] = true
		}
		for _, p := range a.Problems {
			names[p.Service] = true
		}
	}
	var list []string
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

func (d deriver) service(name string) []Fact {
	var facts []Fact
	p := d.problem(name)
	if at, _ := d.revision(name); p != nil && at.IsZero() && strings.HasPrefix(name, sparroster.EvacuationPrefix) {
		return []Fact{evacuationProblem(p)} // not of a service, which could have that name
	}
	if p != nil {
		kept := "no revision is in force"
		if p.Kept > 0 {
			kept = fmt.Sprintf("revision %d stays", p.Kept)
		}
		facts = append(facts, Fact{Word: Call, Text: fmt.Sprintf("service %s revision %d refused, %s: %s", name, p.Revision, kept, p.Cause)})
	}
	at, n := d.revision(name)
	revision := at.Revision
	if revision == 0 {
		return facts
	}
	everywhere := n == len(d.survey.Answered)
	switch {
	case at.Era < d.era:
		text := fmt.Sprintf("service %s revision %d kept from before a restore, the platform does not hold it", name, revision)
		return append(facts, Fact{Word: Hold, Text: text})
	case everywhere && d.complete:
		text := fmt.Sprintf("service %s revision %d in force everywhere", name, revision)
		facts = append(facts, Fact{Word: OK, Text: text, Service: name, Everywhere: revision, Revision: revision})
	case everywhere:
		facts = append(facts, Fact{Word: Retry, Text: fmt.Sprintf("service %s revision %d confirmed by %d VMs, the others are unknown", name, revision, n)})
	default:
		facts = append(facts, Fact{Word: Hold, Text: fmt.Sprintf("service %s revision %d confirmed by %d of %d VMs", name, revision, n, len(d.survey.Answered))})
	}
	return append(facts, d.upstreams(name, at, everywhere)...)
}

func (d deriver) problem(name string) *sparcontrol.ProblemFacts {
	var newest *sparcontrol.ProblemFacts
	for _, a := range d.survey.Answered {
		for _, p := range a.Problems {
			if p.Service == name && (newest == nil || d.position(p.Era, p.Revision).Compare(d.position(newest.Era, newest.Revision)) > 0) {
				newest = p
			}
		}
	}
	return newest
}

// revision returns the newest revision of a service with its era, and the number of VMs that
// have it.
func (d deriver) revision(name string) (newest sparregistry.Position, n int) {
	for _, a := range d.survey.Answered {
		for _, s := range a.Services {
			if s.Name != name {
				continue
			}
			switch d.position(s.Era, s.Revision).Compare(newest) {
			case 1:
				newest, n = d.position(s.Era, s.Revision), 1
			case 0:
				n++
			}
		}
	}
	return newest, n
}

// settled reports whether all VMs responded under the same view, consider it settled, and
// have no slot waiting for a handover.
func (d deriver) settled() bool {
	for _, a := range d.survey.Answered {
		if a.View != d.survey.Answered[0].View || a.Waiting > 0 || !a.Settled {
			return false
		}
	}
	return true
}
