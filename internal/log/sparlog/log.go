// Package sparlog creates the structured log of a process.
//
// It limits repeated lines: at most burst lines with the same message are written a second.
// One line then reports how many were left out:
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
	// Burst is the number of lines with the same message written within a second.
	Burst = 5
	// FlowBurst is the same limit for logs with lines for each flow. It covers the new flows of a
	// VM in the largest deployment and their resets.
	FlowBurst = 100

	maxMessages = 1024
)

// limiter is a formatter that leaves out repeated messages.
type limiter struct {
	next  logrus.Formatter
	burst int

	mu     sync.Mutex
	second int64
	counts map[string]int
}

// New returns a log that writes to w in the format "text" or "json", with at most burst
// lines a second for each message.
func New(w io.Writer, form string, level logrus.Level, burst int) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	var formatter logrus.Formatter = &logrus.TextFormatter{DisableColors: true, FullTimestamp: true}
	if form == "json" {
		formatter = &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}
	}
	log.SetFormatter(&limiter{next: formatter, burst: burst, counts: map[string]int{}})
	return log
}

// Format implements logrus.Formatter. For a line that is left out it returns no bytes, or
// only the summary of the second before.
func (l *limiter) Format(e *logrus.Entry) (line []byte, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := e.Time.Unix(); second != l.second || len(l.counts) > maxMessages {
		line, err = l.summary(e)
		if err != nil {
			return nil, err
		}
		l.second = second
		clear(l.counts)
	}
	l.counts[e.Message]++
	if l.counts[e.Message] > l.burst {
		return line, nil
	}
	formatted, err := l.next.Format(e)
	return append(line, formatted...), err
}

func (l *limiter) summary(e *logrus.Entry) (line []byte, err error) {
	dropped := 0
	for _, n := range l.counts {
		dropped += max(0, n-l.burst)
	}
	if dropped == 0 {
		return nil, nil
	}
	warning := logrus.NewEntry(e.Logger).WithField("left", dropped)
	warning.Time, warning.Level, warning.Message = e.Time, logrus.WarnLevel, "repeated lines left out"
	return l.next.Format(warning)
}
