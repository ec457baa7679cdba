package sparentry_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/route/sparadmit"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparentry"
)

// TestAdmissionLogLine checks the line of an overload. The log's own fields keep their names: one of the
// same name would be written as "fields.level".
func TestAdmissionLogLine(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(&out)
	fields := logrus.Fields{}
	sparentry.AddAdmissionState(fields, sparadmit.State{
		Refused: 0.25, Pending: 300, VMs: 12, Slots: 240, Queueing: 1.5, Response: 110 * time.Millisecond, Service: 31 * time.Millisecond,
	})
	log.WithFields(fields).Warn("overload began")
	line := out.String()
	for _, want := range []string{
		`"level":"warning"`, `"refused_share":"0.25"`, `"pending":"300.00"`, `"vms":12`, `"slots":240`,
		`"queueing":"1.50"`, `"response_ms":110`, `"service_ms":31`,
	} {
		if !strings.Contains(line, want) {
			t.Errorf("%s is missing in %s", want, line)
		}
	}
	if strings.Contains(line, "fields.") {
		t.Errorf("a field of %s clashes with one of the log", line)
	}
}
