package sparconfig

import (
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/wire/sparjson"
)

// File is the settings file of one entry VM. Fields marked geneve or cookie are refused
// with the other carrier. With their own carrier those without a default are required.
type File struct {
	Carrier  string   `json:"carrier,omitempty"`  // geneve or cookie: how the fabric delivers packets
	Name     string   `json:"name"`               // unique among VMs
	Domain   string   `json:"domain"`             // failure domain
	Data     string   `json:"data"`               // UDP address for packets
	Control  string   `json:"control"`            // UDP and TCP address for peers, operators and metrics
	Fabric   string   `json:"fabric"`             // UDP address to which packets are returned; geneve
	Platform string   `json:"platform"`           // HTTP address of the key-value service
	Secret   string   `json:"secret"`             // 32 hexadecimal digits, the same on all VMs; geneve
	Seeds    []string `json:"seeds,omitempty"`    // control addresses of VMs to query at the start or while the platform is down
	Log      string   `json:"log,omitempty"`      // text or json
	Flows    int      `json:"flows,omitempty"`    // limit of cached flows
	Ready    string   `json:"ready,omitempty"`    // HTTP address of the fabric's readiness probe; cookie
	Force    Figure   `json:"force,omitempty"`    // milliseconds within which settings must be in force everywhere; cookie
	Grace    Figure   `json:"grace,omitempty"`    // seconds from SIGTERM to SIGKILL; cookie
	Beat     Figure   `json:"beat,omitempty"`     // milliseconds between two heartbeats of an upstream to the platform; cookie
	Evacuate Figure   `json:"evacuate,omitempty"` // milliseconds within which an evacuation must be in force everywhere; cookie
	Overage  Figure   `json:"overage,omitempty"`  // how many times its own limit an upstream may get while it warms up; cookie
	Slack    Figure   `json:"slack,omitempty"`    // requests that it may get beyond that; cookie
	Hedge    Figure   `json:"hedge,omitempty"`    // share of openings that may be sent to a second upstream; cookie
	Probe    Figure   `json:"probe,omitempty"`    // VMs asked whether an upstream that is silent is gone, 0 for none; cookie
	CPU      Figure   `json:"cpu,omitempty"`      // share of each core that this VM may use; cookie
	Cores    Figure   `json:"cores,omitempty"`    // processor cores of this VM; cookie
	Link     Figure   `json:"link,omitempty"`     // megabits per second of its link; cookie
}

const (
	// DefaultFlows is the limit of cached flows of a VM.
	DefaultFlows = 400_000

	// Geneve is the carrier that encapsulates packets and keeps flow records at owners.
	Geneve = "geneve"
	// Cookie is the carrier that makes both ends of a flow echo a cookie.
	Cookie = "cookie"

	// DefaultForce is the time, in milliseconds, within which settings must be in force
	// everywhere.
	DefaultForce = 3000
	// DefaultGrace is the time, in seconds, from SIGTERM to SIGKILL.
	DefaultGrace = 6
	// DefaultBeat is the time, in milliseconds, between two heartbeats of an upstream to the
	// platform.
	DefaultBeat = 1200
	// DefaultOverage and DefaultSlack keep an upstream to its own limit during its warm-up.
	DefaultOverage = 1
	DefaultSlack   = 0

	secretDigits = 32
	minForce     = 100     // milliseconds; a few ticks of a VM
	maxForce     = 600_000 // milliseconds
	minGrace     = 0.001   // seconds
	maxGrace     = 3600    // seconds
	minBeat      = 100     // milliseconds
	maxBeat      = 600_000 // milliseconds
	maxOverage   = 1_000_000
	maxSlack     = 1_000_000 // requests
	maxHedge     = 0.1       // of openings; more would load upstreams that are short of slots
	maxProbe     = 16        // VMs; more would take the control messages of a large deployment beyond their bound
	maxCores     = 4096
	maxLink      = 10_000_000 // megabits per second
)

// CarrierSettings returns the carrier of the VM and its settings.
func (f File) CarrierSettings() Carrier {
	if f.Carrier == Cookie {
		return CookieCarrier{
			Ready: f.Ready, Force: f.Force.duration(time.Millisecond), Grace: f.Grace.duration(time.Second),
			Beat: f.Beat.duration(time.Millisecond), Evacuate: f.Evacuate.duration(time.Millisecond),
			Warm: WarmLimit{Overage: float64(f.Overage), Slack: float64(f.Slack)}, Hedge: float64(f.Hedge), Probe: int(f.Probe),
			Capacity: Capacity{Cores: float64(f.CPU * f.Cores), Link: float64(f.Link)},
		}
	}
	return GeneveCarrier{Fabric: f.Fabric}
}

// ReadFile reads and checks the settings file at path. Errors name the file.
func ReadFile(path string) (f File, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "settings file %s", path)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	return ParseFile(text)
}

// ParseFile parses and checks the text of a settings file.
func ParseFile(text []byte) (f File, err error) {
	if f, err = decode(text, sparjson.DecodeKnown[File]); err != nil {
		return File{}, err
	}
	f = f.withDefaults()
	return f, f.check()
}

// Keys returns the two halves of the secret. Only the carrier geneve has one.
func (f File) Keys() (k0, k1 uint64) {
	k0, _ = strconv.ParseUint(f.Secret[:secretDigits/2], 16, 64)
	k1, _ = strconv.ParseUint(f.Secret[secretDigits/2:], 16, 64)
	return k0, k1
}

// VM returns the entry of the VM in the list on the platform.
func (f File) VM() VM {
	return VM{Name: f.Name, Domain: f.Domain, Data: f.Data, Control: f.Control, State: Live, Size: f.class()}
}

func (f File) withDefaults() File {
	if f.Log == "" {
		f.Log = "text"
	}
	if f.Flows == 0 {
		f.Flows = DefaultFlows
	}
	if f.Carrier == "" {
		f.Carrier = Geneve
	}
	if f.Carrier != Cookie {
		return f
	}
	if f.Force == 0 {
		f.Force = DefaultForce
	}
	if f.Grace == 0 {
		f.Grace = DefaultGrace
	}
	if f.Beat == 0 {
		f.Beat = DefaultBeat
	}
	if f.Evacuate == 0 {
		f.Evacuate = f.Force
	}
	if f.Overage == 0 {
		f.Overage = DefaultOverage
	}
	if f.Cores == 0 {
		f.Cores = 1
	}
	return f
}
