package sparprocess_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparsite"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
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
			return writeConfigurations(e.WorkDir)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"code":  assertCode,
			"until": runUntil,
		},
	})
}

// writeConfigurations writes documents of the users' platform, whose format only its package knows:
// config-3.json, config-4.json with one more route, and doubtful.json, whose first route never matches.
func writeConfigurations(dir string) error {
	front, back := sparflow.MakeEndpoint(0xc6120001, 443), sparflow.MakeEndpoint(0xc6120001, 444)
	first, second := sparfake.Route{At: front, Service: "booking", Name: "a"}, sparfake.Route{At: back, Service: "booking", Name: "b"}
	again := sparfake.Route{At: front, Service: "receipts", Name: "c"}
	for name, d := range map[string]sparfake.Document{
		"config-3.json": {Version: 3, Routes: []sparfake.Route{first}},
		"config-4.json": {Version: 4, Routes: []sparfake.Route{first, second}},
		"doubtful.json": {Version: 5, Routes: []sparfake.Route{first, again}},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), d.Text(), 0o644); err != nil {
			return err
		}
	}
	return nil
}
