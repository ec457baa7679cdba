package sparconfig

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparjson"
)

const (
	// Live is the state of a running VM on the platform.
	Live = "live"
	// Leaving is the state on the platform of a VM that is about to stop.
	Leaving = "leaving"
)

type (
	// VM is one entry of the list of VMs on the platform.
	VM struct {
		Name    string `json:"-"`
		Domain  string `json:"domain"`
		Data    string `json:"data"`
		Control string `json:"control"`
		State   string `json:"state"`
		Size    int    `json:"size,omitempty"` // capacity class, 0 for unknown; a larger VM has a higher one
	}
)

// Text returns v as JSON.
func (v VM) Text() []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // a VM has only plain values
	}
	return text
}

// ParseVM parses the entry of the VM called name. It passes over fields that a later version has
// added.
func ParseVM(name string, text []byte) (v VM, err error) {
	if v, err = decode(text, sparjson.Decode[VM]); err != nil {
		return VM{}, err
	}
	v.Name = name
	if err := CheckName(v.Name); err != nil {
		return VM{}, err
	}
	return v, v.Check()
}

// Check returns an error unless the addresses of v are valid.
func (v VM) Check() error {
	if err := checkAddress(v.Data); err != nil {
		return errors.Annotate(err, "data")
	}
	return errors.Annotate(checkAddress(v.Control), "control")
}

// VMs returns the VMs in r. It leaves out entries that cannot be parsed.
func VMs(r sparregistry.Registry) []VM {
	var list []VM
	for _, e := range r.Under(vmPrefix) {
		v, err := ParseVM(strings.TrimPrefix(e.Key, vmPrefix), e.Value)
		if err == nil {
			list = append(list, v)
		}
	}
	return list
}
