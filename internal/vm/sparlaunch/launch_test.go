package sparlaunch_test

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparport"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparlaunch"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const timeout = 10 * time.Second

// logLines receives each line of a log.
type logLines chan string

func (l logLines) Write(b []byte) (n int, err error) {
	l <- string(b)
	return len(b), nil
}

// await waits for a line with a message and fails the test after timeout.
func (l logLines) await(t *testing.T, message string) {
	t.Helper()
	end := time.After(timeout)
	for {
		select {
		case line := <-l:
			if strings.Contains(line, `"msg":"`+message+`"`) {
				return
			}
		case <-end:
			t.Fatalf("no line %q", message)
		}
	}
}

func addr(t *testing.T) string {
	t.Helper()
	at, err := sparport.Free()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// TestSIGHUPWhileLeaving sends SIGHUP while the VM serves and again after SIGTERM. SIGHUP
// must not end the process while the fabric still sends to the VM. The settings have figures with
// fractions, with which a VM must start.
func TestSIGHUPWhileLeaving(t *testing.T) {
	store := httptest.NewServer(sparfake.NewStore())
	t.Cleanup(store.CloseClientConnections)
	path := filepath.Join(t.TempDir(), "vm.json")
	text := fmt.Sprintf(`{"carrier": "cookie", "name": "vm-1", "domain": "north", "log": "json", "grace": 2.5, "force": 2999.5, "beat": 1200.5,
		"data": %q, "control": %q, "ready": %q, "platform": %q}`,
		addr(t), addr(t), addr(t), strings.TrimPrefix(store.URL, "http://"))
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	file, err := sparconfig.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	log, done := make(logLines, 1000), make(chan error, 1)
	go func() { done <- sparlaunch.Run(t.Context(), path, file, logrus.InfoLevel, log) }()
	log.await(t, "ready")
	signal := func(s syscall.Signal) {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGHUP)
	log.await(t, "reload")
	signal(syscall.SIGTERM)
	log.await(t, "leaving")
	time.Sleep(100 * time.Millisecond)
	signal(syscall.SIGHUP)
	log.await(t, "stop")
	if err := <-done; err != nil {
		t.Error(err)
	}
}
