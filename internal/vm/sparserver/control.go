package sparserver

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/log/sparmetrics"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

// headerTimeout is how long the head of a request may take, so that a client that sends none holds no
// connection.
const headerTimeout = 5 * time.Second

// handler serves the twirp service Control.
type handler struct {
	server *Server
}

// serveControl serves requests of VMs, operators and metrics collectors.
func (s *Server) serveControl(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(sparcontrol.ControlPathPrefix, sparcontrol.NewControlServer(handler{server: s}))
	mux.Handle(sparmetrics.Path, s.metrics.http)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	err := server.Serve(s.controlTCP)
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return nil
	}
	return err
}

// Pull implements Control.
func (h handler) Pull(ctx context.Context, r *sparcontrol.PullRequest) (*sparcontrol.PullReply, error) {
	delta, err := sparring.Query(ctx, h.server.queries, func(s *Server) sparregistry.Delta {
		return s.node.Registry().Delta(sparregistry.Position{Era: r.Era, Revision: r.After})
	})
	if err != nil {
		return nil, err
	}
	return &sparcontrol.PullReply{Share: sparcontrol.EncodeDelta(delta), Synced: delta.Synced}, nil
}

// Facts implements Control. The reply has the ID of its request.
func (h handler) Facts(ctx context.Context, r *sparcontrol.FactsRequest) (*sparcontrol.FactsReply, error) {
	return sparring.Query(ctx, h.server.queries, func(s *Server) *sparcontrol.FactsReply {
		facts := s.node.Facts()
		facts.Id = r.Id
		facts.Platform = s.reachable
		return facts
	})
}

// Survey implements Control.
func (h handler) Survey(ctx context.Context, r *sparcontrol.SurveyRequest) (reply *sparcontrol.SurveyReply, err error) {
	own, err := h.Facts(ctx, &sparcontrol.FactsRequest{Id: r.Id})
	if err != nil {
		return nil, err
	}
	others, err := sparring.Query(ctx, h.server.queries, func(s *Server) []sparconfig.VM { return s.node.Expected() })
	if err != nil {
		return nil, err
	}
	return sparcontrol.QueryAll(ctx, own, others, h.server.metrics.countBytes(http.DefaultTransport)), nil
}

// Events implements Control.
func (h handler) Events(ctx context.Context, r *sparcontrol.EventsRequest) (*sparcontrol.EventsReply, error) {
	return sparring.Query(ctx, h.server.queries, func(s *Server) *sparcontrol.EventsReply {
		return sparcontrol.NewEventsReply(r, s.file.Name, s.node.Timeline.Since(spartimeline.Stamp(r.Since)), s.node.Expected())
	})
}
