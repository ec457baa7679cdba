package sparcli

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
	"github.com/oleanderspar/oleanderspar/internal/operator/sparwrite"
	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

type evacuateCommand struct {
	Platform string   `arg:"--platform,env:OLEANDERSPAR_PLATFORM,required" help:"address of the key-value service"`
	Domain   string   `arg:"positional,required" help:"failure domain whose upstreams are to take no new flows"`
	End      bool     `arg:"--end" help:"end the evacuation"`
	Wait     bool     `arg:"--wait" help:"return once that is in force everywhere"`
	VMs      []string `arg:"--vm,env:OLEANDERSPAR_VMS" help:"control addresses of VMs, for --wait"`
}

func (c *evacuateCommand) run(ctx context.Context, out streams) (err error) {
	if c.Wait && len(c.VMs) == 0 {
		return exit{Invalid, errors.New("--wait needs --vm or OLEANDERSPAR_VMS")}
	}
	if err := checkVMs(c.VMs); c.Wait && err != nil {
		return err
	}
	revision, err := c.write(ctx)
	if err := reportWrite(out, revision, err); err != nil || !c.Wait {
		return err
	}
	for !c.inForce(sparstatus.Read(ctx, c.VMs), revision) {
		if !sparring.Pause(ctx, pollInterval) {
			return exit{Hold, ctx.Err()}
		}
	}
	fmt.Fprintf(out.stdout, "%s %s\n", c.done(), c.Domain)
	return nil
}

func (c *evacuateCommand) write(ctx context.Context) (revision uint64, err error) {
	w := sparwrite.Evacuator{Store: sparkv.New(c.Platform)}
	if c.End {
		return w.End(ctx, c.Domain)
	}
	return w.Evacuate(ctx, c.Domain)
}

// inForce reports whether a read of the status confirms the write at revision.
func (c *evacuateCommand) inForce(r sparstatus.Report, revision uint64) bool {
	if c.End {
		return r.EvacuationEnded(c.Domain, revision)
	}
	return r.Evacuated(c.Domain, revision)
}

func (c *evacuateCommand) done() string {
	if c.End {
		return "evacuation ended"
	}
	return "evacuated"
}
