package sparentry

import (
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// clock is time since the boot of the VM. Unlike the runtime's monotonic time it goes
// on while the VM is suspended, so that settings grow old meanwhile.
type clock struct {
	began time.Duration
}

func newClock() (c clock, err error) {
	began, err := sinceBoot()
	if err != nil {
		return clock{}, errors.Annotate(err, "clock")
	}
	return clock{began: began}, nil
}

// now returns the time since the clock was made, and a moment more, so that it is
// never 0. The call cannot fail once it has succeeded.
func (c clock) now() time.Duration {
	now, err := sinceBoot()
	if err != nil {
		panic(err) // newClock has made the same call
	}
	return now - c.began + time.Millisecond
}

func sinceBoot() (d time.Duration, err error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
