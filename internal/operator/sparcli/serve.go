package sparcli

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/log/sparlog"
	"github.com/oleanderspar/oleanderspar/internal/operator/spardemo"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparlaunch"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparserver"
)

type (
	serveCommand struct {
		File string `arg:"positional,required" help:"settings file of this VM"`
		Log  string `arg:"--log" default:"info" help:"debug, info, warning or error"`
	}

	demoCommand struct {
		Flows int    `arg:"--flows" default:"240" help:"flows to hold open, 1 to 10000"`
		Seed  uint64 `arg:"--seed" default:"1" help:"seed of the fabric"`
	}
)

func (c *serveCommand) run(ctx context.Context, out streams) (err error) {
	file, err := sparconfig.ReadFile(c.File)
	if err != nil {
		return exit{Invalid, err}
	}
	level, err := logrus.ParseLevel(c.Log)
	if err != nil {
		return exit{Invalid, errors.Annotate(err, "--log")}
	}
	switch file.CarrierSettings().(type) {
	case sparconfig.CookieCarrier:
		return sparlaunch.Run(ctx, c.File, file, level, out.stdout)
	case sparconfig.GeneveCarrier:
		return serveGeneve(ctx, file, level, out)
	}
	return nil
}

func serveGeneve(ctx context.Context, file sparconfig.File, level logrus.Level, out streams) (err error) {
	server, err := sparserver.New(file, sparlog.New(out.stderr, file.Log, level, sparlog.Burst))
	if err != nil {
		return err
	}
	ctx, abort, cancel := sparlaunch.UntilSignal(ctx)
	defer cancel()
	return server.Run(ctx, abort)
}

func (c *demoCommand) run(ctx context.Context, out streams) (err error) {
	if c.Flows < 1 || c.Flows > 10000 {
		return exit{Invalid, errors.Errorf("--flows: %d, expected 1 to 10000", c.Flows)}
	}
	return spardemo.Run(ctx, out.stdout, spardemo.Config{Flows: c.Flows, Seed: c.Seed})
}
