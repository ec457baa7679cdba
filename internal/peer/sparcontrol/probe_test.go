package sparcontrol_test

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

var (
	question = sparprobe.Question{From: "edge-north-a-17", Run: 5, Round: 6, Silence: 200 * time.Millisecond, Marks: []uint64{1, 1 << 63}}
	answer   = sparprobe.Answer{From: "edge-north-a-17", Run: 5, Round: 6, Alive: []uint64{1}, Silent: []uint64{1 << 63}}
)

func TestProbe(t *testing.T) {
	got, err := sparcontrol.Decode(sparcontrol.EncodeProbe(question))
	if want := (sparcontrol.ReceivedProbe{Question: question}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, error %v, want %+v", got, err, want)
	}
	got, err = sparcontrol.Decode(sparcontrol.EncodeProbeAnswer(answer))
	if want := (sparcontrol.ReceivedProbeAnswer{Answer: answer}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, error %v, want %+v", got, err, want)
	}
}

func TestProbeOutOfRange(t *testing.T) {
	tests := map[string][]byte{
		"nameless question":  sparcontrol.EncodeProbe(sparprobe.Question{Marks: []uint64{1}}),
		"empty question":     sparcontrol.EncodeProbe(sparprobe.Question{From: "vm-1"}),
		"too many upstreams": sparcontrol.EncodeProbe(sparprobe.Question{From: "vm-1", Marks: make([]uint64, sparprobe.MaxMarks+1)}),
		"long silence":       sparcontrol.EncodeProbe(sparprobe.Question{From: "vm-1", Marks: []uint64{1}, Silence: time.Hour}),
		"negative silence":   sparcontrol.EncodeProbe(sparprobe.Question{From: "vm-1", Marks: []uint64{1}, Silence: -time.Second}),
		"nameless answer":    sparcontrol.EncodeProbeAnswer(sparprobe.Answer{Alive: []uint64{1}}),
		"empty answer":       sparcontrol.EncodeProbeAnswer(sparprobe.Answer{From: "vm-1"}),
		"long answer": sparcontrol.EncodeProbeAnswer(sparprobe.Answer{
			From: "vm-1", Alive: make([]uint64, sparprobe.MaxMarks), Silent: make([]uint64, 1),
		}),
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			if in, err := sparcontrol.Decode(b); err == nil {
				t.Errorf("%+v", in)
			}
		})
	}
}

// TestUnknownBody decodes a datagram of a later build, whose body this one doesn't know: it is an error,
// and no more. So an older build meets probes.
func TestUnknownBody(t *testing.T) {
	b := protowire.AppendTag(nil, 1000, protowire.BytesType)
	b = protowire.AppendBytes(b, sparcontrol.EncodeProbe(question))
	if in, err := sparcontrol.Decode(b); err == nil {
		t.Errorf("%+v", in)
	}
}

// TestProbeFitsTheBudget encodes a question about one upstream to 12 VMs.
func TestProbeFitsTheBudget(t *testing.T) {
	q := question
	q.Marks = q.Marks[:1]
	if n := 12 * len(sparcontrol.EncodeProbe(q)); n > 600 {
		t.Errorf("%d bytes, want at most 600", n)
	}
}

// FuzzProbe hands arbitrary datagrams to an asker and an answerer. No datagram alone makes an upstream
// gone.
func FuzzProbe(f *testing.F) {
	f.Add(sparcontrol.EncodeProbe(question))
	f.Add(sparcontrol.EncodeProbeAnswer(answer))
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := sparcontrol.Decode(data)
		if err != nil {
			return
		}
		u := sparprobe.Upstream{ID: 0x7f3a, Domain: "north"}
		look := func(uint64) (sparprobe.Upstream, bool) { return u, true }
		now, c := time.Hour, sparprobe.Connections{}
		vms := []sparprobe.VM{{Name: "vm-1", Domain: "north"}, {Name: "edge-north-a-17", Domain: "north"}, {Name: "vm-3"}}
		switch in := in.(type) {
		case sparcontrol.ReceivedProbe:
			var a sparprobe.Answerer
			for _, u := range a.Ask(now, in.Question, &c, look) {
				c.Done(now, u.Mark(), false)
			}
			for _, reply := range a.Due(now+time.Second, "vm-1", &c, look) {
				if _, err := sparcontrol.Decode(sparcontrol.EncodeProbeAnswer(reply.Answer)); err != nil {
					t.Error(err)
				}
			}
		case sparcontrol.ReceivedProbeAnswer:
			a := sparprobe.NewAsker(vms[0], in.Answer.Run, 12)
			a.SetVMs(vms)
			a.Begin(now, []sparprobe.Suspect{{Upstream: u, Since: now - 200*time.Millisecond}})
			a.Wanted(now, &c)
			c.Done(now, u.Mark(), false)
			_ = a.Receive(now, in.Answer)
			for _, o := range a.Evaluate(now+sparprobe.RoundTime, &c, look) {
				if o.Kind == sparprobe.Gone {
					t.Errorf("%+v", o)
				}
			}
		}
	})
}
