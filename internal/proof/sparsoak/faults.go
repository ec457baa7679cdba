package sparsoak

import (
	"context"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	minPause = 150 * time.Millisecond
	maxPause = 900 * time.Millisecond
	minFault = 300 * time.Millisecond
	maxFault = 4 * time.Second
	// drainTime is how long an upstream keeps serving after it has announced its drain.
	drainTime = Force + 2*time.Second
)

// fault is a failure, or a planned operation, to inject.
type fault struct {
	name   string
	inject func(t *testbed, ctx context.Context)
}

var faults = []fault{
	{"planned restart", (*testbed).plannedRestart},
	{"planned restart", (*testbed).plannedRestart},
	{"kill", (*testbed).kill},
	{"pause", (*testbed).pause},
	{"hang-up", (*testbed).hangUp},
	{"store proxy", (*testbed).proxyFault},
	{"store proxy", (*testbed).proxyFault},
	{"store", (*testbed).storeFault},
	{"drain", (*testbed).drainUpstream},
	{"drain", (*testbed).drainUpstream},
	{"silent upstream", (*testbed).silenceUpstream},
	{"crash", (*testbed).crashUpstream},
	{"cut to upstream", (*testbed).blockUpstream},
	{"routes", (*testbed).routeBurst},
	{"routes", (*testbed).routeBurst},
	{"kill all", (*testbed).killAll},
}

// injectFaults starts faults at random intervals for the duration of the plan, and returns
// once the active ones have ended.
func (t *testbed) injectFaults(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for end := time.Now().Add(t.plan.For); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[t.rng.intN(len(faults))]
		wg.Go(func() { f.inject(t, ctx) })
		sleep(ctx, t.calm(t.rng.between(minPause, maxPause)))
	}
}

// endFaults ends all active faults.
func (t *testbed) endFaults() {
	t.store.SetFault(sparfake.NoFault)
	t.store.SetDelay(0)
	for _, v := range t.vms {
		v.signal(syscall.SIGCONT)
		v.proxy.setMode(passThrough)
	}
	t.mu.Lock()
	clear(t.blocked)
	t.mu.Unlock()
	t.reportFault("no more faults")
}

func (t *testbed) anyVM() *vm { return t.vms[t.rng.intN(len(t.vms))] }

func (t *testbed) faultTime() time.Duration { return t.rng.between(minFault, maxFault) }

// plannedRestart is not a fault: no flow may break because of it. It skips a VM that another
// fault affects, and does nothing where it would leave half of the VMs or fewer in rotation.
func (t *testbed) plannedRestart(context.Context) {
	v := t.anyVM()
	if !t.faultLog.stableFor(0, v.name) || len(t.fabric.rotation()) <= len(t.vms)/2+1 {
		return
	}
	t.reportFault("SIGTERM %s", v.name)
	v.restart(syscall.SIGTERM)
}

func (t *testbed) kill(context.Context) {
	v := t.anyVM()
	defer t.faultLog.begin(v.name)()
	t.reportFault("SIGKILL %s", v.name)
	v.restart(syscall.SIGKILL)
}

func (t *testbed) killAll(context.Context) {
	t.reportFault("SIGKILL all VMs")
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, v := range t.vms {
		wg.Go(func() {
			defer t.faultLog.begin(v.name)()
			v.restart(syscall.SIGKILL)
		})
	}
}

func (t *testbed) pause(ctx context.Context) {
	v, d := t.anyVM(), t.faultTime()
	defer t.faultLog.begin(v.name)()
	t.reportFault("SIGSTOP %s for %v", v.name, d)
	v.signal(syscall.SIGSTOP)
	sleep(ctx, d)
	v.signal(syscall.SIGCONT)
}

// hangUp skips a process that has just started: no program handles SIGHUP before its code
// runs.
func (t *testbed) hangUp(context.Context) {
	v := t.anyVM()
	if !v.handlesSignals() {
		return
	}
	t.reportFault("SIGHUP %s", v.name)
	v.signal(syscall.SIGHUP)
}

