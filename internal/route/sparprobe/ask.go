package sparprobe

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Asker asks other VMs about upstreams and holds the verdicts. Create it with NewAsker.
	Asker struct {
		self    VM
		run     uint32
		most    int                      // VMs to ask about an upstream
		vms     []VM                     // others, in rendezvous order
		listed  int                      // most others listed so far; entries may be lost for a while
		domains map[string]string        // of these VMs, by name
		picked  map[string][]VM          // to ask about an upstream, by its failure domain
		number  uint32                   // of the last round; rounds that begin together share it
		rounds  map[uint64]*round        // under way, by mark
		began   map[uint64]time.Duration // last rounds, within roundInterval
		gone    map[uint64]verdict
	}

	// round is what is known about one upstream since it was asked about.
	round struct {
		number   uint32
		upstream Upstream
		since    time.Duration // from when on an answer to a client shows that it lives
		began    time.Duration
		asked    []VM
		said     map[string]bool // by name of the VM, whether it finds the upstream silent
		tried    bool            // this VM has tried to connect itself
		reached  bool            // and it did
	}

	// verdict is that an upstream is gone.
	verdict struct {
		upstream Upstream
		since    time.Duration // when the round began that found it gone
		until    time.Duration
		round    *round // that found it
		refuted  bool   // a VM that it asked has reached the upstream, and answered late
	}
)

// NewAsker returns the asker of a VM that asks at most so many others, 0 for none. run differs in
// each run of the VM.
func NewAsker(self VM, run uint32, most int) *Asker {
	return &Asker{
		self: self, run: run, most: min(most, MaxVMs), domains: map[string]string{}, picked: map[string][]VM{},
		rounds: map[uint64]*round{}, began: map[uint64]time.Duration{}, gone: map[uint64]verdict{},
	}
}

// SetVMs replaces the VMs that may be asked.
func (a *Asker) SetVMs(vms []VM) {
	a.vms = ranked(a.self.Name, vms)
	a.listed = max(a.listed, len(a.vms))
	clear(a.domains)
	clear(a.picked)
	for _, vm := range a.vms {
		a.domains[vm.Name] = vm.Domain
	}
}

// Begin begins rounds about suspects and returns the questions to send.
func (a *Asker) Begin(now time.Duration, suspects []Suspect) []Addressed {
	if a.most == 0 || len(a.vms) == 0 {
		return nil
	}
	a.number++
	questions, silence := map[string][]uint64{}, time.Duration(0)
	for _, s := range suspects {
		if !a.mayBegin(now, s.Mark()) {
			continue
		}
		r := a.begin(now, s)
		for _, vm := range r.asked {
			if len(questions[vm.Name]) < MaxMarks {
				questions[vm.Name] = append(questions[vm.Name], s.Mark())
			}
		}
		silence = max(silence, now-s.Since)
	}
	return a.address(questions, min(silence, MaxSilence))
}

// mayBegin reports whether the last round about an upstream began long enough ago.
func (a *Asker) mayBegin(now time.Duration, mark uint64) bool {
	began, ok := a.began[mark]
	return !ok || now-began >= roundInterval
}

// begin begins a round about one suspect.
func (a *Asker) begin(now time.Duration, s Suspect) *round {
	r := &round{number: a.number, upstream: s.Upstream, since: s.Since, began: now, asked: a.pick(s.Domain), said: map[string]bool{}}
	a.rounds[s.Mark()], a.began[s.Mark()] = r, now
	return r
}

// Renew begins rounds about upstreams that are gone, if their verdict ends soon and they still have
// flows. It returns the questions to send.
func (a *Asker) Renew(now time.Duration, look Look) []Addressed {
	var list []Suspect
	for mark, v := range a.gone {
		u, ok := look(mark)
		if ok && u.Flows > 0 && v.until-now < renewBefore {
			list = append(list, Suspect{Upstream: u, Since: v.since})
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b Suspect) int { return cmp.Compare(a.ID, b.ID) })
	return a.Begin(now, list)
}

// address returns the questions in the order in which this VM asks.
func (a *Asker) address(questions map[string][]uint64, silence time.Duration) (list []Addressed) {
	for _, vm := range a.vms {
		if marks := questions[vm.Name]; len(marks) > 0 {
			q := Question{From: a.self.Name, Run: a.run, Round: a.number, Silence: silence, Marks: marks}
			list = append(list, Addressed{To: vm.Name, Question: q})
		}
	}
	return list
}

// Wanted returns the upstreams of rounds to which a connection is to be opened now.
func (a *Asker) Wanted(now time.Duration, c *Connections) (list []Upstream) {
	for mark, r := range a.rounds {
		if now-r.began < ConnectTimeout {
			if _, known := c.Result(now, mark); !known && c.Begin(now, mark) {
				list = append(list, r.upstream)
			}
		}
	}
	return list
}

// Receive takes in the answer of another VM. The error is a Refusal.
func (a *Asker) Receive(now time.Duration, answer Answer) error {
	if _, ok := a.domains[answer.From]; !ok {
		return UnknownVM
	}
	if answer.Run != a.run || answer.Round > a.number {
		return NotAsked
	}
	late := false
	for n, mark := range slices.Concat(answer.Silent, answer.Alive) {
		r := a.rounds[mark]
		if r == nil || r.number != answer.Round || now-r.began > RoundTime {
			late = true
			if n >= len(answer.Silent) {
				a.refute(mark, answer)
			}
			continue
		}
		if !r.asks(answer.From) {
			return NotAsked
		}
		r.note(answer.From, n < len(answer.Silent))
	}
	if late {
		return Late
	}
	return nil
}

// refute notes that an upstream is alive by an answer that came after the round that found it gone.
func (a *Asker) refute(mark uint64, answer Answer) {
	if v, ok := a.gone[mark]; ok && v.round.number == answer.Round && v.round.asks(answer.From) {
		v.refuted = true
		a.gone[mark] = v
	}
}

// asks reports whether the VM called name is asked in r.
func (r *round) asks(name string) bool {
	return slices.ContainsFunc(r.asked, func(vm VM) bool { return vm.Name == name })
}

// note records what a VM says of the upstream. Once it has said alive, that stands.
func (r *round) note(name string, silent bool) {
	before, said := r.said[name]
	r.said[name] = silent && (before || !said)
}

// Cancel ends all rounds under way without a verdict: this VM was paused, and responses may be
// unread.
func (a *Asker) Cancel() { clear(a.rounds) }
