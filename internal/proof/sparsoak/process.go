package sparsoak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// stopTimeout bounds a graceful stop. It is the grace period in the settings of the VMs.
	stopTimeout = 4 * time.Second
	// startupTime is how long a process needs, on a busy machine, before it handles signals.
	startupTime = 300 * time.Millisecond
)

// vm is one entry VM. Its process is started again whenever a fault ends it.
type vm struct {
	testbed *testbed
	name    string
	file    string // path of the settings
	data    netip.AddrPort
	ready   string
	control string
	proxy   *proxy
	log     *os.File

	restarting   sync.Mutex // held during a restart, so that two faults do not restart one VM at once
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	startedAt    time.Time // when the process started
	exitExpected bool      // SIGTERM or SIGKILL was sent
	paused       bool
}

// settings returns the text of the settings file.
func (v *vm) settings(control, platform string, seeds []string) string {
	list := ""
	for i, s := range seeds {
		if i > 0 {
			list += ", "
		}
		list += fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf(`{
	// one VM of a soak
	"carrier": %q, "name": %q, "domain": %q, "data": %q, "ready": %q, "control": %q,
	"platform": %q, "seeds": [%s], "force": %d, "grace": %d, "evacuate": %d, "overage": %v, "slack": %d, "log": "json"
}
`, sparconfig.Cookie, v.name, v.domain(), v.data, v.ready, control, platform, list, Force.Milliseconds(), int(stopTimeout.Seconds()), v.testbed.plan.bound().Milliseconds(), warmOverage, warmSlack)
}

func (v *vm) domain() string { return v.testbed.domains[v.data] }

// start starts the process.
func (v *vm) start() (err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd = exec.Command(v.testbed.plan.Program, v.file)
	if v.log != nil {
		v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	}
	if err := v.cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	v.exitExpected, v.exited, v.startedAt = false, make(chan struct{}), time.Now()
	go v.wait(v.cmd, v.exited)
	return nil
}

// wait waits for the process to exit and reports an unexpected exit.
func (v *vm) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	v.mu.Lock()
	exitExpected := v.exitExpected
	v.mu.Unlock()
	if !exitExpected {
		v.testbed.checker.violated("EXIT", "%s ended by itself: %v", v.name, err)
	}
	close(exited)
}

// signal sends s to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.exitExpected = v.exitExpected || s == syscall.SIGKILL || s == syscall.SIGTERM
	v.paused = s == syscall.SIGSTOP || v.paused && s != syscall.SIGCONT && s != syscall.SIGKILL
	_ = v.cmd.Process.Signal(s) // the process may have exited
}

// handlesSignals reports whether the process has run long enough to handle signals.
func (v *vm) handlesSignals() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.startedAt) > startupTime
}

// waitExit reports whether the process exits within a time.
func (v *vm) waitExit(within time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

// restart stops the process with s, or with SIGKILL if it does not exit in time, and
// starts it again.
func (v *vm) restart(s syscall.Signal) {
	v.restarting.Lock()
	defer v.restarting.Unlock()
	signaledAt := time.Now()
	v.signal(s)
	if !v.waitExit(stopTimeout) {
		if s == syscall.SIGTERM && v.testbed.faultLog.stableFor(time.Since(signaledAt), v.name) {
			v.testbed.checker.violated("STOP", "%s has not stopped %v after SIGTERM", v.name, stopTimeout)
		}
		v.signal(syscall.SIGKILL)
		v.waitExit(stopTimeout)
	}
	if err := v.start(); err != nil {
		v.testbed.checker.violated("START", "%s: %v", v.name, err)
	}
}

// restartAfter kills the process and starts it again once wait returns.
func (v *vm) restartAfter(wait func()) {
	v.restarting.Lock()
	defer v.restarting.Unlock()
	v.signal(syscall.SIGKILL)
	v.waitExit(stopTimeout)
	wait()
	if err := v.start(); err != nil {
		v.testbed.checker.violated("START", "%s: %v", v.name, err)
	}
}

// kill stops the process for good.
func (v *vm) kill() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.waitExit(stopTimeout)
	if v.log != nil {
		_ = v.log.Close() // the process itself wrote the lines
	}
}

// writeSettings writes the settings file and opens the log.
func (v *vm) writeSettings(dir, logs, text string) (err error) {
	v.file = filepath.Join(dir, v.name+".json")
	if err := os.WriteFile(v.file, []byte(text), 0o644); err != nil {
		return errors.Trace(err)
	}
	if logs == "" {
		return nil
	}
	v.log, err = os.Create(filepath.Join(logs, v.name+".log"))
	return errors.Trace(err)
}
