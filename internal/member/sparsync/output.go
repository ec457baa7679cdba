package sparsync

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

type (
	// Output is an action for the caller to perform. It is a sealed interface: Read, Peek,
	// Ask, Enquire, Notify, Confirm, Enlist or Unlist.
	Output interface {
		output()
	}

	// Read requests a read of the platform: an incremental read of the changes after a
	// revision, or a full read if After is 0.
	Read struct {
		After uint64
	}

	// Peek requests the list of VMs registered at the platform. Its result goes to Peeked
	// or PeekFailed.
	Peek struct{}

	// Ask requests a pull of settings from a peer. Its result goes to Pulled, PullBusy or
	// PullFailed.
	Ask struct {
		From  sparconfig.VM
		After uint64 // revision after which changes are pulled, 0 for a full copy
	}

	// Enquire sends a query to a peer.
	Enquire struct {
		To    sparconfig.VM
		Query Query
	}

	// Query asks a peer for a notification if its settings are fresher than Age, or if
	// the sender has none.
	Query struct {
		From    sparconfig.VM
		Synced  bool
		Age     time.Duration
		Outages []Outage // on record at the sender
	}

	// Notify sends a notification to a peer.
	Notify struct {
		To     sparconfig.VM
		Notice Notice
	}

	// Confirm acknowledges a notification of a peer, or tells a peer that sent a query to
	// query again later.
	Confirm struct {
		To sparconfig.VM
	}

	// Enlist requests that VMs which have started recently are registered at the platform.
	Enlist struct {
		VMs []sparconfig.VM
	}

	// Unlist requests that the entry of a VM which has been silent for long is removed
	// from the platform. A VM that still runs registers itself again.
	Unlist struct {
		Name string
	}

	// Notice is a notification that the settings of a VM at Revision were complete Age
	// ago. From is the VM to pull them from.
	Notice struct {
		From     sparconfig.VM
		Reader   string // the VM that read the platform
		Round    uint64 // counts the reads of Reader
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
