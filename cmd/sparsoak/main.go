// Command sparsoak injects seeded faults into entry VMs on this machine and reports which
// invariants were violated.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/oleanderspar/oleanderspar/internal/proof/sparsoak"
)

type arguments struct {
	Seed     uint64        `arg:"--seed" default:"1" help:"first seed"`
	Count    int           `arg:"--count" default:"1" help:"number of seeds, each in turn"`
	For      time.Duration `arg:"--for" default:"20s" help:"how long faults go on in each"`
	VMs      int           `arg:"--vms" default:"6" help:"processes"`
	Users    int           `arg:"--users" default:"24" help:"users of flows"`
	Restore  bool          `arg:"--restore" help:"restore the store from older copies as well"`
	Cold     bool          `arg:"--cold" help:"rarer faults, so that upstreams that come back cold are used"`
	Overload bool          `arg:"--overload" help:"rarer faults, and more users than slots by turns"`
	Odd      bool          `arg:"--odd" help:"another writer replaces entries of upstreams as well"`
	Keep     string        `arg:"--keep" help:"directory for the logs of VMs"`
	Program  string        `arg:"--program" help:"program of a VM, otherwise built here"`
	JSON     bool          `arg:"--json" help:"one JSON object for each seed"`
	Quiet    bool          `arg:"--quiet" help:"no progress"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	violations, err := run(a)
	if err != nil {
		fmt.Fprintf(os.Stderr, "sparsoak: %v\n", err)
		os.Exit(2)
	}
	if violations > 0 {
		os.Exit(1)
	}
}

func run(a arguments) (violations int, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if a.Program == "" {
		dir, err := os.MkdirTemp("", "sparsoak")
		if err != nil {
			return 0, err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		a.Program = filepath.Join(dir, "sparentry")
		build := exec.CommandContext(ctx, "go", "build", "-o", a.Program, "./cmd/sparentry")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return 0, err
		}
	}
	for n := range a.Count {
		p := sparsoak.Plan{Program: a.Program, Seed: a.Seed + uint64(n), For: a.For, VMs: a.VMs, Users: a.Users, Restores: a.Restore, Cold: a.Cold, Overload: a.Overload, Odd: a.Odd, Keep: a.Keep}
		if !a.Quiet {
			p.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
		}
		report, err := sparsoak.Run(ctx, p)
		if err != nil {
			return violations, err
		}
		if ctx.Err() != nil {
			return violations, nil
		}
		violations += len(report.Broken)
		if err := printReport(report, a.JSON); err != nil {
			return violations, err
		}
	}
	return violations, nil
}

func printReport(r sparsoak.Report, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	_, err := fmt.Print(r.Text())
	return err
}
