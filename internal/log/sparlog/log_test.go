package sparlog_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/log/sparlog"
)

func TestRepeatedLinesAreLimited(t *testing.T) {
	var b bytes.Buffer
	log := sparlog.New(&b, "json", logrus.InfoLevel, sparlog.Burst)
	for range 100_000 {
		log.Info("again")
	}
	// The loop may span several seconds, each with a burst of its own.
	if n := strings.Count(b.String(), `"msg":"again"`); n == 0 || n > 60*sparlog.Burst {
		t.Errorf("%d lines written", n)
	}
}
