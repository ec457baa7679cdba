package sparconfig

import (
	"net/netip"
	"strings"

	"github.com/juju/errors"
)

func (f File) check() error {
	if err := CheckName(f.Name); err != nil {
		return errors.Annotate(err, "name")
	}
	if err := CheckName(f.Domain); err != nil {
		return errors.Annotate(err, "domain")
	}
	if err := f.checkCarrier(); err != nil {
		return err
	}
	addresses := []struct{ name, value string }{
		{"data", f.Data}, {"control", f.Control}, {"platform", f.Platform},
	}
	for _, a := range addresses {
		if err := checkAddress(a.value); err != nil {
			return errors.Annotate(err, a.name)
		}
	}
	for i, seed := range f.Seeds {
		if err := checkAddress(seed); err != nil {
			return errors.Annotatef(err, "seeds[%d]", i)
		}
	}
	if f.Data == f.Control {
		return errors.Errorf("control: %s is the address of data as well, expected another one", f.Control)
	}
	if f.Log != "" && f.Log != "text" && f.Log != "json" {
		return errors.Errorf("log: %q, expected text or json", f.Log)
	}
	if f.Flows < 0 {
		return errors.Errorf("flows: %d, expected at least 1", f.Flows)
	}
	return nil
}

// checkCarrier checks the carrier and the fields that belong to one carrier only.
func (f File) checkCarrier() error {
	switch f.Carrier {
	case Geneve:
		return f.checkGeneve()
	case Cookie:
		return f.checkCookie()
	}
	return errors.Errorf("carrier: %q, expected %s or %s", f.Carrier, Geneve, Cookie)
}

func (f File) checkGeneve() error {
	if f.Ready != "" || f.Force != 0 || f.Grace != 0 || f.Beat != 0 {
		return errors.Errorf("ready, force, grace, beat: expected only with the carrier %s", Cookie)
	}
	if f.Evacuate != 0 || f.Overage != 0 || f.Slack != 0 || f.Hedge != 0 || f.Probe != 0 || f.CPU != 0 || f.Cores != 0 || f.Link != 0 {
		return errors.Errorf("evacuate, overage, slack, hedge, probe, cpu, cores, link: expected only with the carrier %s", Cookie)
	}
	if err := checkAddress(f.Fabric); err != nil {
		return errors.Annotate(err, "fabric")
	}
	if len(f.Secret) != secretDigits || strings.Trim(f.Secret, "0123456789abcdefABCDEF") != "" {
		return errors.Errorf("secret: expected %d hexadecimal digits", secretDigits)
	}
	return nil
}

func (f File) checkCookie() error {
	if f.Fabric != "" || f.Secret != "" {
		return errors.Errorf("fabric, secret: expected only with the carrier %s", Geneve)
	}
	if err := checkAddress(f.Ready); err != nil {
		return errors.Annotate(err, "ready")
	}
	if f.Ready == f.Control {
		return errors.Errorf("ready: %s is the address of control as well, expected another one", f.Ready)
	}
	if err := f.Force.check("force", minForce, maxForce, "milliseconds"); err != nil {
		return err
	}
	if err := f.Grace.check("grace", minGrace, maxGrace, "seconds"); err != nil {
		return err
	}
	if err := f.Beat.check("beat", minBeat, maxBeat, "milliseconds"); err != nil {
		return err
	}
	if err := f.Evacuate.check("evacuate", minForce, maxForce, "milliseconds"); err != nil {
		return err
	}
	for _, field := range []struct {
		name        string
		value, most Figure
		unit        string
	}{
		{"overage", f.Overage, maxOverage, "times"}, {"slack", f.Slack, maxSlack, "requests"},
		{"hedge", f.Hedge, maxHedge, "of openings"}, {"probe", f.Probe, maxProbe, "VMs"}, {"cpu", f.CPU, maxCores, "of a core"},
		{"cores", f.Cores, maxCores, "cores"}, {"link", f.Link, maxLink, "megabits per second"},
	} {
		if err := field.value.check(field.name, 0, field.most, field.unit); err != nil {
			return err
		}
	}
	return nil
}

func checkAddress(s string) error {
	ap, err := netip.ParseAddrPort(s)
	if err != nil || !ap.Addr().Is4() || ap.Port() == 0 {
		return errors.Errorf("%q, expected an IPv4 address and port such as 10.0.0.1:6081", s)
	}
	return nil
}
