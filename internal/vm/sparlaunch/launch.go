// Package sparlaunch runs a VM of the cookie carrier as a process. It sets up the log,
// handles signals and reloads the settings file.
//
//	file, err := sparconfig.ReadFile(path)
//	err = sparlaunch.Run(ctx, path, file, logrus.InfoLevel, os.Stdout)
//
// After SIGTERM or SIGINT, Run returns once the fabric sends nothing more to the VM. SIGHUP
// reloads the settings file.
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
	// pollEvery is how often the settings file is checked for a change without SIGHUP.
	pollEvery = 2 * time.Second
	// heapGrowth is how much the heap may grow before it is collected, in percent. It is low
	// because a VM has little live data and its memory costs more than its CPU time.
	heapGrowth = 30
)

// Run serves until ctx ends or a signal stops the VM. It writes the log to out.
func Run(ctx context.Context, path string, file sparconfig.File, level logrus.Level, out io.Writer) (err error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else and never stopped: an unhandled SIGHUP ends the process
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
// that receives the second.
func UntilSignal(parent context.Context) (ctx context.Context, abort <-chan os.Signal, cancel func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel = context.WithCancel(parent)
	second := make(chan os.Signal, 1)
	go func() {
		<-signals
		cancel()
		second <- <-signals
	}()
	return ctx, second, cancel
}

// reloads returns a channel that receives the settings file after each SIGHUP and each
// change. It logs and skips an invalid file.
func reloads(ctx context.Context, path string, hangups <-chan os.Signal, log *logrus.Logger) <-chan sparconfig.File {
	files := make(chan sparconfig.File)
	go func() {
		poll := time.NewTicker(pollEvery)
		defer poll.Stop()
		last := modTime(path, time.Time{}, log)
		for {
			select {
			case <-hangups:
			case <-poll.C:
				if now := modTime(path, last, log); !now.Equal(last) {
					last = now
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

// modTime returns the modification time of the file, or before if that is unknown.
func modTime(path string, before time.Time, log *logrus.Logger) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		log.WithError(err).Warn("settings file not found, the settings read stay")
		return before
	}
	return info.ModTime()
}
