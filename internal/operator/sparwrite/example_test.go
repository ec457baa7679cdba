package sparwrite_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparwrite"
	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparstore"
)

// A write that expects a revision fails if another writer has changed the document since.
func ExampleWriter_Set() {
	server := httptest.NewServer(sparstore.New())
	defer server.Close()
	w := sparwrite.Writer{Store: sparkv.New(strings.TrimPrefix(server.URL, "http://")), Team: "kalkkirinne"}
	ctx := context.Background()

	read, err := w.Set(ctx, "booking", document(1, 0.1), 0)
	fmt.Println("written:", err == nil)
	_, err = w.Set(ctx, "booking", document(1, 0.2), read) // the other writer
	fmt.Println("written:", err == nil)
	_, err = w.Set(ctx, "booking", document(1, 0.3), read)
	fmt.Println("conflict:", errors.Is(err, sparwrite.ErrConflict))
	// Output:
	// written: true
	// written: true
	// conflict: true
}
