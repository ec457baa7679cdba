package sparcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/operator/sparevents"
	"github.com/oleanderspar/oleanderspar/internal/operator/sparexplain"
	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
)

type (
	statusCommand struct {
		VMs []string `arg:"--vm,env:OLEANDERSPAR_VMS,required" help:"control addresses of some VMs"`
	}

	timelineCommand struct {
		VMs     []string      `arg:"--vm,env:OLEANDERSPAR_VMS,required" help:"control addresses of some VMs"`
		Service string        `arg:"--service" help:"only events of team/service and of VMs"`
		Since   time.Duration `arg:"--since" default:"1h" help:"how far back"`
		JSON    bool          `arg:"--json" help:"one JSON object a line"`
	}

	explainCommand struct {
		Flow string   `arg:"positional,required" help:"an end of the flow, a.b.c.d:port, or both as a log has them"`
		Logs []string `arg:"positional,required" help:"log files of VMs"`
	}

	// jsonEvent is the JSON form of an event.
	jsonEvent struct {
		At      string `json:"at"`
		VM      string `json:"vm"`
		Kind    string `json:"kind"`
		Service string `json:"service,omitempty"`
		Subject string `json:"subject,omitempty"`
		Count   int    `json:"count,omitempty"`
	}
)

func (c *statusCommand) run(ctx context.Context, out streams) (err error) {
	if err := checkVMs(c.VMs); err != nil {
		return err
	}
	report := sparstatus.Read(ctx, c.VMs)
	fmt.Fprint(out.stdout, report.Text())
	code := [...]int{sparstatus.OK: Done, sparstatus.Hold: Hold, sparstatus.Retry: Retry, sparstatus.Call: Call}[report.Word()]
	if code == Done {
		return nil
	}
	return exit{code, errQuiet}
}

func (c *timelineCommand) run(ctx context.Context, out streams) (err error) {
	if err := checkVMs(c.VMs); err != nil {
		return err
	}
	since := time.Now().Add(-c.Since)
	t := sparevents.Read(ctx, c.VMs, since, c.Service)
	if len(t.Answered) == 0 {
		return exit{Retry, errors.New("no VM answered")}
	}
	for _, e := range t.Events {
		fmt.Fprintln(out.stdout, formatEvent(e, c.JSON))
	}
	for _, name := range t.Silent {
		fmt.Fprintf(out.stderr, "missing %s, it did not answer\n", name)
	}
	return nil
}

func (c *explainCommand) run(_ context.Context, out streams) (err error) {
	var logs []io.Reader
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return exit{Invalid, err}
		}
		defer func() { _ = f.Close() }() // opened only to read, so no write can fail
		logs = append(logs, f)
	}
	trace, err := sparexplain.Read(logs, c.Flow)
	if err != nil {
		return err
	}
	for _, line := range trace {
		fmt.Fprintln(out.stdout, line)
	}
	return nil
}

// checkVMs returns an error unless all control addresses have a port. Without one a command would find
// that no VM answers, and a script would ask again for ever.
func checkVMs(controls []string) error {
	for _, control := range controls {
		if _, port, err := net.SplitHostPort(control); err != nil || port == "" {
			return exit{Invalid, errors.Errorf("--vm or OLEANDERSPAR_VMS: %q, expected an address and port such as 10.0.0.1:7081", control)}
		}
	}
	return nil
}

func formatEvent(e spartimeline.Event, asJSON bool) string {
	if asJSON {
		text, err := json.Marshal(jsonEvent{
			At: e.At.String(), VM: e.VM, Kind: e.Kind, Service: e.Service, Subject: e.Subject, Count: e.Count,
		})
		if err != nil {
			panic(err) // strings and a number always encode
		}
		return string(text)
	}
	fields := []string{e.At.String(), e.VM, e.Kind, e.Service, e.Subject}
	if e.Count != 0 {
		fields = append(fields, fmt.Sprint(e.Count))
	}
	return strings.Join(strings.Fields(strings.Join(fields, " ")), " ")
}
