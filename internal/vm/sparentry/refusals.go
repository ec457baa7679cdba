package sparentry

import (
	"time"

	"github.com/sirupsen/logrus"
)

// refusalLineEvery is the least time between two lines about refused messages of one kind.
const refusalLineEvery = time.Second

type (
	// causes counts what happens, by its cause, until the counts are published.
	causes map[string]int64

	// refusals is the messages of other VMs that were refused. The zero value is one without any.
	refusals struct {
		causes causes
		lineAt time.Duration // last line about one of them
	}
)

// refuse counts a refused message, and logs it unless there was a line a moment ago.
func (vm *VM) refuse(r *refusals, what, from string, err error, now time.Duration) {
	if r.causes == nil {
		r.causes = causes{}
	}
	r.causes[err.Error()]++
	if r.lineAt > 0 && now-r.lineAt < refusalLineEvery {
		return
	}
	r.lineAt = now
	vm.log.WithFields(logrus.Fields{"from": from, "cause": err.Error()}).Warn(what)
}

// publish adds the counts to a counter for each cause, and clears them.
func (c causes) publish(m *metrics, name string) {
	for cause, n := range c {
		m.set.Scope.Tagged(map[string]string{"cause": cause}).Counter(name).Inc(n)
	}
	clear(c)
}
