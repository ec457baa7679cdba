package sparsoak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/proof/sparsoak"
)

// runTime is how long faults are injected in CI.
const runTime = 8 * time.Second

// seeds are those that have failed before, each with the cause of the failure, and one of each
// further mode.
var seeds = []struct {
	seed  uint64
	cause string
	more  time.Duration // added to runTime, where the failing fault came later

	plan sparsoak.Plan // its modes
}{
	{1, "the fake server ran older data of a flow again", 0, sparsoak.Plan{}},
	{2028, "SIGHUP reached a process in its first milliseconds, before a program can handle it", 0, sparsoak.Plan{}},
	{2, "two faults restarted one VM at once, and one of the two processes found its ports in use", 0, sparsoak.Plan{}},
	{6105, "a VM that kept expired entries after its own outage reported a revision without them to other VMs", 8 * time.Second, sparsoak.Plan{}},
	{6306, "the same, on a reader that other VMs follow", 8 * time.Second, sparsoak.Plan{}},
	{9000, "none yet: restores of the store and another writer beside the other faults", 4 * time.Second, sparsoak.Plan{Restores: true, Odd: true}},
	{63000, "none yet: upstreams that come back cold, overloads", 8 * time.Second, sparsoak.Plan{Cold: true, Overload: true}},
}

// TestSoak executes short runs. The result depends only on what clients and upstreams
// observed, not on speed.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "sparentry")
	build := exec.Command("go", "build", "-o", program, "github.com/oleanderspar/oleanderspar/cmd/sparentry")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range seeds {
		t.Run(s.cause, func(t *testing.T) {
			t.Parallel()
			p := s.plan
			p.Program, p.Seed, p.For = program, s.seed, runTime+s.more
			report, err := sparsoak.Run(t.Context(), p)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report.Text())
			for _, v := range report.Broken {
				t.Errorf("%.3f %s: %s", v.At, v.Rule, v.Text)
			}
			if report.Served == 0 || report.Openings == 0 || report.Words == 0 {
				t.Error("nothing was served, so nothing was checked")
			}
		})
	}
}