func (t *testbed) proxyFault(ctx context.Context) {
	v, d := t.anyVM(), t.faultTime()
	m := []mode{delays, resets, dropsResponses, dropsAll}[t.rng.intN(4)]
	defer t.faultLog.begin(v.name)()
	t.reportFault("store proxy of %s: %s for %v", v.name, [...]string{"", "delays", "resets", "swallows answers", "silences"}[m], d)
	v.proxy.setMode(m)
	sleep(ctx, d)
	v.proxy.setMode(passThrough)
}

func (t *testbed) storeFault(ctx context.Context) {
	d := t.faultTime()
	f := []sparfake.Fault{sparfake.Refuses, sparfake.Busy, sparfake.Resets, sparfake.Silent, sparfake.LosesResponses, sparfake.Garbles}[t.rng.intN(6)]
	defer t.faultLog.begin(storeParty)()
	t.reportFault("store fault %d for %v", f, d)
	t.store.SetFault(f)
	sleep(ctx, d)
	t.store.SetFault(sparfake.NoFault)
}

// drainUpstream replaces an upstream: a new one starts, then the old one announces its drain,
// serves for drainTime and stops.
func (t *testbed) drainUpstream(ctx context.Context) {
	service := []string{booking, booking, receipts}[t.rng.intN(3)]
	if err := t.addServer(service); err != nil {
		t.reportFault("no upstream added: %v", err)
		return
	}
	list := t.live(service)
	s := list[t.rng.intN(len(list))]
	if !t.claim(s) {
		return
	}
	t.reportFault("upstream %x drains", s.ID)
	s.Drain()
	t.register(s)
	t.checker.drainStarted(s)
	sleep(ctx, drainTime)
	t.faultLog.record(s.At.String())
	t.endServer(s)
}

func (t *testbed) silenceUpstream(ctx context.Context) {
	list := t.live(booking)
	s, d := list[t.rng.intN(len(list))], t.faultTime()
	defer t.faultLog.begin(s.At.String())()
	t.reportFault("upstream %x is silent for %v", s.ID, d)
	s.SetSilent(true)
	sleep(ctx, d)
	s.SetSilent(false)
}

// crashUpstream makes an upstream unresponsive without notice. Its entry is removed later,
// as by an expired lease.
func (t *testbed) crashUpstream(ctx context.Context) {
	list := t.live(booking)
	if len(list) <= t.plan.Upstreams/2 {
		return
	}
	s := list[t.rng.intN(len(list))]
	if !t.claim(s) {
		return
	}
	end := t.faultLog.begin(s.At.String())
	defer end()
	t.reportFault("upstream %x crashes", s.ID)
	s.SetSilent(true)
	sleep(ctx, maxFault)
	t.endServer(s)
	if err := t.addServer(booking); err != nil {
		t.reportFault("no upstream added: %v", err)
	}
}

// blockUpstream drops the packets from one VM to one upstream. It is not entered in the fault
// log: all other paths of both work, so no flow may break because of it.
func (t *testbed) blockUpstream(ctx context.Context) {
	list := t.live(booking)
	v, s, d := t.anyVM(), list[t.rng.intN(len(list))], t.faultTime()
	t.reportFault("packets of %s do not reach upstream %x for %v", v.name, s.ID, d)
	t.setBlocked(link{v.data, s.ID}, true)
	sleep(ctx, d)
	t.setBlocked(link{v.data, s.ID}, false)
}

func (t *testbed) setBlocked(l link, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked[l] = on
}

// routeBurst changes routes a few times in quick succession.
func (t *testbed) routeBurst(ctx context.Context) {
	for range 1 + t.rng.intN(5) {
		t.changeRoutes()
		sleep(ctx, t.rng.between(10*time.Millisecond, 300*time.Millisecond))
	}
	t.reportFault("routes changed")
}
