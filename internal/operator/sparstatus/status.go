// Package sparstatus reads what is true now and writes it as text for scripts.
//
// The text, version 1, has one fact a line. The first word of a line tells a script
// what to do: ok (go on), hold (wait), retry (not confirmed, ask again) or call (a
// person is needed). The first line carries the most urgent word of all:
//
//	hold status 1 revision 42 answered 8 of 8 VMs
//	ok service kalkkirinne/booking revision 42 in force everywhere
//	hold upstream kalkkirinne/booking 10.0.1.1:8080 draining revision 42 counted 12 flows
//	ok upstream kalkkirinne/booking 10.0.1.2:8080 serving revision 42
//
// A line says only what stays true once it is (a revision is in force everywhere, an
// upstream has drained) or what this very read has counted. Nothing comes from a cache;
// what could not be confirmed within the read is not claimed.
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
)

const (
	// OK says go on.
	OK Word = iota
	// Hold says wait: something is under way.
	Hold
	// Retry says ask again: something could not be confirmed.
	Retry
	// Call says call someone: something will not mend by itself.
	Call
)

const (
	// Version is the version of the text.
	Version = 1
	// Wait bounds a read.
	Wait = 900 * time.Millisecond
)

type (
	// Word is the first word of a line. Greater words are more urgent.
	Word int

	// Fact is one line, with what it claims in a form for programs.
	Fact struct {
		Word       Word
		Text       string
		Service    string            // team/service that the line is about, or ""
		Everywhere uint64            // revision said to be in force everywhere, or 0
		Drained    sparflow.Endpoint // upstream said to have drained at Revision, or 0
		Revision   uint64            // of the service
	}

	// Report is a whole status. The zero Report says that nobody answered.
	Report struct {
		Revision uint64
		Answered int
		Silent   []string
		Facts    []Fact
	}
)

// String returns the word as written.
func (w Word) String() string {
	return [...]string{"ok", "hold", "retry", "call"}[w]
}

// Read asks the VMs at control addresses at once and reports on the first survey
// that arrives.
func Read(ctx context.Context, controls []string) Report {
	ctx, cancel := context.WithTimeout(ctx, Wait)
	defer cancel()
	replies := make(chan *sparcontrol.SurveyReply, len(controls))
	for _, control := range controls {
		go func() { replies <- survey(ctx, control) }()
	}
	for range controls {
		if reply := <-replies; reply != nil {
			return Judge(reply)
		}
	}
	return Report{}
}

// survey returns nil where the VM did not answer this very question.
func survey(ctx context.Context, control string) *sparcontrol.SurveyReply {
	id := fmt.Sprintf("%016x", rand.Uint64())
	client := sparcontrol.NewControlProtobufClient("http://"+control, &http.Client{})
	reply, err := client.Survey(ctx, &sparcontrol.SurveyRequest{Id: id})
	if err != nil || reply.Id != id {
		return nil
	}
	return reply
}

// Word returns the most urgent word of the report.
func (r Report) Word() Word {
	if r.Answered == 0 {
		return Retry
	}
	worst := OK
	for _, f := range r.Facts {
		worst = max(worst, f.Word)
	}
	return worst
}

// Drained reports whether an upstream had drained in this read, with the document
// at revision or a later one in force everywhere.
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

// Judge turns a survey into facts.
func Judge(s *sparcontrol.SurveyReply) Report {
	j := judge{survey: s, whole: len(s.Silent) == 0}
	r := Report{Answered: len(s.Answered), Silent: slices.Sorted(slices.Values(s.Silent))}
	for _, a := range s.Answered {
		r.Revision = max(r.Revision, a.Revision)
	}
	r.Facts = append(r.Facts, j.vms(r.Silent)...)
	r.Facts = append(r.Facts, j.platform())
	for _, name := range j.services() {
		r.Facts = append(r.Facts, j.service(name)...)
	}
	return r
}

// judge derives facts from one survey.
type judge struct {
	survey *sparcontrol.SurveyReply
	whole  bool // every VM expected has answered
}

