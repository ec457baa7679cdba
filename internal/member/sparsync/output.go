package sparsync

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

type (
	// Output is an action for the caller to perform. It is a sealed interface: Read,
	// ListVMs, Pull, SendQuery, Notify, Confirm, Register or Deregister.
	Output interface {
		output()
	}

	// Read requests a read of the platform: an incremental read of the changes after a
	// position, or a full read if After is zero. Changes of more than Limit bytes
	// count as incomplete. With a Limit of 0 only the position is read.
	Read struct {
		After sparregistry.Position
		Limit int
	}

	// ListVMs requests the list of VMs registered at the platform. Its result goes to
	// VMsListed or ListVMsFailed.
	ListVMs struct{}

	// Pull requests a pull of settings from a peer. Its result goes to Pulled, PullRefused
	// or PullFailed.
	Pull struct {
		From  sparconfig.VM
		After sparregistry.Position // after which changes are pulled, zero for a full copy
	}

	// SendQuery sends a query to a peer.
	SendQuery struct {
		To    sparconfig.VM
		Query Query
	}

	// Query asks a peer for a notification if its settings are fresher than Age, or if
	// the sender has none. Ages are those at the time of sending.
	Query struct {
		From    sparconfig.VM
		Synced  bool
		Age     time.Duration
		Outages []Outage // on record at the sender
		Timing  Timing
	}

	// Notify sends a notification to a peer.
	Notify struct {
		To           sparconfig.VM
		Notification Notification
	}

	// Confirm acknowledges a notification of a peer, or tells a peer that sent a query to
	// query again later.
	Confirm struct {
		To     sparconfig.VM
		Timing Timing
	}

	// Register requests that VMs which have started recently are registered at the platform.
	Register struct {
		VMs []sparconfig.VM
	}

	// Deregister requests that the entry of a VM which has been silent for long is removed
	// from the platform. A VM that still runs registers itself again.
	Deregister struct {
		Name string
	}

	// Notification says that the settings of a VM at a position were complete Age before it
	// was sent. From is the VM to pull them from.
	Notification struct {
		From   sparconfig.VM
		Reader string // the VM that read the platform
		Round  uint64 // counts the reads of Reader
		At     sparregistry.Position
		Digest uint64
		Age    time.Duration
		Timing Timing
	}
)

func (Read) output()       {}
func (ListVMs) output()    {}
func (Pull) output()       {}
func (SendQuery) output()  {}
func (Notify) output()     {}
func (Confirm) output()    {}
func (Register) output()   {}
func (Deregister) output() {}
