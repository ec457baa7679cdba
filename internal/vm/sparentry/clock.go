package sparentry

import (
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// clock measures time with CLOCK_BOOTTIME. Unlike Go's monotonic clock it also advances
// while the VM is suspended, so that the age of the settings includes that time.
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

// now returns the time since the clock was created plus 1 ms, so that it is never 0.
// The system call does not fail after it has succeeded once.
func (c clock) now() time.Duration {
	now, err := sinceBoot()
	if err != nil {
		panic(err) // the same call succeeded in newClock
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
