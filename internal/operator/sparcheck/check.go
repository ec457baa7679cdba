// Package sparcheck checks a configuration before it is sent: what VMs would refuse, entries that can
// never match, limits that contradict each other, and what differs from the version in force.
//
// It reads documents as VMs do, so it says what they would make of them:
//
//	report, err := sparcheck.Check(text)
//	for _, f := range report.Findings {
//		fmt.Println(f.Level, f.Where, f.Text) // warning service booking: no upstreams, ...
//	}
//
// An error means that nothing of the document can be used.
package sparcheck

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparjson"
	"github.com/oleanderspar/oleanderspar/platform"
)

const (
	// Change is a difference from the version in force.
	Change Level = iota
	// Warning is an entry that can never match, or a limit that contradicts another one.
	Warning
	// Error is something that VMs refuse, pass over or leave out.
	Error
)

const (
	// Configuration is the operator's document of all routes, for the carrier cookie.
	Configuration Kind = "configuration"
	// Service is the document of one service, for the carrier geneve.
	Service Kind = "service"
)

type (
	// Level is how severe a finding is. A greater level is more severe.
	Level int

	// Kind is the kind of a document.
	Kind string

	// Finding is one result of a check.
	Finding struct {
		Level Level
		Where string // the entry that it is about
		Text  string
	}

	// Report is the result of a check.
	Report struct {
		Kind     Kind
		Findings []Finding
	}

	// document is a decoded document. It is a sealed interface: routing or service.
	document interface {
		kind() Kind
		check(r *Report)
	}

	// routing is the operator's document of all routes.
	routing struct {
		sparroster.Routing
		passedOver []platform.PassedOver
	}

	// service is the document of one service, as written and with defaults.
	service struct {
		written sparconfig.Document
		sparconfig.Service
	}
)

func (routing) kind() Kind { return Configuration }
func (service) kind() Kind { return Service }

// String returns the level as written.
func (l Level) String() string { return [...]string{"change", "warning", "error"}[l] }

// Check checks a document.
func Check(text []byte) (r Report, err error) {
	d, err := decode(text)
	if err != nil {
		return Report{}, err
	}
	r.Kind = d.kind()
	d.check(&r)
	return r, nil
}

// Against checks a document and compares it with the one in force.
func Against(text, inForce []byte) (r Report, err error) {
	if r, err = Check(text); err != nil {
		return Report{}, err
	}
	now, err := decode(text)
	if err != nil {
		return Report{}, err
	}
	before, err := decode(inForce)
	if err != nil {
		return Report{}, errors.Annotate(err, "in force")
	}
	switch now := now.(type) {
	case routing:
		if before, ok := before.(routing); ok {
			now.compare(before, &r)
			return r, nil
		}
	case service:
		if before, ok := before.(service); ok {
			now.compare(before, &r)
			return r, nil
		}
	}
	return Report{}, errors.Errorf("a %s can't be compared with a %s", now.kind(), before.kind())
}

func decode(text []byte) (d document, err error) {
	if platform.IsRouting(text) {
		fact, err := platform.Decode(sparroster.RoutingKey, text)
		if err != nil {
			return nil, withLine(err, text)
		}
		return routing{fact.(sparroster.Routing), platform.PassedOverValues(text)}, nil
	}
	written, err := sparconfig.ParseDocument(text)
	if err != nil {
		return nil, err
	}
	checked, err := written.Service("check/check", sparregistry.Position{})
	return service{written, checked}, err
}

// withLine returns an error about the text of a configuration with the line that it is in.
func withLine(err error, text []byte) error {
	var wrong *sparjson.Error
	if !errors.As(err, &wrong) {
		return err
	}
	return errors.Errorf("line %d: %v", wrong.Line(text), wrong)
}

// Worst returns the most severe level of the findings, Change if there are none.
func (r Report) Worst() Level {
	worst := Change
	for _, f := range r.Findings {
		worst = max(worst, f.Level)
	}
	return worst
}

// Count returns the number of findings of a level.
func (r Report) Count(level Level) (n int) {
	for _, f := range r.Findings {
		if f.Level == level {
			n++
		}
	}
	return n
}

func (r *Report) add(level Level, where, format string, args ...any) {
	r.Findings = append(r.Findings, Finding{Level: level, Where: where, Text: fmt.Sprintf(format, args...)})
}

// changed adds a change of one value.
func changed[T comparable](r *Report, where, what string, before, now T) {
	if before != now {
		r.add(Change, where, "%s %v, before %v", what, now, before)
	}
}
