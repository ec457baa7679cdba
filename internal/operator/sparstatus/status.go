// Package sparstatus reads the current status of a deployment and formats it for scripts.
//
// The text, version 1, has one fact per line. The first word of a line, the status word,
// tells a script what to do: ok (continue), hold (wait), retry (not confirmed, query
// again) or call (an operator must act). The first line has the most severe of them:
//
//	hold status 1 revision 42 answered 8 of 8 VMs
//	ok service kalkkirinne/booking revision 42 in force everywhere
//	hold upstream kalkkirinne/booking 10.0.1.1:8080 draining revision 42 counted 12 flows
//	ok upstream kalkkirinne/booking 10.0.1.2:8080 serving revision 42
//
// A line states either a fact that stays true (a revision is in force everywhere, an
// upstream has drained) or a count taken during this read. Nothing is cached, and nothing
// is stated that this read could not confirm.
package sparstatus

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

const (
	// OK means continue.
	OK Word = iota
	// Hold means wait: a change is in progress.
	Hold
	// Retry means query again: a fact could not be confirmed.
	Retry
	// Call means that an operator must act: a fault will not recover by itself.
	Call
)

const (
	// Version is the version of the text format.
	Version = 1
	// Timeout limits a read.
	Timeout = 900 * time.Millisecond
)

type (
	// Word is the status word of a line. A greater word is more severe.
	Word int

	// Fact is one line, with its content also in fields for programs.
	Fact struct {
		Word       Word
		Text       string
		Service    string            // team/service that the line is about, or ""
		Everywhere uint64            // revision in force everywhere, or 0
		Drained    sparflow.Endpoint // upstream that has drained at Revision, or 0
		Revision   uint64            // of the service
		Evacuated  string            // failure domain whose evacuation is in force everywhere, or ""
	}

	// Report is a whole status. The zero Report means that no VM responded.
	Report struct {
		Revision uint64
		Answered int
		Silent   []string
		Facts    []Fact

		Least       uint64   // revision that every VM has in force, 0 if any is in an earlier era
		EvacuatedAt []string // failure domains whose evacuation is in force at any VM
	}
)

// String returns the word as written.
func (w Word) String() string {
	return [...]string{"ok", "hold", "retry", "call"}[w]
}

// Read queries the VMs at the control addresses in parallel and reports on the first
// survey that arrives.
func Read(ctx context.Context, controls []string) Report {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	replies := make(chan *sparcontrol.SurveyReply, len(controls))
	for _, control := range controls {
		go func() { replies <- survey(ctx, control) }()
	}
	for range controls {
		if reply := <-replies; reply != nil {
			return FromSurvey(reply)
		}
	}
	return Report{}
}

// survey queries one VM. It returns nil if no response with the ID of the query arrives.
func survey(ctx context.Context, control string) *sparcontrol.SurveyReply {
	id := fmt.Sprintf("%016x", rand.Uint64())
	client := sparcontrol.NewControlProtobufClient("http://"+control, &http.Client{})
	reply, err := client.Survey(ctx, &sparcontrol.SurveyRequest{Id: id})
	if err != nil || reply.Id != id {
		return nil
	}
	return reply
}

// Word returns the most severe status word of the report.
func (r Report) Word() Word {
	if r.Answered == 0 {
		return Retry
	}
	most := OK
	for _, f := range r.Facts {
		most = max(most, f.Word)
	}
	return most
}

// Drained reports whether this read found the upstream at an address drained, with the
// service document of revision or a later one in force everywhere.
func (r Report) Drained(service, at string, revision uint64) bool {
	for _, f := range r.Facts {
		if f.Drained != 0 && f.Service == service && f.Drained.String() == at && f.Revision >= revision {
			return true
		}
	}
	return false
}

// Text returns the report as text.
func (r Report) Text() string {
	var b strings.Builder
	if r.Answered == 0 {
		fmt.Fprintf(&b, "%s status %d unknown, no VM answered\n", Retry, Version)
		return b.String()
	}
	fmt.Fprintf(&b, "%s status %d revision %d answered %d of %d VMs\n",
		r.Word(), Version, r.Revision, r.Answered, r.Answered+len(r.Silent))
	for _, f := range r.Facts {
		fmt.Fprintf(&b, "%s %s\n", f.Word, f.Text)
	}
	return b.String()
}

