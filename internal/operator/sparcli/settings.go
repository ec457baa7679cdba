package sparcli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
	"github.com/oleanderspar/oleanderspar/internal/operator/sparwrite"
	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

// pollInterval is the time between the status reads of drain --wait.
const pollInterval = 300 * time.Millisecond

type (
	// scope is the platform and team that a command works on.
	scope struct {
		Platform string `arg:"--platform,env:OLEANDERSPAR_PLATFORM,required" help:"address of the key-value service"`
		Team     string `arg:"--team,env:OLEANDERSPAR_TEAM,required" help:"the team whose settings to use"`
	}

	setCommand struct {
		scope
		Service  string `arg:"positional,required" help:"name of the service"`
		File     string `arg:"positional,required" help:"service document, JSON with comments"`
		Revision uint64 `arg:"--revision" help:"write only if this revision is held"`
	}

	getCommand struct {
		scope
		Service string `arg:"positional,required" help:"name of the service"`
	}

	listCommand struct {
		scope
	}

	removeCommand struct {
		scope
		Service string `arg:"positional,required" help:"name of the service"`
	}

	drainCommand struct {
		scope
		Service  string        `arg:"positional,required" help:"name of the service"`
		Upstream string        `arg:"positional,required" help:"a.b.c.d:port of the upstream"`
		Within   time.Duration `arg:"--within" help:"end of the drain from now, otherwise that of the service"`
		Wait     bool          `arg:"--wait" help:"return once the upstream has drained"`
		VMs      []string      `arg:"--vm,env:OLEANDERSPAR_VMS" help:"control addresses of VMs, for --wait"`
	}
)

func (s scope) writer() sparwrite.Writer {
	return sparwrite.Writer{Store: sparkv.New(s.Platform), Team: s.Team}
}

func (c *setCommand) run(ctx context.Context, out streams) (err error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return exit{Invalid, err}
	}
	d, err := sparconfig.ParseDocument(text)
	if err != nil {
		return exit{Invalid, errors.Annotate(err, c.File)}
	}
	revision, err := c.writer().Set(ctx, c.Service, d, c.Revision)
	return reportWrite(out, revision, err)
}

func (c *getCommand) run(ctx context.Context, out streams) (err error) {
	held, err := c.writer().Get(ctx, c.Service)
	if err != nil {
		return classify(err)
	}
	if held.Revision == 0 || held.Document.Removed {
		return exit{Invalid, errors.Errorf("no service %s/%s", c.Team, c.Service)}
	}
	fmt.Fprintf(out.stdout, "// revision %d\n%s", held.Revision, held.Document.Text())
	return nil
}

func (c *listCommand) run(ctx context.Context, out streams) (err error) {
	names, err := c.writer().List(ctx)
	if err != nil {
		return classify(err)
	}
	for _, name := range names {
		fmt.Fprintln(out.stdout, name)
	}
	return nil
}

func (c *removeCommand) run(ctx context.Context, out streams) (err error) {
	revision, err := c.writer().Remove(ctx, c.Service)
	return reportWrite(out, revision, err)
}

func (c *drainCommand) run(ctx context.Context, out streams) (err error) {
	if c.Wait && len(c.VMs) == 0 {
		return exit{Invalid, errors.New("--wait needs --vm or OLEANDERSPAR_VMS")}
	}
	if err := checkVMs(c.VMs); c.Wait && err != nil {
		return err
	}
	revision, err := c.writer().Drain(ctx, c.Service, c.Upstream, c.Within, time.Now())
	if err := reportWrite(out, revision, err); err != nil || !c.Wait {
		return err
	}
	name := c.Team + "/" + c.Service
	for !sparstatus.Read(ctx, c.VMs).Drained(name, c.Upstream, revision) {
		if !sparring.Pause(ctx, pollInterval) {
			return exit{Hold, ctx.Err()}
		}
	}
	fmt.Fprintf(out.stdout, "drained %s %s\n", name, c.Upstream)
	return nil
}

// reportWrite prints the revision of a write that was accepted, or else returns its error
// with an exit code.
func reportWrite(out streams, revision uint64, err error) error {
	if err != nil {
		return classify(err)
	}
	fmt.Fprintf(out.stdout, "accepted revision %d\n", revision)
	return nil
}

// classify returns an error of a sparwrite.Writer with its exit code.
func classify(err error) error {
	codes := []struct {
		cause error
		code  int
	}{
		{sparwrite.ErrInvalid, Invalid},
		{sparwrite.ErrMissing, Invalid},
		{sparwrite.ErrConflict, Conflict},
		{sparwrite.ErrForbidden, Forbidden},
		{sparwrite.ErrUnknown, Unknown},
		{sparwrite.ErrUnwritten, Unwritten},
	}
	for _, c := range codes {
		if errors.Is(err, c.cause) {
			return exit{c.code, errors.Errorf("%v: %v", c.cause, err)}
		}
	}
	return exit{Unwritten, err}
}
