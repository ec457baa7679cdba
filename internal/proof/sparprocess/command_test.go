package sparprocess_test

import (
	"errors"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// assertCode runs a command and checks its exit code, which is the first argument.
func assertCode(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		got = failed.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// runUntil repeats a command until its output contains the first argument, or, if that is empty, until
// the command succeeds.
func runUntil(ts *testscript.TestScript, neg bool, args []string) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		err := ts.Exec(args[1], args[2:]...)
		if args[0] == "" && err != nil {
			continue
		}
		if strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
	}
	ts.Fatalf("%q not printed within %v", args[0], waitTimeout)
}
