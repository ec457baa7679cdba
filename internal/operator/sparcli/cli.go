// Package sparcli is the command line of oleanderspar.
//
// Each command is a struct of its arguments with a run method. The exit code tells a
// script the outcome, so that it need not parse text:
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
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

const (
	// Done is the exit code of success, including status ok.
	Done = 0
	// Failed is the exit code of an error without a code of its own.
	Failed = 1
	// Invalid is the exit code of invalid arguments or an invalid document.
	Invalid = 2
	// Conflict is the exit code of a write that another writer preceded.
	Conflict = 3
	// Unwritten is the exit code of a write that never reached the platform.
	Unwritten = 4
	// Unknown is the exit code of a write whose outcome could not be read back.
	Unknown = 5
	// Forbidden is the exit code of a write to an address that another team or service
	// has claimed.
	Forbidden = 6
	// Doubtful is the exit code of a document that can be used, but with entries that never match or
	// limits that contradict each other.
	Doubtful = 7
	// Hold is the exit code of status hold: wait, a change is in progress.
	Hold = 10
	// Retry is the exit code of status retry: query again, a fact could not be confirmed.
	Retry = 11
	// Call is the exit code of status call: an operator must act.
	Call = 12
)

type (
	// arguments are the subcommands of the program.
	arguments struct {
		Serve    *serveCommand    `arg:"subcommand:serve" help:"run one entry VM"`
		Check    *checkCommand    `arg:"subcommand:check" help:"check a document before it is sent"`
		Demo     *demoCommand     `arg:"subcommand:demo" help:"show a small deployment on this machine"`
		Set      *setCommand      `arg:"subcommand:set" help:"write a service document"`
		Get      *getCommand      `arg:"subcommand:get" help:"print a service document"`
		List     *listCommand     `arg:"subcommand:list" help:"list the services of a team"`
		Remove   *removeCommand   `arg:"subcommand:rm" help:"remove a service"`
		Drain    *drainCommand    `arg:"subcommand:drain" help:"drain an upstream"`
		Evacuate *evacuateCommand `arg:"subcommand:evacuate" help:"give the upstreams of a failure domain no new flows"`
		Status   *statusCommand   `arg:"subcommand:status" help:"say what is true now, one fact a line"`
		Timeline *timelineCommand `arg:"subcommand:timeline" help:"print the events of all VMs in order"`
		Explain  *explainCommand  `arg:"subcommand:explain" help:"join the log lines of all VMs that explain a flow"`
	}

	// command is one subcommand.
	command interface {
		run(ctx context.Context, out streams) error
	}

	// streams are the outputs of a command.
	streams struct {
		stdout, stderr io.Writer
	}

	// exit is an error with an exit code.
	exit struct {
		code int
		err  error
	}
)

// Error implements error.
func (e exit) Error() string { return e.err.Error() }

// Unwrap returns the error without its exit code.
func (e exit) Unwrap() error { return e.err }

// Description implements arg.Described. The help text begins with it.
func (arguments) Description() string {
	return "oleanderspar is a layer-4 load balancer.\n"
}

// Epilogue implements arg.Epilogued. The help text ends with it.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done or status ok, 1 failed, 2 invalid, 3 conflict, 4 not written, 5 outcome unknown,\n" +
		"6 forbidden, 7 check found warnings, 10 status hold, 11 status retry, 12 status call.\n" +
		"docs/OPERATORS.md says what to do at each."
}

// Main runs the program and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "oleanderspar", Out: stdout}, &a)
	if err != nil {
		panic(err) // the struct tags of the arguments are invalid
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return Done
	case err != nil:
		fmt.Fprintf(stderr, "oleanderspar: %v, see oleanderspar %s\n", err, strings.Join(append(parser.SubcommandNames(), "--help"), " "))
		return Invalid
	}
	c, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(stderr)
		return Invalid
	}
	return report(c.run(ctx, streams{stdout: stdout, stderr: stderr}), stderr)
}

// report prints an error as one line and returns its exit code.
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

// errQuiet is the error of an exit that needs no line on stderr, because stdout has the result.
const errQuiet = errors.ConstError("reported on stdout")
