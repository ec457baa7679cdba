// Package sparlaunch runs a VM of the cookie carrier as a process: its settings file,
// its signals and its log.
//
//	file, err := sparconfig.ReadFile(path)
//	err = sparlaunch.Run(ctx, path, file, logrus.InfoLevel, os.Stdout)
//
// SIGTERM and SIGINT end it once the fabric has left; SIGHUP reads the file again.
package sparlaunch

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/log/sparlog"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparentry"
	"github.com/oleanderspar/oleanderspar/platform"
)

const (
	// lookEvery is how often the settings file is checked for a change that no signal
	// has told.
	lookEvery = 2 * time.Second
	// heapGrowth is the share in percent that the heap may grow before it is collected.
	// A VM holds little and its memory is dearer than its processor time.
	heapGrowth = 30
)

// Run serves until a signal ends it. Lines of the log go to out.
func Run(ctx context.Context, path string, file sparconfig.File, level logrus.Level, out io.Writer) (err error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // first and for good: unhandled, it would end the process
	debug.SetGCPercent(heapGrowth)
	pipe := sparlog.NewPipe(out)
	defer pipe.Close()
	log := sparlog.New(pipe, file.Log, level, sparlog.FlowBurst)
	vm, err := sparentry.New(file, platform.NewStore(file.Platform), log)
	if err != nil {
		return err
	}
	ctx, _, cancel := UntilSignal(ctx)
	defer cancel()
	return vm.Run(ctx, reloads(ctx, path, hangups, log))
}

// UntilSignal returns a context that ends at the first SIGTERM or SIGINT, and a channel
// that gets the second.
func UntilSignal(parent context.Context) (ctx context.Context, abort <-chan os.Signal, cancel func()) {
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

// reloads returns the settings file anew after each hang-up and each change. One that
// cannot be used is logged and left aside.
func reloads(ctx context.Context, path string, hangups <-chan os.Signal, log *logrus.Logger) <-chan sparconfig.File {
	files := make(chan sparconfig.File)
	go func() {
		look := time.NewTicker(lookEvery)
		defer look.Stop()
		seen := changed(path, time.Time{}, log)
		for {
			select {
			case <-hangups:
			case <-look.C:
				if now := changed(path, seen, log); !now.Equal(seen) {
					seen = now
					break
				}
				continue
			case <-ctx.Done():
				return
			}
			file, err := sparconfig.ReadFile(path)
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

// changed returns when the file was last written, or before where that is not to be
// learnt.
func changed(path string, before time.Time, log *logrus.Logger) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		log.WithError(err).Warn("settings file not found, the settings read stay")
		return before
	}
	return info.ModTime()
}
