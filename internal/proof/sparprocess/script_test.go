package sparprocess_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oleanderspar/oleanderspar/internal/stand/sparsite"
)

// TestScripts runs each command with valid and invalid input.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PLATFORM", sparsite.FreeAddress())
			e.Setenv("CONTROL", sparsite.FreeAddress())
			e.Setenv("DATA", sparsite.FreeAddress())
			e.Setenv("NOBODY", sparsite.FreeAddress())
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"code":  assertCode,
			"until": runUntil,
		},
	})
}
