package sparevidence

import (
	"math"
	"time"
)

type (
	// Board holds the evidence of one VM. Create it with New.
	Board struct {
		self       string
		run        uint32
		vms        map[string]VM
		domainVMs  map[string]int // by failure domain
		upstreams  map[uint64]Upstream
		services   map[string]int // upstreams by service
		own        map[uint64]*record
		ownService map[string]*serviceRecord
		heard      map[string]*source
		subjects   map[uint64]*subject
		changed    bool // evidence has arrived since the last Evaluate
		evaluated  time.Duration
		pausedAt   time.Duration // end of the last pause of this VM
		lastCall   time.Duration // of Observe, Receive or Evaluate
		composer
	}

	// record is what this VM has seen of one upstream.
	record struct {
		tally
		openedAt     time.Duration // last opening that was answered
		answeredAt   time.Duration // last request that was answered, or last progress of a response
		failedAt     time.Duration // last failure
		failingSince time.Duration // first failure since the last answered request, or 0
		hangingSince time.Duration // first request that hangs since then, or 0
		hungAt       time.Duration // last one
	}

	// serviceRecord is what this VM has seen of one service.
	serviceRecord struct {
		tally
		waited    tally          // whose Answered is the sum of response times, in seconds
		load      map[string]int // requests under way, by failure domain
		refused   float64        // openings, decaying over refusedSpan
		refusedAt time.Duration
	}
)

// pauseLimit is the time between two calls from which on this VM was paused, and graceAfter how
// long reports are refused then: they may have waited for it since they were sent.
const (
	pauseLimit = time.Second
	graceAfter = 300 * time.Millisecond
)

// New returns the board of the VM called self. run differs in each run of the VM.
func New(self string, run uint32) *Board {
	return &Board{
		self: self, run: run, vms: map[string]VM{}, domainVMs: map[string]int{}, upstreams: map[uint64]Upstream{},
		services: map[string]int{}, own: map[uint64]*record{}, ownService: map[string]*serviceRecord{},
		heard: map[string]*source{}, subjects: map[uint64]*subject{},
	}
}

// SetVMs replaces the VMs whose reports count.
func (b *Board) SetVMs(vms []VM) {
	clear(b.vms)
	clear(b.domainVMs)
	for _, vm := range vms {
		b.vms[vm.Name] = vm
		b.domainVMs[vm.Domain]++
	}
	for name := range b.heard {
		if _, ok := b.vms[name]; !ok {
			delete(b.heard, name)
		}
	}
}

// SetUpstreams replaces the upstreams that evidence may be about. Those that have started anew
// begin without any.
func (b *Board) SetUpstreams(upstreams []Upstream) {
	before := b.upstreams
	b.upstreams = make(map[uint64]Upstream, len(upstreams))
	clear(b.services)
	for _, u := range upstreams {
		b.upstreams[u.ID] = u
		b.services[u.Service]++
	}
	for id, u := range before {
		if b.upstreams[id] != u {
			b.forgetFailures(u)
			delete(b.own, id)
			delete(b.subjects, id)
			for _, s := range b.heard {
				delete(s.entries, id) // of the start before
			}
		}
	}
	for service := range b.ownService {
		if b.services[service] == 0 {
			delete(b.ownService, service)
			delete(b.told, service)
		}
	}
	for _, s := range b.heard {
		s.forgetServices(b.services)
	}
}

// forgetFailures takes the failures and slow answers of an upstream out of the counts of its service. Its
// answers stay: their times are part of the usual response time.
func (b *Board) forgetFailures(u Upstream) {
	r, s := b.own[u.ID], b.ownService[u.Service]
	if r == nil || s == nil {
		return
	}
	c := r.value(s.at) // the service has the later count
	s.counts = s.counts.plus(Counts{Unanswered: c.Unanswered, Slow: c.Slow, Failed: c.Failed}.times(-1)).atLeastZero()
}

// Observe adds what this VM has seen since the last call.
func (b *Board) Observe(now time.Duration, o Observations) {
	b.notePause(now)
	for _, obs := range o.Upstreams {
		if u, ok := b.upstreams[obs.ID]; ok {
			b.observeUpstream(now, u, obs)
		}
	}
	for _, obs := range o.Services {
		if b.services[obs.Service] > 0 {
			b.observeService(now, obs)
		}
	}
}

func (b *Board) observeUpstream(now time.Duration, u Upstream, obs Observation) {
	r, c := b.own[u.ID], obs.Counts
	if r == nil {
		r = &record{}
		b.own[u.ID] = r
	}
	r.tally = r.with(now, c)
	s := b.service(u.Service)
	s.tally = s.with(now, c)
	if c.Opened > 0 {
		r.openedAt = now
	}
	if c.Answered > 0 || obs.Progressed {
		b.noteAnswers(now, u.ID, c.Answered)
	}
	if obs.Hanging && r.answeredAt != now {
		b.noteHanging(now, u.ID)
	}
	if c.Failures() > 0 {
		r.failedAt = now
		if r.failingSince == 0 && r.answeredAt != now {
			r.failingSince = now
		}
		b.subject(u.ID, now).ownFailure = now
	}
	if v := r.value(now); c.Failures()+c.Slow > 0 && bad(v) {
		b.subject(u.ID, now)
		b.changed = true
		b.urgent = b.urgent || c.Failures() > 0 || b.named[u.ID] == 0
	}
}

// noteAnswers notes a sign that an upstream answers, and n answered requests.
func (b *Board) noteAnswers(now time.Duration, id uint64, n float64) {
	r := b.own[id]
	r.answeredAt, r.failingSince, r.hangingSince = now, 0, 0
	if s := b.subjects[id]; s != nil {
		s.answers += n
		b.changed = b.changed || s.weight == 0
	}
	b.urgent = b.urgent || b.answersWanted(id)
}

func (b *Board) observeService(now time.Duration, obs ServiceObservation) {
	s := b.service(obs.Service)
	s.waited = s.waited.with(now, Counts{Answered: obs.Waited.Seconds()})
	s.load = obs.Load
	s.refused = s.refused*math.Exp(-float64(now-s.refusedAt)/float64(refusedSpan)) + float64(obs.Refused)
	s.refusedAt = now
}

func (b *Board) service(name string) *serviceRecord {
	s := b.ownService[name]
	if s == nil {
		s = &serviceRecord{}
		b.ownService[name] = s
	}
	return s
}

// ownUsual returns the mean response time of a service as seen by this VM, or 0.
func (b *Board) ownUsual(service string, now time.Duration) time.Duration {
	s := b.ownService[service]
	if s == nil {
		return 0
	}
	answered := s.value(now).Answered
	if answered < 1 {
		return 0
	}
	return time.Duration(s.waited.value(now).Answered / answered * float64(time.Second))
}

// notePause notes that this VM was paused. Reports that have waited for it look recent.
func (b *Board) notePause(now time.Duration) {
	if b.lastCall > 0 && now-b.lastCall >= pauseLimit {
		b.pausedAt = now
	}
	b.lastCall = now
}

// expire forgets what is too old to count.
func (b *Board) expire(now time.Duration) {
	for id, r := range b.own {
		if now-r.at > reportAge {
			delete(b.own, id)
		}
	}
	for name, s := range b.heard {
		if now-s.at > reportAge {
			delete(b.heard, name)
		}
	}
}
