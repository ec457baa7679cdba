package sparcli

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/log/sparlog"
	"github.com/oleanderspar/oleanderspar/internal/operator/spardemo"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparentry"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparserver"
	"github.com/oleanderspar/oleanderspar/platform"
)

type (
	serveCommand struct {
		File string `arg:"positional,required" help:"settings file of this VM"`
		Log  string `arg:"--log" default:"info" help:"debug, info, warning or error"`
	}

	checkCommand struct {
		File string `arg:"positional,required" help:"settings file or service document"`
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
	if file.Carrier == sparconfig.Cookie {
		return c.serveCookie(ctx, out, file, level)
	}
	server, err := sparserver.New(file, sparlog.New(out.stderr, file.Log, level, sparlog.Burst))
	if err != nil {
		return err
	}
	ctx, abort, cancel := untilSignal(ctx)
	defer cancel()
	return server.Run(ctx, abort)
}

// serveCookie runs a VM of the cookie carrier. Its log goes to stdout.
func (c *serveCommand) serveCookie(ctx context.Context, out streams, file sparconfig.File, level logrus.Level) (err error) {
	pipe := sparlog.NewPipe(out.stdout)
	defer pipe.Close()
	log := sparlog.New(pipe, file.Log, level, sparlog.FlowBurst)
	vm, err := sparentry.New(file, platform.NewStore(file.Platform), log)
	if err != nil {
		return err
	}
	ctx, _, cancel := untilSignal(ctx)
	defer cancel()
	return vm.Run(ctx, c.reloads(ctx, log))
}

// reloads returns the settings file anew after each SIGHUP and each change. One that
// cannot be used is logged and left aside.
func (c *serveCommand) reloads(ctx context.Context, log *logrus.Logger) <-chan sparconfig.File {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	files := make(chan sparconfig.File)
	go func() {
		defer signal.Stop(hangups)
		for {
			select {
			case <-hangups:
			case <-ctx.Done():
				return
			}
			file, err := sparconfig.ReadFile(c.File)
			if err != nil {
				log.WithError(err).Error("reload refused, the settings before it stay")
				continue
			}
			select {
			case files <- file:
			case <-ctx.Done():
				return
			}
		}
	}()
	return files
}

// untilSignal returns a context that ends at the first SIGTERM or SIGINT, and a channel
// that gets the second.
func untilSignal(parent context.Context) (ctx context.Context, abort <-chan os.Signal, cancel func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel = context.WithCancel(parent)
	again := make(chan os.Signal, 1)
	go func() {
		<-signals
		cancel()
		again <- <-signals
	}()
	return ctx, again, cancel
}

func (c *checkCommand) run(_ context.Context, out streams) (err error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return exit{Invalid, err}
	}
	what, err := checkText(text)
	if err != nil {
		return exit{Invalid, errors.Annotate(err, c.File)}
	}
	fmt.Fprintf(out.stdout, "ok %s %s\n", what, c.File)
	return nil
}

// checkText tells a settings file from a service document by its fields.
func checkText(text []byte) (what string, err error) {
	if bytes.Contains(text, []byte(`"platform"`)) {
		_, err = sparconfig.ParseFile(text)
		return "settings", err
	}
	_, err = sparconfig.ParseDocument(text)
	return "service", err
}

func (c *demoCommand) run(ctx context.Context, out streams) (err error) {
	if c.Flows < 1 || c.Flows > 10000 {
		return exit{Invalid, errors.Errorf("--flows: %d, expected 1 to 10000", c.Flows)}
	}
	return spardemo.Run(ctx, out.stdout, spardemo.Config{Flows: c.Flows, Seed: c.Seed})
}
