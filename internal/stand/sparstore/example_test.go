package sparstore_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/oleanderspar/oleanderspar/internal/stand/sparstore"
)

// A write that expects a revision takes effect only while the key is at that revision.
func ExampleStore_ServeHTTP() {
	s := sparstore.New()
	revision := s.Put("team/kalkkirinne/name", []byte("old"))
	swap := func(revision uint64) string {
		w := httptest.NewRecorder()
		path := fmt.Sprint("/v1/kv/team/kalkkirinne/name?cas=", revision)
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPut, path, strings.NewReader("new")))
		return w.Body.String()
	}
	fmt.Println(swap(revision))
	fmt.Println(swap(revision)) // the first write has changed it
	// Output:
	// true
	// false
}
