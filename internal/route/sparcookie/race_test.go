package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

// moved opens a flow with a SYN that gets no answer in time, and a copy that moves to another upstream.
func (f *fixture) moved(c *client) (first, second sparcookie.Verdict) {
	f.t.Helper()
	first = c.open()
	f.wait(retransmitAfter)
	second = c.open()
	wantVerdict(f.t, second, sparcookie.ToUpstream, sparcookie.Moved)
	return first, second
}

// raced opens a flow as moved does, and returns the upstream that wins first.
func (f *fixture) raced(c *client, firstWins bool) (winner, loser sparcookie.Verdict) {
	f.t.Helper()
	first, second := f.moved(c)
	if firstWins {
		return first, second
	}
	return second, first
}

// TestBothUpstreamsOfACopyAnswer covers a SYN whose first upstream answers after the copy has moved: the
// client takes that SYN-ACK, gets the other one as well, and puts its cookie into the packets that follow.
func TestBothUpstreamsOfACopyAnswer(t *testing.T) {
	for _, firstWins := range []bool{true, false} {
		f := newFixture(t)
		c := f.newClient(bookingAddr)
		winner, loser := f.raced(c, firstWins)
		wantUpstream := func(what string, v sparcookie.Verdict) {
			t.Helper()
			if v.ID != winner.ID || v.Cookie != winner.Cookie {
				t.Errorf("first wins %v: %s sent to %d, want %d", firstWins, what, v.ID, winner.ID)
			}
		}
		wantUpstream("first packet", c.takes(winner.Cookie))
		c.s.Cookie = loser.Cookie
		wantUpstream("acknowledgement", f.forward(c.s))
		wantUpstream("request", c.request())
		c.s.Cookie = winner.Cookie // of the response
		wantUpstream("next acknowledgement", c.ackResponse())
		if f.wait(time.Second); firstWins {
			f.wantHealthy(5) // otherwise the first one has left a SYN unanswered for long
		}
	}
}

// TestAnswerAfterTheCopyCounts checks that the late answer of the first upstream is a sign of life, with
// the time since the first SYN.
func TestAnswerAfterTheCopyCounts(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	first, _ := f.moved(c)
	f.engine.Observations()
	v := c.takes(first.Cookie)
	if !v.First || v.Waited != retransmitAfter+rtt {
		t.Errorf("%+v, want the opening after %v", v, retransmitAfter+rtt)
	}
	if got := sum(f.engine.Observations()); got.Opened != 1 {
		t.Errorf("%+v, want an opening", got)
	}
}

// TestRepeatedRequestStays guards against a reset of a flow whose upstream works on the request: the SYN-ACK of
// the upstream that lost comes late, and the client puts its cookie into the data that it repeats.
func TestRepeatedRequestStays(t *testing.T) {
	for _, firstWins := range []bool{true, false} {
		f := newFixture(t)
		c := f.newClient(bookingAddr)
		winner, loser := f.raced(c, firstWins)
		c.takes(winner.Cookie)
		c.request()
		c.s.Cookie = loser.Cookie
		for range 5 {
			f.wait(retransmitAfter)
			if v := c.request(); v.ID != winner.ID || v.Cookie != winner.Cookie {
				t.Errorf("first wins %v: sent to %d, want %d", firstWins, v.ID, winner.ID)
			}
		}
	}
}

// TestRepeatedRequestFollowsItsCookie covers a flow whose first packet seen here was not the first one of
// the client, so that its cookie is that of the upstream that lost: once that one has left, data that the
// client repeats goes to the upstream of the cookie that it has by then.
func TestRepeatedRequestFollowsItsCookie(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	loser, winner := f.moved(c)
	c.takes(loser.Cookie)
	c.request()
	f.remove(loser.ID)
	f.apply()
	f.wait(retransmitAfter)
	c.s.Cookie = winner.Cookie
	if v := c.request(); v.ID != winner.ID {
		t.Errorf("sent to %d, want %d", v.ID, winner.ID)
	}
}

// TestNewFlowOnTheSamePort covers a flow that another VM has opened between the same ends: its
// acknowledgement is another one, and it goes where its cookie says.
func TestNewFlowOnTheSamePort(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	first, second := f.moved(c)
	c.takes(first.Cookie)
	c.s.Ack, c.s.Cookie = 1<<31, second.Cookie
	if v := f.forward(c.s); v.ID != second.ID {
		t.Errorf("sent to %d, want %d", v.ID, second.ID)
	}
}
