package sparserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/log/sparmetrics"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// surveyWait bounds a round of facts, so that status answers within a second.
	surveyWait = 600 * time.Millisecond
	readWait   = 5 * time.Second
)

type (
	// ask is a question for the deciding thread.
	ask interface {
		answer(s *Server)
	}

	// question is an ask with a reply of type T.
	question[T any] struct {
		query func(s *Server) T
		reply chan T
	}

	// handler serves the twirp service Control.
	handler struct {
		server *Server
	}
)

func (q question[T]) answer(s *Server) { q.reply <- q.query(s) }

// consult puts a question to the deciding thread and waits for the reply.
func consult[T any](ctx context.Context, s *Server, query func(s *Server) T) (reply T, err error) {
	q := question[T]{query: query, reply: make(chan T, 1)}
	if !s.asks.Put(q) {
		return reply, errors.New("too many questions at once")
	}
	select {
	case reply = <-q.reply:
		return reply, nil
	case <-ctx.Done():
		return reply, errors.Trace(ctx.Err())
	}
}

// serveHTTP is the thread that answers VMs, operators and metric collectors.
func (s *Server) serveHTTP(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(sparcontrol.ControlPathPrefix, sparcontrol.NewControlServer(handler{server: s}))
	mux.Handle(sparmetrics.Path, s.metrics.http)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readWait}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	err := server.Serve(s.web)
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return nil
	}
	return err
}

// Pull implements Control.
func (h handler) Pull(ctx context.Context, r *sparcontrol.PullRequest) (*sparcontrol.PullReply, error) {
	return consult(ctx, h.server, func(s *Server) *sparcontrol.PullReply {
		registry := s.node.Registry()
		return &sparcontrol.PullReply{
			Entries:  sparcontrol.FromEntries(registry.After(r.After)),
			Revision: registry.Revision(), Synced: registry.Synced(),
		}
	})
}

// Facts implements Control. The reply carries the id of its request.
func (h handler) Facts(ctx context.Context, r *sparcontrol.FactsRequest) (*sparcontrol.FactsReply, error) {
	return consult(ctx, h.server, func(s *Server) *sparcontrol.FactsReply {
		facts := s.node.Facts()
		facts.Id = r.Id
		facts.Platform = s.reached
		return facts
	})
}

// Survey implements Control.
func (h handler) Survey(ctx context.Context, r *sparcontrol.SurveyRequest) (reply *sparcontrol.SurveyReply, err error) {
	own, err := h.Facts(ctx, &sparcontrol.FactsRequest{Id: r.Id})
	if err != nil {
		return nil, err
	}
	targets, err := consult(ctx, h.server, func(s *Server) []sparconfig.VM { return s.node.Expected() })
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, surveyWait)
	defer cancel()
	reply = &sparcontrol.SurveyReply{Id: r.Id, Answered: []*sparcontrol.FactsReply{own}}
	var mu sync.Mutex
	var wg conc.WaitGroup
	for _, vm := range targets {
		wg.Go(func() {
			facts, err := h.server.client(vm.Control).Facts(ctx, &sparcontrol.FactsRequest{Id: r.Id})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || facts.Id != r.Id || facts.GetVm().GetName() != vm.Name {
				reply.Silent = append(reply.Silent, vm.Name)
				return
			}
			reply.Answered = append(reply.Answered, facts)
		})
	}
	wg.Wait()
	return reply, nil
}

// Events implements Control.
func (h handler) Events(ctx context.Context, r *sparcontrol.EventsRequest) (*sparcontrol.EventsReply, error) {
	return consult(ctx, h.server, func(s *Server) *sparcontrol.EventsReply {
		reply := &sparcontrol.EventsReply{Id: r.Id, Vm: s.file.Name}
		for _, e := range s.node.Timeline.Since(spartimeline.Stamp(r.Since)) {
			if r.Service == "" || e.Service == "" || e.Service == r.Service {
				reply.Events = append(reply.Events, &sparcontrol.Event{
					At: uint64(e.At), Kind: e.Kind, Service: e.Service, Subject: e.Subject, Count: int64(e.Count),
				})
			}
		}
		for _, vm := range s.node.Expected() {
			reply.Vms = append(reply.Vms, sparcontrol.FromVM(vm))
		}
		return reply
	})
}
