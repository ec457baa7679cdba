package sparring_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

// ExampleAsk asks the thread that owns a map for a value.
func ExampleAsk() {
	q := sparring.NewQuestions[map[string]int](1)
	go func() { (<-q.Out())(map[string]int{"a": 7}) }()
	fmt.Println(sparring.Ask(context.Background(), q, func(m map[string]int) int { return m["a"] }))
	// Output: 7 <nil>
}

func TestAskEndsWithItsContext(t *testing.T) {
	q := sparring.NewQuestions[int](1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	same := func(n int) int { return n }
	if _, err := sparring.Ask(ctx, q, same); err == nil {
		t.Error("an answer that nobody gave")
	}
	if _, err := sparring.Ask(t.Context(), q, same); err == nil || q.Refused() != 1 {
		t.Errorf("error %v, %d refused, want the second question to find no room", err, q.Refused())
	}
}
