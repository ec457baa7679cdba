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
