package sparevidence

import (
	"cmp"
	"slices"
	"time"
)

// refusedSpan is how long refused openings count.
const refusedSpan = time.Second

// Load is how much work is under way at a service, from this VM and those that it has heard.
type Load struct {
	Requests float64       // under way, scaled to all VMs of the failure domains heard
	Refused  float64       // openings in the last second of each VM, scaled alike
	VMs      int           // that it rests on, this one included
	Oldest   time.Duration // age of the oldest report that counts
	Whole    bool          // each failure domain is heard, and half of the VMs of the own one
}

// domainSum is the sum of the loads of the VMs heard in one failure domain.
type domainSum struct {
	vms               int
	requests, refused float64
}

// SetPressed sets whether the load is high enough that other VMs should know it.
func (b *Board) SetPressed(pressed bool) { b.pressed = pressed }

// Pressed reports whether the next report tells the load.
func (b *Board) Pressed() bool { return b.pressed }

// Load returns the load of a service. Reports count for two of their intervals.
func (b *Board) Load(service string, now time.Duration) (l Load) {
	sums := map[string]domainSum{}
	if s := b.ownService[service]; s != nil {
		sums[b.vms[b.self].Domain] = domainSum{vms: 1, requests: float64(total(s.load)), refused: s.refused}
	}
	for name, s := range b.heard {
		e, age, ok := s.load(service, now)
		if !ok {
			continue
		}
		l.Oldest = max(l.Oldest, age)
		sum := sums[b.vms[name].Domain]
		sum.vms++
		sum.refused += e.Refused
		for _, d := range e.Load {
			sum.requests += float64(d.Requests)
		}
		sums[b.vms[name].Domain] = sum
	}
	for domain, sum := range sums {
		scale := float64(max(b.domainVMs[domain], sum.vms)) / float64(sum.vms)
		l.VMs += sum.vms
		l.Requests += sum.requests * scale
		l.Refused += sum.refused * scale
	}
	near := sums[b.vms[b.self].Domain].vms - 1
	l.Whole = l.VMs > 1 && len(sums) == len(b.domainVMs) && 2*near >= b.expected()
	return l
}

// load returns the entry of a service and its age. A VM that does not list the service has no load there,
// unless its report is partial; ok is false if its load is not known.
func (s *source) load(service string, now time.Duration) (e ServiceEntry, age time.Duration, ok bool) {
	heard, listed := s.services[service]
	if !listed && !s.partial {
		heard.at = s.at
	}
	age = now - heard.at
	return heard.ServiceEntry, age, age <= 2*reportEvery && (listed || !s.partial)
}

func total(load map[string]int) (n int) {
	for _, requests := range load {
		n += requests
	}
	return n
}

// domainLoads returns the load by failure domain, in order.
func domainLoads(load map[string]int) (list []DomainLoad) {
	for domain, requests := range load {
		list = append(list, DomainLoad{Domain: domain, Requests: requests})
	}
	slices.SortFunc(list, func(a, b DomainLoad) int { return cmp.Compare(a.Domain, b.Domain) })
	return list[:min(len(list), MaxEntries)]
}
