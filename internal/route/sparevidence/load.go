package sparevidence

import (
	"cmp"
	"slices"
	"time"
)

const (
	// refusedSpan is how long refused openings count.
	refusedSpan = time.Second
	// maxLoadRatio is the multiple of the median load from which on that of a VM is not believed, and
	// counts as the median: callers are uneven, but not by so much.
	maxLoadRatio = 4
	// minLoads is the number of VMs whose median says something.
	minLoads = 3
)

// Load is how much work is under way at a service, from this VM and those that it has heard.
type Load struct {
	Requests float64       // under way, scaled to all VMs of the failure domains heard
	Refused  float64       // openings in the last second of each VM, scaled alike
	VMs      int           // that it rests on, this one included
	Oldest   time.Duration // age of the oldest report that counts
	Whole    bool          // each failure domain is heard, and half of the VMs of the own one
}

type (
	// vmLoad is the load of one VM.
	vmLoad struct {
		domain            string
		requests, refused float64
	}

	// domainSum is the sum of the loads of the VMs heard in one failure domain.
	domainSum struct {
		vms               int
		requests, refused float64
	}
)

// SetPressed sets whether the load is high enough that other VMs should know it.
func (b *Board) SetPressed(pressed bool) { b.pressed = pressed }

// Pressed reports whether the next report tells the load.
func (b *Board) Pressed() bool { return b.pressed }

// Load returns the load of a service. Reports count for two of their intervals.
func (b *Board) Load(service string, now time.Duration) (l Load) {
	loads, oldest := b.loads(service, now)
	median := medianRequests(loads)
	sums := map[string]domainSum{}
	for _, load := range loads {
		sum := sums[load.domain]
		sum.vms++
		if median > 0 && load.requests > maxLoadRatio*median {
			load.requests = median
		}
		sum.requests += load.requests
		sum.refused += load.refused
		sums[load.domain] = sum
	}
	for domain, sum := range sums {
		scale := float64(b.domainVMs[domain]) / float64(max(sum.vms, b.reporters(domain)))
		l.VMs += sum.vms
		l.Requests += sum.requests * scale
		l.Refused += sum.refused * scale
	}
	near := sums[b.vms[b.self].Domain].vms - 1
	l.Oldest = oldest
	l.Whole = l.VMs > 1 && len(sums) == len(b.domainVMs) && 2*near >= b.expected()
	return l
}

// loads returns the load of this VM and of those that have reported lately, and the age of the
// oldest of their reports.
func (b *Board) loads(service string, now time.Duration) (list []vmLoad, oldest time.Duration) {
	if s := b.ownService[service]; s != nil {
		list = append(list, vmLoad{domain: b.vms[b.self].Domain, requests: float64(total(s.load)), refused: s.refused})
	}
	for name, s := range b.heard {
		e, age, ok := s.load(service, now)
		if !ok {
			continue
		}
		oldest = max(oldest, age)
		load := vmLoad{domain: b.vms[name].Domain, refused: e.Refused}
		for _, d := range e.Load {
			load.requests += float64(d.Requests)
		}
		list = append(list, load)
	}
	return list, oldest
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

// medianRequests returns the median load of a VM, a request at least, or 0 if there are too few VMs.
func medianRequests(loads []vmLoad) float64 {
	if len(loads) < minLoads {
		return 0
	}
	var requests []float64
	for _, load := range loads {
		requests = append(requests, load.requests)
	}
	slices.Sort(requests)
	return max(requests[len(requests)/2], 1)
}

// reporters returns the number of VMs of a failure domain that tell this VM their load while it is
// high, with this one. Those that are silent count as idle.
func (b *Board) reporters(domain string) int {
	if domain == b.vms[b.self].Domain {
		return b.expected() + 1
	}
	return min(b.domainVMs[domain], loadPeers)
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
