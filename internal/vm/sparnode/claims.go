package sparnode

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	// claimCheckEvery is the interval at which claims are compared with the documents.
	claimCheckEvery = time.Second
	// claimGrace is how long a claim stays after it is no longer used. It is longer than
	// a writer may take between writing a claim and writing the document that uses it.
	claimGrace = time.Minute
)

type (
	// ReleaseClaim asks to delete an unused claim if its revision has not changed.
	ReleaseClaim struct {
		Key      string
		Revision uint64
	}

	// RaiseEra asks to write the era to the platform if its key has not changed since Revision, 0
	// if it was absent. It is repeated with each read until the platform has reached the era.
	RaiseEra struct {
		Era      uint64
		Revision uint64
	}

	// unusedClaim is a claim without a document that names its address.
	unusedClaim struct {
		at    sparregistry.Position // of the claim
		since time.Duration
	}
)

func (ReleaseClaim) output() {}
func (RaiseEra) output()     {}

// releaseClaims asks to release the claims that have been unused for claimGrace. Only the
// first member of the view does so, and only while every VM that should respond has these
// settings in force. Until then some VM may still send packets to the address of a claim.
func (n *Node) releaseClaims() []Output {
	if n.now-n.lastClaimCheck < claimCheckEvery {
		return nil
	}
	n.lastClaimCheck = n.now
	members := n.Engine.View().Members
	if len(members) == 0 || members[0].VM.Name != n.self.Name || !n.confirmed() {
		clear(n.unusedClaims)
		return nil
	}
	used := n.usedClaims()
	var outs []Output
	for _, e := range n.registry.Under(sparconfig.ClaimPrefix) {
		if used[e.Key] == string(e.Value) {
			delete(n.unusedClaims, e.Key)
			continue
		}
		u, known := n.unusedClaims[e.Key]
		if !known || u.at != e.Position() {
			n.unusedClaims[e.Key] = unusedClaim{at: e.Position(), since: n.now}
			continue
		}
		if n.now-u.since >= claimGrace {
			delete(n.unusedClaims, e.Key)
			outs = append(outs, ReleaseClaim{Key: e.Key, Revision: e.Revision})
		}
	}
	return outs
}

// usedClaims returns the service of each claim that a document names, be it in force or
// only on the platform.
func (n *Node) usedClaims() map[string]string {
	used := map[string]string{}
	for name, s := range n.snapshot.Services() {
		used[sparconfig.ClaimKey(s.Proto, s.Address)] = name
		for _, u := range s.Upstreams {
			used[sparconfig.ClaimKey(s.Proto, u.At)] = name
		}
	}
	for _, e := range n.registry.Under(sparconfig.TeamPrefix) {
		n.addUsed(used, e)
	}
	return used
}

func (n *Node) addUsed(used map[string]string, e sparregistry.Entry) {
	name, ok := sparconfig.ServiceName(e.Key)
	d, err := sparconfig.ReadDocument(e.Value)
	if !ok || err != nil || d.Removed {
		return
	}
	for _, key := range d.Claims() {
		if claim, ok := n.registry.Get(key); ok && string(claim.Value) == name {
			used[key] = name
		}
	}
}

// confirmed reports whether every VM that should respond has these settings in force.
func (n *Node) confirmed() bool {
	same := map[string]bool{}
	for _, h := range n.Tracker.Live(n.now) {
		same[h.VM.Name] = h.Digest == sparmember.Fold(n.snapshot.Digest)
	}
	for _, vm := range n.Expected() {
		if !same[vm.Name] {
			return false
		}
	}
	return true
}
