package sparentry

import (
	"context"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

// surveyClient queries the state of other VMs. It has no timeout of its own; the context of
// the request limits it.
var surveyClient = &http.Client{}

// handler serves the twirp service Control.
type handler struct {
	vm *VM
}

// Pull implements Control.
func (h handler) Pull(ctx context.Context, r *sparcontrol.PullRequest) (*sparcontrol.PullReply, error) {
	p, ok := ctx.Value(permitKey{}).(*permit)
	if !ok {
		return nil, errors.New("pull request has no permit")
	}
	p.to, p.after = r.From.ToVM(), sparregistry.Position{Era: r.Era, Revision: r.After}
	d, err := sparring.Query(ctx, h.vm.queries, func(vm *VM) pullDecision { return vm.answerPull(p) })
	if err != nil {
		return nil, err
	}
	if d.reply.Synced && !d.reply.Busy && d.reply.Share == nil {
		d.reply.Share = sparcontrol.EncodeDelta(d.delta)
		h.vm.deltas.put(d.key, d.reply.Share)
	}
	return d.reply, nil
}

// Facts implements Control. The reply has the ID of its request.
func (h handler) Facts(ctx context.Context, r *sparcontrol.FactsRequest) (*sparcontrol.FactsReply, error) {
	return sparring.Query(ctx, h.vm.queries, func(vm *VM) *sparcontrol.FactsReply {
		facts := vm.facts()
		facts.Id = r.Id
		return facts
	})
}

// Survey implements Control.
func (h handler) Survey(ctx context.Context, r *sparcontrol.SurveyRequest) (reply *sparcontrol.SurveyReply, err error) {
	own, err := h.Facts(ctx, &sparcontrol.FactsRequest{Id: r.Id})
	if err != nil {
		return nil, err
	}
	others, err := sparring.Query(ctx, h.vm.queries, (*VM).others)
	if err != nil {
		return nil, err
	}
	return sparcontrol.QueryAll(ctx, own, others, surveyClient), nil
}

// Events implements Control.
func (h handler) Events(ctx context.Context, r *sparcontrol.EventsRequest) (*sparcontrol.EventsReply, error) {
	return sparring.Query(ctx, h.vm.queries, func(vm *VM) *sparcontrol.EventsReply {
		return sparcontrol.NewEventsReply(r, vm.file.Name, vm.timeline.Since(spartimeline.Stamp(r.Since)), vm.engine.Roster().VMs)
	})
}

// others returns the VMs in the settings except this one.
func (vm *VM) others() []sparconfig.VM {
	return slices.DeleteFunc(slices.Clone(vm.engine.Roster().VMs), func(other sparconfig.VM) bool {
		return other.Name == vm.file.Name
	})
}