func (j judge) vms(silent []string) []Fact {
	var facts []Fact
	for _, name := range silent {
		facts = append(facts, Fact{Word: Retry, Text: "vm " + name + " unknown, did not answer"})
	}
	answered := slices.Clone(j.survey.Answered)
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

func (j judge) platform() Fact {
	reached := 0
	for _, a := range j.survey.Answered {
		if a.Platform {
			reached++
		}
	}
	if reached == 0 {
		return Fact{Word: Retry, Text: "platform unknown, the last call of every VM failed"}
	}
	return Fact{Word: OK, Text: fmt.Sprintf("platform answered the last call of %d VMs", reached)}
}

// services returns the names that any VM knows or refuses.
func (j judge) services() []string {
	names := map[string]bool{}
	for _, a := range j.survey.Answered {
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

func (j judge) service(name string) []Fact {
	var facts []Fact
	if p := j.problem(name); p != nil {
		kept := "no revision is in force"
		if p.Kept > 0 {
			kept = fmt.Sprintf("revision %d stays", p.Kept)
		}
		facts = append(facts, Fact{Word: Call, Text: fmt.Sprintf("service %s revision %d refused, %s: %s", name, p.Revision, kept, p.Cause)})
	}
	revision, have := j.revision(name)
	if revision == 0 {
		return facts
	}
	everywhere := have == len(j.survey.Answered)
	switch {
	case everywhere && j.whole:
		text := fmt.Sprintf("service %s revision %d in force everywhere", name, revision)
		facts = append(facts, Fact{Word: OK, Text: text, Service: name, Everywhere: revision, Revision: revision})
	case everywhere:
		facts = append(facts, Fact{Word: Retry, Text: fmt.Sprintf("service %s revision %d confirmed by %d VMs, the others are unknown", name, revision, have)})
	default:
		facts = append(facts, Fact{Word: Hold, Text: fmt.Sprintf("service %s revision %d confirmed by %d of %d VMs", name, revision, have, len(j.survey.Answered))})
	}
	return append(facts, j.upstreams(name, revision, everywhere)...)
}

func (j judge) problem(name string) *sparcontrol.ProblemFacts {
	var newest *sparcontrol.ProblemFacts
	for _, a := range j.survey.Answered {
		for _, p := range a.Problems {
			if p.Service == name && (newest == nil || p.Revision > newest.Revision) {
				newest = p
			}
		}
	}
	return newest
}

// revision returns the newest revision of a service and how many VMs have it.
func (j judge) revision(name string) (revision uint64, have int) {
	for _, a := range j.survey.Answered {
		for _, s := range a.Services {
			switch {
			case s.Name != name:
			case s.Revision > revision:
				revision, have = s.Revision, 1
			case s.Revision == revision:
				have++
			}
		}
	}
	return revision, have
}

// use sums what the VMs say about one upstream.
type use struct {
	at         sparflow.Endpoint
	draining   bool
	unrecorded bool
	flows      uint32
	well       int
	until      int64
}

func (j judge) upstreams(name string, revision uint64, everywhere bool) []Fact {
	uses := map[sparflow.Endpoint]*use{}
	var order []sparflow.Endpoint
	for _, a := range j.survey.Answered {
		for _, s := range a.Services {
			if s.Name != name || s.Revision != revision {
				continue
			}
			for _, u := range s.Upstreams {
				at := sparflow.Endpoint(u.At)
				if uses[at] == nil {
					uses[at] = &use{at: at}
					order = append(order, at)
				}
				uses[at].add(u)
			}
		}
	}
	var facts []Fact
	for _, at := range order {
		facts = append(facts, j.upstream(name, revision, everywhere, uses[at]))
	}
	return facts
}

func (u *use) add(f *sparcontrol.UpstreamFacts) {
	u.draining = u.draining || f.Draining
	u.unrecorded = u.unrecorded || f.Unrecorded
	u.flows += f.Flows
	u.until = f.Until
	if f.Healthy {
		u.well++
	}
}

// upstream says what is known of one upstream. That it has drained is said only where
// every VM answered under one settled view: a flow that changes owner between two
// answers would show as a slot that waits.
func (j judge) upstream(name string, revision uint64, everywhere bool, u *use) Fact {
	head := fmt.Sprintf("upstream %s %s", name, u.at)
	tail := fmt.Sprintf("revision %d", revision)
	switch {
	case u.draining && everywhere && j.whole && j.settled() && u.flows == 0 && !u.unrecorded:
		return Fact{Word: OK, Text: head + " drained " + tail, Service: name, Drained: u.at, Revision: revision}
	case u.draining && !j.whole:
		return Fact{Word: Retry, Text: head + " draining " + tail + ", its flows are unknown"}
	case u.draining && u.unrecorded:
		return Fact{Word: Hold, Text: fmt.Sprintf("%s draining %s until %s, counted %d flows and maybe older ones", head, tail, at(u.until), u.flows)}
	case u.draining:
		return Fact{Word: Hold, Text: fmt.Sprintf("%s draining %s until %s, counted %d flows", head, tail, at(u.until), u.flows)}
	case u.well == 0:
		return Fact{Word: Call, Text: head + " failing " + tail + ", no VM got an answer to its last openings"}
	}
	return Fact{Word: OK, Text: head + " serving " + tail}
}

// settled reports whether all answers were given under one view and no slot waits
// for a handover.
func (j judge) settled() bool {
	for _, a := range j.survey.Answered {
		if a.View != j.survey.Answered[0].View || a.Waiting > 0 || !a.Settled {
			return false
		}
	}
	return true
}

func at(unix int64) string {
	return time.Unix(unix, 0).UTC().Format(time.RFC3339)
}
