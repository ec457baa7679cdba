package sparconfig

import (
	"encoding/json"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparjson"
)

// MaxWrites is the number of latest writes whose IDs a document keeps.
const MaxWrites = 32

type (
	// Document is the settings of one service as written by its team.
	Document struct {
		Address   string   `json:"address"`
		Proto     string   `json:"proto"`
		Upstreams []Member `json:"upstreams"`
		Spread    float64  `json:"spread,omitempty"`
		Drain     int64    `json:"drain,omitempty"`
		Silent    int64    `json:"silent,omitempty"`
		Idle      int64    `json:"idle,omitempty"`
		Warm      int64    `json:"warm,omitempty"`
		Removed   bool     `json:"removed,omitempty"`
		Writes    []string `json:"writes,omitempty"`
	}

	// Member is one upstream of a document.
	Member struct {
		At     string `json:"at"`
		Domain string `json:"domain,omitempty"` // failure domain
		State  string `json:"state,omitempty"`
		Until  int64  `json:"until,omitempty"` // end of the drain in Unix seconds
	}
)

// ParseDocument parses and checks a service document. Errors name the line of a syntax
// error, or the path of a field, and what was expected.
func ParseDocument(text []byte) (d Document, err error) {
	if d, err = ReadDocument(text); err != nil {
		return Document{}, err
	}
	if _, err := d.Service("check/check", sparregistry.Position{}); err != nil {
		return Document{}, err
	}
	return d, nil
}

// ReadDocument parses a stored document without checking its rules.
func ReadDocument(text []byte) (d Document, err error) {
	return decode(text, sparjson.DecodeKnown[Document])
}

// Claims returns the platform keys of the claims on all addresses that d uses.
func (d Document) Claims() []string {
	proto, err := sparflow.ParseProto(d.Proto)
	if err != nil {
		return nil
	}
	var keys []string
	addresses := []string{d.Address}
	for _, m := range d.Upstreams {
		addresses = append(addresses, m.At)
	}
	for _, a := range addresses {
		if e, err := sparflow.ParseEndpoint(a); err == nil {
			keys = append(keys, ClaimKey(proto, e))
		}
	}
	return keys
}

// WithWrite returns d with the ID of one more write. Beyond MaxWrites it drops the oldest.
func (d Document) WithWrite(id string) Document {
	writes := append(append([]string{}, d.Writes...), id)
	if len(writes) > MaxWrites {
		writes = writes[len(writes)-MaxWrites:]
	}
	d.Writes = writes
	return d
}

// Wrote reports whether d contains the write with the ID.
func (d Document) Wrote(id string) bool {
	for _, w := range d.Writes {
		if w == id {
			return true
		}
	}
	return false
}

// WithDrain returns d with the upstream at the address draining until the time given. The
// result is false if d has no such upstream.
func (d Document) WithDrain(at string, until time.Time) (Document, bool) {
	upstreams := append([]Member{}, d.Upstreams...)
	found := false
	for i, m := range upstreams {
		if m.At == at {
			upstreams[i] = Member{At: at, Domain: m.Domain, State: Drain, Until: until.Unix()}
			found = true
		}
	}
	d.Upstreams = upstreams
	return d, found
}

// Text returns d as indented JSON.
func (d Document) Text() []byte {
	text, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		panic(err) // a Document has only plain values
	}
	return append(text, '\n')
}
