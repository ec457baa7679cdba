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
	// stopWait bounds a graceful stop: the grace of the settings.
	stopWait = 4 * time.Second
	// startTime is how long a process needs, on a busy machine, until it handles signals.
	startTime = 300 * time.Millisecond
)

// vm is one entry VM. Its process is started again after each end.
type vm struct {
	world   *world
	name    string
	file    string // settings
	data    netip.AddrPort
	ready   string
	control string
	proxy   *proxy
	log     *os.File

	life   sync.Mutex // held while the process is ended and started again
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	began  time.Time // of the process
	wanted bool      // an end of the process is expected
	paused bool
}

// settings returns the settings file of a VM.
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
	"platform": %q, "seeds": [%s], "force": %d, "grace": %d, "log": "json"
}
`, sparconfig.Cookie, v.name, v.domain(), v.data, v.ready, control, platform, list, Force.Milliseconds(), int(stopWait.Seconds()))
}

func (v *vm) domain() string { return v.world.domains[v.data] }

// start runs the program.
func (v *vm) start() (err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd = exec.Command(v.world.plan.Program, v.file)
	if v.log != nil {
		v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	}
	if err := v.cmd.Start(); err != nil {
		return errors.Trace(err)
	}
	v.wanted, v.exited, v.began = false, make(chan struct{}), time.Now()
	go v.wait(v.cmd, v.exited)
	return nil
}

// wait notes how the process ends.
func (v *vm) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	v.mu.Lock()
	wanted := v.wanted
	v.mu.Unlock()
	if !wanted {
		v.world.checks.broken("EXIT", "%s ended by itself: %v", v.name, err)
	}
	close(exited)
}

// signal sends a signal to the process of this VM.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.wanted = v.wanted || s == syscall.SIGKILL || s == syscall.SIGTERM
	v.paused = s == syscall.SIGSTOP || v.paused && s != syscall.SIGCONT && s != syscall.SIGKILL
	_ = v.cmd.Process.Signal(s) // it may have ended
}

// started reports whether the process has run for long enough to handle signals.
func (v *vm) started() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.began) > startTime
}

// gone waits until the process has ended and reports whether it did in time.
func (v *vm) gone(within time.Duration) bool {
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

// restart ends the process by a signal and starts it again.
func (v *vm) restart(s syscall.Signal) {
	v.life.Lock()
	defer v.life.Unlock()
	began := time.Now()
	v.signal(s)
	if !v.gone(stopWait) {
		if s == syscall.SIGTERM && v.world.trouble.calmFor(time.Since(began), v.name) {
			v.world.checks.broken("STOP", "%s has not stopped %v after SIGTERM", v.name, stopWait)
		}
		v.signal(syscall.SIGKILL)
		v.gone(stopWait)
	}
	if err := v.start(); err != nil {
		v.world.checks.broken("START", "%s: %v", v.name, err)
	}
}

// end kills the process for good.
func (v *vm) end() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.gone(stopWait)
	if v.log != nil {
		_ = v.log.Close() // kept lines were written by the process itself
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
