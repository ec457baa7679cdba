package sparentry

import (
	"context"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

// Pause keeps the event loop from running for d, as if the process was paused.
func (vm *VM) Pause(ctx context.Context, d time.Duration) error {
	_, err := sparring.Query(ctx, vm.queries, func(*VM) bool {
		time.Sleep(d)
		return true
	})
	return err
}

// AddAdmissionState adds an admission state to the fields of a log line.
var AddAdmissionState = addAdmissionState

// Results of connections to upstreams.
const (
	DialUnknown = dialUnknown
	DialSilent  = dialSilent
	DialAlive   = dialAlive
)

// JudgeDial returns what a connection shows that ended so after some time.
var JudgeDial = judgeDial
