// Package sparmetrics provides the metrics of a process in the text format of Prometheus:
//
//	m := sparmetrics.New()
//	defer m.Close()
//	m.Scope.Counter("openings").Inc(1)
//	mux.Handle(sparmetrics.Path, m.Handler)
package sparmetrics

import (
	"io"
	"net/http"
	"time"

	collectors "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// Path is the HTTP path of the metrics.
	Path = "/metrics"
	// PublishEvery is how often the text is updated from the counters.
	PublishEvery = time.Second
)

// Set is the metrics of one process. Use New.
type Set struct {
	Scope   tally.Scope
	Handler http.Handler

	closer io.Closer
}

// New returns an empty set.
func New() *Set {
	registry := collectors.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "oleanderspar", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, PublishEvery)
	return &Set{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops publishing.
func (s *Set) Close() error { return s.closer.Close() }
