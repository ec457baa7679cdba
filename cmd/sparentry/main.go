// Command sparentry runs one entry VM of the cookie carrier. It does what "oleanderspar
// serve" does for that carrier, without the other carrier and the operator commands, which
// would cost each VM 6 MB of memory.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparlaunch"
)

// Exit codes, the same as those of oleanderspar.
const (
	failed  = 1
	invalid = 2
)

type arguments struct {
	File string `arg:"positional,required" help:"settings file of this VM"`
	Log  string `arg:"--log" default:"info" help:"debug, info, warning or error"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	level, err := logrus.ParseLevel(a.Log)
	if err != nil {
		exit(invalid, errors.Annotate(err, "--log"))
	}
	file, err := sparconfig.ReadFile(a.File)
	if err != nil {
		exit(invalid, err)
	}
	if _, ok := file.CarrierSettings().(sparconfig.CookieCarrier); !ok {
		exit(invalid, errors.Errorf("%s: carrier %s, expected %s", a.File, file.Carrier, sparconfig.Cookie))
	}
	if err := sparlaunch.Run(context.Background(), a.File, file, level, os.Stdout); err != nil {
		exit(failed, err)
	}
}

func exit(code int, err error) {
	fmt.Fprintf(os.Stderr, "sparentry: %v\n", err)
	os.Exit(code)
}
