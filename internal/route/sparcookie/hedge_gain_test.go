package sparcookie_test

import (
	"slices"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

const (
	pauseEvery = 2 * time.Second        // of each upstream
	pauseFor   = 120 * time.Millisecond // as by a collection of garbage
	openEvery  = 5 * time.Millisecond
)

// answers says when an upstream answers a SYN that is sent to it now.
type answers func(id uint64, now time.Duration) time.Duration

// opening is a flow whose client waits for a SYN-ACK.
type opening struct {
	client  *client
	began   time.Duration
	arrives time.Duration // when the first SYN-ACK reaches the client, or 0
	cookie  sparcookie.Cookie
	copied  bool
}

// pauses returns when an upstream answers a SYN that is sent to it now. Each one pauses at times
// of its own.
func pauses(id uint64, now time.Duration) time.Duration {
	into := (now + time.Duration(id)*pauseEvery/5) % pauseEvery
	if into < pauseFor {
		return now - into + pauseFor + rtt
	}
	return now + rtt
}

// fallsSilent is the same where one upstream stops for good after a while.
func fallsSilent(id uint64, now time.Duration) time.Duration {
	if id == 2 && now > 5*time.Second {
		return time.Hour
	}
	return now + rtt
}

// sent records that the SYN of o was sent to an upstream.
func (o *opening) sent(v sparcookie.Verdict, now time.Duration, answer answers) {
	if at := answer(v.ID, now); o.arrives == 0 || at < o.arrives {
		o.arrives, o.cookie = at, v.Cookie
	}
}

// openingTimes plays 20 s of openings, and returns how long they took, in order.
func openingTimes(t *testing.T, share float64, answer answers) ([]time.Duration, sparcookie.HedgeStats) {
	f := newFixture(t)
	f.routes[0].Repeatable = true
	f.apply()
	f.engine.SetHedge(share)
	var waiting []*opening
	var times []time.Duration
	for end := f.now + 20*time.Second; f.now < end; f.wait(time.Millisecond) {
		if f.now%openEvery == 0 {
			o := &opening{client: f.newClient(bookingAddr), began: f.now}
			o.sent(o.client.open(), f.now, answer)
			waiting = append(waiting, o)
		}
		for _, h := range f.engine.DueHedges() {
			for _, o := range waiting {
				if o.client.s.From == h.From {
					o.sent(h.Verdict, f.now, answer)
				}
			}
		}
		waiting = slices.DeleteFunc(waiting, func(o *opening) bool {
			if f.now-o.began >= retransmitAfter && !o.copied {
				o.copied = true
				o.sent(o.client.open(), f.now, answer)
			}
			if o.arrives > f.now {
				return false
			}
			o.client.s.Cookie, o.client.s.Seq, o.client.s.Ack = o.cookie, 101, 500
			f.forward(o.client.s)
			fin := o.client.s
			fin.Kind = sparcookie.FIN
			f.forward(fin)
			times = append(times, f.now-o.began)
			return true
		})
	}
	slices.Sort(times)
	return times, f.engine.HedgeStats()
}

// TestHedgesCutTheSlowestOpenings plays upstreams that pause at times, and one that stops for good,
// with and without hedges: the slowest openings must become faster, at no more extra SYNs than the
// share set.
func TestHedgesCutTheSlowestOpenings(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer answers
	}{{"upstreams pause", pauses}, {"an upstream stops", fallsSilent}} {
		t.Run(c.name, func(t *testing.T) {
			without, _ := openingTimes(t, 0, c.answer)
			for _, share := range []float64{0.01, 0.02, 0.05} {
				with, stats := openingTimes(t, share, c.answer)
				t.Logf("share %v: mean of the slowest 1%% %v to %v, slowest %v to %v; %+v of %d openings",
					share, tailMean(without), tailMean(with), without[len(without)-1], with[len(with)-1], stats, len(with))
				if float64(stats.Sent) > share*float64(len(with)) {
					t.Errorf("%d of %d openings hedged, more than %v", stats.Sent, len(with), share)
				}
				if 2*tailMean(with) > tailMean(without) {
					t.Errorf("mean of the slowest hundredth %v without hedges, %v with, want half at most", tailMean(without), tailMean(with))
				}
			}
		})
	}
}

// tailMean returns the mean of the slowest hundredth.
func tailMean(times []time.Duration) (mean time.Duration) {
	slowest := times[len(times)*99/100:]
	for _, d := range slowest {
		mean += d / time.Duration(len(slowest))
	}
	return mean
}
