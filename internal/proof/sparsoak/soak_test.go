package sparsoak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/proof/sparsoak"
)

// usual is how long faults go on in CI.
const usual = 8 * time.Second

// seeds are those that ever failed, each with the cause that it showed.
var seeds = []struct {
	seed  uint64
	cause string
	more  time.Duration // than the usual time, until the fault came
}{
	{1, "the stand-in server ran older data of a flow again", 0},
	{2028, "SIGHUP came to a process in its first milliseconds, before any program can handle it", 0},
	{2, "two faults restarted one VM at a time, and one of the two found its ports taken", 0},
	{6105, "a VM that kept lapsed entries after an outage of its own told others of a revision without them", 8 * time.Second},
	{6306, "the same, at a reader that others followed", 8 * time.Second},
}

// TestSoak plays short runs. Its verdict rests on what callers and upstreams saw, not on
// how fast it was.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "sparentry")
	build := exec.Command("go", "build", "-o", program, "github.com/oleanderspar/oleanderspar/cmd/sparentry")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, s := range seeds {
		t.Run(s.cause, func(t *testing.T) {
			t.Parallel()
			report, err := sparsoak.Run(t.Context(), sparsoak.Plan{Program: program, Seed: s.seed, For: usual + s.more})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report.Text())
			for _, b := range report.Broken {
				t.Errorf("%.3f %s: %s", b.At, b.Rule, b.Text)
			}
			if report.Served == 0 || report.Openings == 0 || report.Words == 0 {
				t.Error("nothing was served, so nothing was checked")
			}
		})
	}
}