// FromSurvey derives the facts from a survey.
func FromSurvey(s *sparcontrol.SurveyReply) Report {
	d := deriver{survey: s, complete: len(s.Silent) == 0}
	r := Report{Answered: len(s.Answered), Silent: slices.Sorted(slices.Values(s.Silent))}
	for _, a := range s.Answered {
		d.era = max(d.era, a.Era)
	}
	for _, a := range s.Answered {
		if d.present(a.Era) {
			r.Revision = max(r.Revision, a.Revision)
		}
	}
	r.Least, r.EvacuatedAt = d.least(), d.evacuatedAt()
	r.Facts = append(r.Facts, d.vms(r.Silent)...)
	r.Facts = append(r.Facts, d.platform())
	r.Facts = append(r.Facts, d.restore()...)
	r.Facts = append(r.Facts, d.evacuations()...)
	for _, name := range d.services() {
		r.Facts = append(r.Facts, d.service(name)...)
	}
	return r
}

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

// upstreamSum adds up what all VMs report about one upstream.
type upstreamSum struct {
	at         sparflow.Endpoint
	draining   bool
	unrecorded bool // it may have flows without a record
	flows      uint32
	healthy    int // number of VMs that find it healthy
	evacuated  int // number of VMs at which its failure domain is evacuated
	until      int64
}

func (d deriver) upstreams(name string, revision sparregistry.Position, everywhere bool) []Fact {
	sums := map[sparflow.Endpoint]*upstreamSum{}
	var order []sparflow.Endpoint
	for _, a := range d.survey.Answered {
		for _, s := range a.Services {
			if s.Name != name || d.position(s.Era, s.Revision) != revision {
				continue
			}
			for _, u := range s.Upstreams {
				at := sparflow.Endpoint(u.At)
				if sums[at] == nil {
					sums[at] = &upstreamSum{at: at}
					order = append(order, at)
				}
				sums[at].add(u)
			}
		}
	}
	facts := d.unavailable(name, sums)
	for _, at := range order {
		facts = append(facts, d.upstream(name, revision.Revision, everywhere, sums[at]))
	}
	return facts
}

func (u *upstreamSum) add(f *sparcontrol.UpstreamFacts) {
	u.draining = u.draining || f.Draining
	u.unrecorded = u.unrecorded || f.Unrecorded
	u.flows += f.Flows
	u.until = f.Until
	if f.Healthy {
		u.healthy++
	}
	if f.Evacuated {
		u.evacuated++
	}
}

// upstream returns the fact about one upstream. It reports the upstream as drained only
// if every VM responded under one settled view: a flow whose owner changes between two
// responses then shows up as a slot waiting for its handover.
func (d deriver) upstream(name string, revision uint64, everywhere bool, u *upstreamSum) Fact {
	head := fmt.Sprintf("upstream %s %s", name, u.at)
	tail := fmt.Sprintf("revision %d", revision)
	switch {
	case u.draining && everywhere && d.complete && d.settled() && u.flows == 0 && !u.unrecorded:
		return Fact{Word: OK, Text: head + " drained " + tail, Service: name, Drained: u.at, Revision: revision}
	case u.draining && !d.complete:
		return Fact{Word: Retry, Text: head + " draining " + tail + ", its flows are unknown"}
	case u.draining && u.unrecorded:
		return Fact{Word: Hold, Text: fmt.Sprintf("%s draining %s until %s, counted %d flows and maybe older ones", head, tail, formatTime(u.until), u.flows)}
	case u.draining:
		return Fact{Word: Hold, Text: fmt.Sprintf("%s draining %s until %s, counted %d flows", head, tail, formatTime(u.until), u.flows)}
	case u.evacuated > 0:
		return d.evacuatedUpstream(head, tail, u)
	case u.healthy == 0:
		return Fact{Word: Call, Text: head + " failing " + tail + ", no VM got an answer to its last openings"}
	}
	return Fact{Word: OK, Text: head + " serving " + tail}
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

func formatTime(unix int64) string {
	return time.Unix(unix, 0).UTC().Format(time.RFC3339)
}
