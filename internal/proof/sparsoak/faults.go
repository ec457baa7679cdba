package sparsoak

import (
	"context"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	leastPause = 150 * time.Millisecond
	mostPause  = 900 * time.Millisecond
	leastFault = 300 * time.Millisecond
	mostFault  = 4 * time.Second
	// drainTime is how long an upstream serves after it has said that it drains.
	drainTime = Force + 2*time.Second
)

// fault is something that goes wrong, or planned work.
type fault struct {
	name string
	do   func(w *world, ctx context.Context)
}

var faults = []fault{
	{"planned restart", (*world).plannedRestart},
	{"planned restart", (*world).plannedRestart},
	{"kill", (*world).kill},
	{"pause", (*world).pause},
	{"hang-up", (*world).hangUp},
	{"store proxy", (*world).harmProxy},
	{"store proxy", (*world).harmProxy},
	{"store", (*world).harmStore},
	{"drain", (*world).drain},
	{"drain", (*world).drain},
	{"silent upstream", (*world).silence},
	{"crash", (*world).crash},
	{"cut to upstream", (*world).cutUpstream},
	{"routes", (*world).storm},
	{"routes", (*world).storm},
	{"kill all", (*world).killAll},
}

// harm lets faults come until the time of the plan is over, and returns once those
// under way have ended.
func (w *world) harm(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for end := time.Now().Add(w.plan.For); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[w.dice.upTo(len(faults))]
		wg.Go(func() { f.do(w, ctx) })
		sleep(ctx, w.dice.between(leastPause, mostPause))
	}
}

// heal ends what goes on.
func (w *world) heal() {
	w.store.Fault(sparfake.Sound)
	w.store.Slow(0)
	for _, v := range w.vms {
		v.signal(syscall.SIGCONT)
		v.proxy.set(passes)
	}
	w.mu.Lock()
	clear(w.cuts)
	w.mu.Unlock()
	w.note("no more faults")
}

func (w *world) anyVM() *vm { return w.vms[w.dice.upTo(len(w.vms))] }

func (w *world) faultTime() time.Duration { return w.dice.between(leastFault, mostFault) }

// plannedRestart is no fault: no flow may break by it. It spares a VM at work on
// another one, and leaves half of the VMs.
func (w *world) plannedRestart(context.Context) {
	v := w.anyVM()
	if !w.trouble.calmFor(0, v.name) || len(w.fabric.rotation()) <= len(w.vms)/2+1 {
		return
	}
	w.note("SIGTERM %s", v.name)
	v.restart(syscall.SIGTERM)
}

func (w *world) kill(context.Context) {
	v := w.anyVM()
	defer w.trouble.begin(v.name)()
	w.note("SIGKILL %s", v.name)
	v.restart(syscall.SIGKILL)
}

func (w *world) killAll(context.Context) {
	w.note("SIGKILL all VMs")
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, v := range w.vms {
		wg.Go(func() {
			defer w.trouble.begin(v.name)()
			v.restart(syscall.SIGKILL)
		})
	}
}

func (w *world) pause(ctx context.Context) {
	v, d := w.anyVM(), w.faultTime()
	defer w.trouble.begin(v.name)()
	w.note("SIGSTOP %s for %v", v.name, d)
	v.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	v.signal(syscall.SIGCONT)
}

// hangUp spares a process in its first moments: no program handles a signal before it
// runs.
func (w *world) hangUp(context.Context) {
	v := w.anyVM()
	if !v.started() {
		return
	}
	w.note("SIGHUP %s", v.name)
	v.signal(syscall.SIGHUP)
}

func (w *world) harmProxy(ctx context.Context) {
	v, d := w.anyVM(), w.faultTime()
	how := []way{delays, resets, swallows, silences}[w.dice.upTo(4)]
	defer w.trouble.begin(v.name)()
	w.note("store proxy of %s: %s for %v", v.name, [...]string{"", "delays", "resets", "swallows answers", "silences"}[how], d)
	v.proxy.set(how)
	sleep(ctx, d)
	v.proxy.set(passes)
}

func (w *world) harmStore(ctx context.Context) {
	d := w.faultTime()
	how := []sparfake.Fault{sparfake.Refuses, sparfake.Busy, sparfake.Resets, sparfake.Silent, sparfake.Loses, sparfake.Garbles}[w.dice.upTo(6)]
	defer w.trouble.begin(storeParty)()
	w.note("store fault %d for %v", how, d)
	w.store.Fault(how)
	sleep(ctx, d)
	w.store.Fault(sparfake.Sound)
}

// drain replaces an upstream: another one starts, this one says that it leaves, serves
// on for a while and ends.
func (w *world) drain(ctx context.Context) {
	service := []string{booking, booking, receipts}[w.dice.upTo(3)]
	if err := w.addServer(service); err != nil {
		w.note("no upstream added: %v", err)
		return
	}
	list := w.live(service)
	s := list[w.dice.upTo(len(list))]
	w.note("upstream %x drains", s.ID)
	s.Drain()
	w.list(s)
	w.checks.leaving(s)
	sleep(ctx, drainTime)
	w.trouble.touch(s.At.String())
	w.endServer(s)
}

func (w *world) silence(ctx context.Context) {
	list := w.live(booking)
	s, d := list[w.dice.upTo(len(list))], w.faultTime()
	defer w.trouble.begin(s.At.String())()
	w.note("upstream %x is silent for %v", s.ID, d)
	s.Silence(true)
	sleep(ctx, d)
	s.Silence(false)
}

// crash ends an upstream without a word; its entry lapses later.
func (w *world) crash(ctx context.Context) {
	list := w.live(booking)
	if len(list) <= w.plan.Upstreams/2 {
		return
	}
	s := list[w.dice.upTo(len(list))]
	end := w.trouble.begin(s.At.String())
	defer end()
	w.note("upstream %x crashes", s.ID)
	s.Silence(true)
	sleep(ctx, mostFault)
	w.endServer(s)
	if err := w.addServer(booking); err != nil {
		w.note("no upstream added: %v", err)
	}
}

// cutUpstream is no excuse for a broken flow: both parties are in reach of all others.
func (w *world) cutUpstream(ctx context.Context) {
	list := w.live(booking)
	v, s, d := w.anyVM(), list[w.dice.upTo(len(list))], w.faultTime()
	w.note("packets of %s do not reach upstream %x for %v", v.name, s.ID, d)
	w.setCut(cut{v.data, s.ID}, true)
	sleep(ctx, d)
	w.setCut(cut{v.data, s.ID}, false)
}

func (w *world) setCut(c cut, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[c] = on
}

// storm changes routes a few times in a row.
func (w *world) storm(ctx context.Context) {
	for range 1 + w.dice.upTo(5) {
		w.changeRoutes()
		sleep(ctx, w.dice.between(10*time.Millisecond, 300*time.Millisecond))
	}
	w.note("routes changed")
}
