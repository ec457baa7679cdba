package sparring_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

// ExampleQuery queries a value from the goroutine that owns a map.
func ExampleQuery() {
	q := sparring.NewQueries[map[string]int](1)
	go func() { (<-q.Out())(map[string]int{"a": 7}) }()
	fmt.Println(sparring.Query(context.Background(), q, func(m map[string]int) int { return m["a"] }))
	// Output: 7 <nil>
}

func TestQueryReturnsWhenContextIsDone(t *testing.T) {
	q := sparring.NewQueries[int](1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	identity := func(n int) int { return n }
	if _, err := sparring.Query(ctx, q, identity); err == nil {
		t.Error("no error, but no goroutine has replied")
	}
	if _, err := sparring.Query(t.Context(), q, identity); err == nil || q.Refused() != 1 {
		t.Errorf("error %v, %d refused, want the second query to be refused", err, q.Refused())
	}
}
