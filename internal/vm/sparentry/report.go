package sparentry

import (
	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

// logDomain logs that a failure domain is suspect as a whole, or no longer.
func (vm *VM) logDomain(e sparcookie.DomainChanged) {
	what := "domain answers again"
	if e.Suspect {
		what = "domain suspect"
	}
	vm.log.WithFields(logrus.Fields{
		"domain": e.Domain, "upstreams": e.Upstreams, "silent_ms": e.Silent.Milliseconds(), "age_ms": vm.age.Milliseconds(),
	}).Warn(what)
	vm.addEvent(what, "", e.Domain, e.Upstreams)
}
