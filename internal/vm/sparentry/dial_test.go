package sparentry_test

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparentry"
)

// failed returns the error of a connection as the net package returns it.
func failed(cause error) error {
	return &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", cause)}
}

// TestConnectionsThatShowNothing covers faults of this VM, which may not pass for a dead upstream: many VMs
// may be short of descriptors or processor time at the same moment.
func TestConnectionsThatShowNothing(t *testing.T) {
	timeout := &net.OpError{Op: "dial", Net: "tcp4", Err: os.ErrDeadlineExceeded}
	tests := []struct {
		name string
		err  error
		took time.Duration
		want any
	}{
		{"it opens", nil, time.Millisecond, sparentry.DialAlive},
		{"it opens late", nil, time.Second, sparentry.DialAlive},
		{"refused", failed(syscall.ECONNREFUSED), time.Millisecond, sparentry.DialSilent},
		{"refused, noticed late", failed(syscall.ECONNREFUSED), time.Second, sparentry.DialSilent},
		{"no answer", timeout, sparprobe.ConnectTimeout + 2*time.Millisecond, sparentry.DialSilent},
		{"no answer, no processor time", timeout, sparprobe.ConnectTimeout + 40*time.Millisecond, sparentry.DialUnknown},
		{"no descriptors", failed(syscall.EMFILE), 0, sparentry.DialUnknown},
		{"no descriptors on the host", failed(syscall.ENFILE), 0, sparentry.DialUnknown},
		{"no ports", failed(syscall.EADDRNOTAVAIL), 0, sparentry.DialUnknown},
		{"no memory", failed(syscall.ENOBUFS), 0, sparentry.DialUnknown},
		{"the VM ends", context.Canceled, 0, sparentry.DialUnknown},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			if got := sparentry.JudgeDial(c.err, c.took); got != c.want {
				t.Errorf("%v after %v: %v, want %v", c.err, c.took, got, c.want)
			}
		})
	}
}
