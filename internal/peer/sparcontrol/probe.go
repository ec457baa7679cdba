package sparcontrol

import (
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

type (
	// ReceivedProbe is a question of a peer about upstreams.
	ReceivedProbe struct {
		Question sparprobe.Question
	}

	// ReceivedProbeAnswer is the answer of a peer.
	ReceivedProbeAnswer struct {
		Answer sparprobe.Answer
	}
)

func (ReceivedProbe) input()       {}
func (ReceivedProbeAnswer) input() {}

// EncodeProbe encodes a question about upstreams as a datagram.
func EncodeProbe(q sparprobe.Question) []byte {
	return marshal(&Datagram{Body: &Datagram_Probe{Probe: &Probe{
		From: q.From, Run: q.Run, Round: q.Round, Silence: uint32(q.Silence.Milliseconds()), Upstreams: q.Marks,
	}}})
}

// EncodeProbeAnswer encodes an answer as a datagram.
func EncodeProbeAnswer(a sparprobe.Answer) []byte {
	return marshal(&Datagram{Body: &Datagram_ProbeAnswer{ProbeAnswer: &ProbeAnswer{
		From: a.From, Run: a.Run, Round: a.Round, Alive: a.Alive, Silent: a.Silent,
	}}})
}

func decodeProbe(m *Probe) (in ReceivedProbe, err error) {
	if err := sparconfig.CheckName(m.GetFrom()); err != nil {
		return ReceivedProbe{}, err
	}
	if n := len(m.Upstreams); n == 0 || n > sparprobe.MaxMarks {
		return ReceivedProbe{}, errors.Errorf("probe of %d upstreams, expected 1 to %d", n, sparprobe.MaxMarks)
	}
	silence := time.Duration(m.Silence) * time.Millisecond
	if silence > sparprobe.MaxSilence {
		return ReceivedProbe{}, errors.Errorf("silence of %s, expected at most %s", silence, sparprobe.MaxSilence)
	}
	return ReceivedProbe{Question: sparprobe.Question{
		From: m.From, Run: m.Run, Round: m.Round, Silence: silence, Marks: m.Upstreams,
	}}, nil
}

func decodeProbeAnswer(m *ProbeAnswer) (in ReceivedProbeAnswer, err error) {
	if err := sparconfig.CheckName(m.GetFrom()); err != nil {
		return ReceivedProbeAnswer{}, err
	}
	if n := len(m.Alive) + len(m.Silent); n == 0 || n > sparprobe.MaxMarks {
		return ReceivedProbeAnswer{}, errors.Errorf("answer about %d upstreams, expected 1 to %d", n, sparprobe.MaxMarks)
	}
	return ReceivedProbeAnswer{Answer: sparprobe.Answer{
		From: m.From, Run: m.Run, Round: m.Round, Alive: m.Alive, Silent: m.Silent,
	}}, nil
}
