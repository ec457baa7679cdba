package sparexplain_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparexplain"
)

const (
	first = `{"vm":"vm-1","time":"2026-09-18T09:22:38.218Z","msg":"opening","flow":"100.64.0.12:1025>198.18.0.1:443","cause":"placed","upstream":"a573","level":"info"}
not a line of a VM
{"vm":"vm-1","time":"2026-09-18T09:22:39.000Z","msg":"opening","flow":"100.64.0.13:1025>198.18.0.1:443","cause":"placed","upstream":"a573"}
{"vm":"vm-1","time":"2026-09-18T09:22:41.500Z","msg":"upstream failing","upstream":"a573","silent_ms":535}
{"vm":"vm-1","time":"2026-09-18T09:22:41.600Z","msg":"upstream failing","upstream":"beef","silent_ms":1}
{"vm":"vm-1","time":"2026-09-18T09:30:00.000Z","msg":"upstream left","upstream":"a573"}
`
	second = `{"vm":"vm-2","time":"2026-09-18T09:22:42.000Z","msg":"flow refused","flow":"100.64.0.12:1025>198.18.0.1:443","do":"reset","cause":"upstream-mute","upstream":"a573"}
{"vm":"vm-2","time":"2026-09-18T09:22:40.000Z","msg":"dependency lost","dependency":"platform"}
{"vm":"vm-3","time":"2026-09-18T09:22:40.000Z","msg":"dependency lost","dependency":"platform"}
`
)

// ExampleRead traces a flow that passed through two VMs and was then reset.
func ExampleRead() {
	trace, err := sparexplain.Read([]io.Reader{strings.NewReader(second), strings.NewReader(first)}, "100.64.0.12:1025")
	for _, line := range trace {
		fmt.Println(line)
	}
	fmt.Println(err)
	// Output:
	// 09:22:38.218 vm-1 opening: flow=100.64.0.12:1025>198.18.0.1:443 cause=placed upstream=a573
	// 09:22:40.000 vm-2 dependency lost: dependency=platform
	// 09:22:41.500 vm-1 upstream failing: upstream=a573 silent_ms=535
	// 09:22:42.000 vm-2 flow refused: flow=100.64.0.12:1025>198.18.0.1:443 do=reset cause=upstream-mute upstream=a573
	// <nil>
}

func TestUnknownFlow(t *testing.T) {
	if _, err := sparexplain.Read([]io.Reader{strings.NewReader(first)}, "100.64.0.99:1"); !errors.Is(err, sparexplain.ErrNoLine) {
		t.Errorf("error %v", err)
	}
}
