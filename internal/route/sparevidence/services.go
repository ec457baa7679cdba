package sparevidence

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportBytes bounds the encoded size of a report without upstreams and services, and the names in it;
	// upstreamBytes, serviceBytes and loadBytes bound that of an upstream, a service and the load of a failure
	// domain.
	reportBytes   = 32
	upstreamBytes = 44
	serviceBytes  = 40
	loadBytes     = 10
)

// candidate is a service that a report may list.
type candidate struct {
	ServiceEntry
	wanted bool // there is something to say about it
}

// pickServices returns what this VM has seen of its services, in order. ids are the upstreams named in
// the report. As far as there is room, those about which there is something to say come first, and
// of these the ones that were listed least lately. None is listed twice within reportEvery, so that urgent
// reports are small. partial is set if services with something to say are left out.
func (b *Board) pickServices(now time.Duration, ids []uint64) (list []ServiceEntry, partial bool) {
	candidates := b.candidates(now, ids)
	slices.SortFunc(candidates, func(x, y candidate) int {
		if x.wanted != y.wanted {
			if x.wanted {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.told[x.Service], b.told[y.Service]), cmp.Compare(x.Service, y.Service))
	})
	room := b.room(len(ids))
	for _, c := range candidates {
		if at, ok := b.told[c.Service]; ok && now-at < reportEvery {
			partial = partial || c.wanted
			continue
		}
		room -= c.bytes()
		if len(list) > 0 && room < 0 || len(list) == MaxEntries-1 {
			partial = partial || c.wanted
			break
		}
		b.told[c.Service] = now
		list = append(list, c.ServiceEntry)
	}
	slices.SortFunc(list, func(a, b ServiceEntry) int { return cmp.Compare(a.Service, b.Service) })
	return list, partial
}

// candidates returns the services that this VM has seen, in any order.
func (b *Board) candidates(now time.Duration, ids []uint64) (list []candidate) {
	if b.told == nil {
		b.told = map[string]time.Duration{}
	}
	doubted := map[string]bool{}
	for id := range b.subjects {
		doubted[b.upstreams[id].Service] = true
	}
	named := map[string]Counts{}
	for _, id := range ids {
		service := b.upstreams[id].Service
		named[service] = named[service].plus(b.own[id].value(now))
	}
	for name, s := range b.ownService {
		total := s.value(now)
		c := candidate{ServiceEntry: ServiceEntry{Service: name, Usual: b.ownUsual(name, now), Refused: s.refused}}
		c.Others = total.plus(named[name].times(-1)).atLeastZero()
		if b.pressed {
			c.Load = domainLoads(s.load)
		}
		_, isNamed := named[name]
		c.wanted = isNamed || doubted[name] || total.Failures()+total.Slow >= leastCount || b.pressed && (len(c.Load) > 0 || s.refused > 0)
		if total.samples() >= leastCount || len(c.Load) > 0 {
			list = append(list, c)
		}
	}
	return list
}

// room returns the bytes for services in a report that names some upstreams, if one can go to each peer
// within reportEvery.
func (b *Board) room(upstreams int) int {
	return bytesPerSecond/max(1, b.peerCount()) - reportBytes - len(b.self) - upstreams*upstreamBytes
}

// bytes returns about the size of an encoded entry, or more.
func (e ServiceEntry) bytes() int {
	n := serviceBytes + len(e.Service)
	for _, l := range e.Load {
		n += loadBytes + len(l.Domain)
	}
	return n
}

// Usual returns the usual response time of a service: the median of the means of this VM and the
// VMs that report. It is 0 if nobody knows.
func (b *Board) Usual(service string, now time.Duration) time.Duration {
	var list []time.Duration
	if own := b.ownUsual(service, now); own > 0 {
		list = append(list, own)
	}
	for _, s := range b.heard {
		if e := s.services[service]; e.Usual > 0 && now-e.at <= reportAge {
			list = append(list, e.Usual)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
