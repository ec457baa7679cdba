// Package sparcli is the command line of the product.
//
// Each command is a plain struct of its arguments with a run method. Exit codes
// tell a script what happened, without reading text:
//
//	code := sparcli.Main(ctx, []string{"check", "service.json"}, os.Stdout, os.Stderr)
//	if code == sparcli.Invalid {
//		// the error on stderr names what was expected
//	}
package sparcli

import (
	"context"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

const (
	// Done is the exit code of success, or of a status that says go on.
	Done = 0
	// Failed is the exit code of an error without a code of its own.
	Failed = 1
	// Invalid is the exit code of bad arguments or a bad document.
	Invalid = 2
	// Conflict is the exit code of a write that another writer came before.
	Conflict = 3
	// Unwritten is the exit code of a write that never reached the platform.
	Unwritten = 4
	// Unknown is the exit code of a write whose outcome could not be read back.
	Unknown = 5
	// Forbidden is the exit code of a write to what another team or service holds.
	Forbidden = 6
	// Hold is the exit code of a status that says wait.
	Hold = 10
	// Retry is the exit code of a status that says ask again.
	Retry = 11
	// Call is the exit code of a status that says call someone.
	Call = 12
)

type (
	// arguments are those of the whole program.
	arguments struct {
		Serve    *serveCommand    `arg:"subcommand:serve" help:"run one entry VM"`
		Check    *checkCommand    `arg:"subcommand:check" help:"check a settings file or service document"`
		Demo     *demoCommand     `arg:"subcommand:demo" help:"show a small deployment on this machine"`
		Set      *setCommand      `arg:"subcommand:set" help:"write a service document"`
		Get      *getCommand      `arg:"subcommand:get" help:"print a service document"`
		List     *listCommand     `arg:"subcommand:list" help:"list the services of a team"`
		Remove   *removeCommand   `arg:"subcommand:rm" help:"remove a service"`
		Drain    *drainCommand    `arg:"subcommand:drain" help:"drain an upstream"`
		Status   *statusCommand   `arg:"subcommand:status" help:"say what is true now, one fact a line"`
		Timeline *timelineCommand `arg:"subcommand:timeline" help:"print the events of all VMs in order"`
		Explain  *explainCommand  `arg:"subcommand:explain" help:"join the log lines of all VMs that explain a flow"`
	}

	// command is one subcommand.
	command interface {
		run(ctx context.Context, out streams) error
	}

	// streams are where a command writes.
	streams struct {
		stdout, stderr io.Writer
	}

	// exit is an error with an exit code.
	exit struct {
		code int
		err  error
	}
)

// Error returns the text of the error.
func (e exit) Error() string { return e.err.Error() }

// Unwrap returns the error.
func (e exit) Unwrap() error { return e.err }

// Description is the head of the help text.
func (arguments) Description() string {
	return "oleanderspar is a layer-4 load balancer.\n"
}

// Main runs the program and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "oleanderspar", Out: stdout}, &a)
	if err != nil {
		panic(err) // the argument structs are wrong
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return Done
	case err != nil:
		fmt.Fprintf(stderr, "oleanderspar: %v\n", err)
		return Invalid
	}
	c, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(stderr)
		return Invalid
	}
	return report(c.run(ctx, streams{stdout: stdout, stderr: stderr}), stderr)
}

// report prints an error as one line and returns the exit code for it.
func report(err error, stderr io.Writer) int {
	if err == nil {
		return Done
	}
	var e exit
	code := Failed
	if errors.As(err, &e) {
		code = e.code
	}
	if e.err != errQuiet {
		fmt.Fprintf(stderr, "oleanderspar: %v\n", err)
	}
	return code
}

// errQuiet is the cause of an exit that has said everything on stdout.
const errQuiet = errors.ConstError("said on stdout")
