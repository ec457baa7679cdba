package sparstatus

import (
	"fmt"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

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

func formatTime(unix int64) string {
	return time.Unix(unix, 0).UTC().Format(time.RFC3339)
}
