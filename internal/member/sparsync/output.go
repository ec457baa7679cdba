package sparsync

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

type (
	// Output is something for the shell to do. It is a sealed interface: Read, Peek, Ask,
	// Enquire, Notify, Confirm,
	// Enlist or Unlist.
	Output interface {
		output()
	}

	// Read asks for a reading of the platform: of what has changed after a revision, or
	// of everything where that is 0.
	Read struct {
		After uint64
	}

	// Peek asks for the VMs that the platform lists. Peeked takes the answer.
	Peek struct{}

	// Ask pulls settings from a peer.
	Ask struct {
		From  sparconfig.VM
		After uint64 // only what changed later; 0 for everything
	}

	// Enquire asks a peer whether its settings are more recent.
	Enquire struct {
		To    sparconfig.VM
		Query Query
	}

	// Query is a question for a notice.
	Query struct {
		From    sparconfig.VM
		Synced  bool
		Age     time.Duration
		Outages []Outage // that the asker knows of
	}

	// Notify tells a peer how old the settings here are.
	Notify struct {
		To     sparconfig.VM
		Notice Notice
	}

	// Confirm tells a peer that its notice arrived, or that it is to ask again later.
	Confirm struct {
		To sparconfig.VM
	}

	// Enlist asks to put entries of VMs into the platform that have started lately.
	Enlist struct {
		VMs []sparconfig.VM
	}

	// Unlist asks to take the entry of a VM out of the platform, since it has been silent
	// for long. A VM that lives lists itself again.
	Unlist struct {
		Name string
	}

	// Notice says that the settings of a VM at Revision were complete Age ago. From is the
	// VM to pull them from.
	Notice struct {
		From     sparconfig.VM
		Reader   string // the VM that read the platform
		Round    uint64 // of that reader, rising
		Revision uint64
		Digest   uint64
		Age      time.Duration
	}
)

func (Read) output()    {}
func (Peek) output()    {}
func (Ask) output()     {}
func (Enquire) output() {}
func (Notify) output()  {}
func (Confirm) output() {}
func (Enlist) output()  {}
func (Unlist) output()  {}
