// Package sparlog makes the structured log of a process.
//
// Lines that repeat are limited: of equal messages at most a burst a second are
// written, then one line says how many were left out:
//
//	log := sparlog.New(os.Stderr, "json", logrus.InfoLevel, sparlog.Burst)
//	log.WithField("vm", "vm-1").Info("serving")
package sparlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// Burst is the number of equal messages written within a second.
	Burst = 5
	// FlowBurst is the same where each flow has lines of its own: as many openings
	// as a VM of the largest deployment takes, and room for their resets.
	FlowBurst = 100

	maxMessages = 1024
)

// limiter is a formatter that leaves repeated messages out.
type limiter struct {
	next  logrus.Formatter
	burst int

	mu     sync.Mutex
	second int64
	seen   map[string]int
}

// New returns a log to w in the form "text" or "json", with at most burst equal
// messages a second.
func New(w io.Writer, form string, level logrus.Level, burst int) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	var formatter logrus.Formatter = &logrus.TextFormatter{DisableColors: true, FullTimestamp: true}
	if form == "json" {
		formatter = &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}
	}
	log.SetFormatter(&limiter{next: formatter, burst: burst, seen: map[string]int{}})
	return log
}

// Format implements logrus.Formatter. It returns no bytes for a line left out.
func (l *limiter) Format(e *logrus.Entry) (line []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := e.Time.Unix(); second != l.second || len(l.seen) > maxMessages {
		line, err = l.summary(e)
		if err != nil {
			return nil, err
		}
		l.second = second
		clear(l.seen)
	}
	l.seen[e.Message]++
	if l.seen[e.Message] > l.burst {
		return line, nil
	}
	formatted, err := l.next.Format(e)
	return append(line, formatted...), err
}

func (l *limiter) summary(e *logrus.Entry) (line []byte, err error) {
	left := 0
	for _, n := range l.seen {
		left += max(0, n-l.burst)
	}
	if left == 0 {
		return nil, nil
	}
	note := logrus.NewEntry(e.Logger).WithField("left", left)
	note.Time, note.Level, note.Message = e.Time, logrus.WarnLevel, "repeated lines left out"
	return l.next.Format(note)
}
