package sparpacket_test

import (
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparpacket"
)

var (
	client   = sparflow.MakeEndpoint(0xCB007101, 40000)
	service  = sparflow.MakeEndpoint(0xC6336401, 443)
	upstream = sparflow.MakeEndpoint(0x0A000001, 8080)
)

func segment(proto sparflow.Proto, flags uint8, data string) sparpacket.Segment {
	return sparpacket.Segment{
		From: client, To: service, Proto: proto, Flags: flags, Seq: 7, Ack: 9, Data: []byte(data),
	}
}

func parse(t *testing.T, datagram []byte) sparpacket.View {
	t.Helper()
	var parser sparpacket.Parser
	v, err := parser.Parse(datagram)
	if err != nil {
		t.Fatalf("Parse: %v", err)
	}
	return v
}

func TestRewriteKeepsChecksums(t *testing.T) {
	for _, proto := range []sparflow.Proto{sparflow.TCP, sparflow.UDP} {
		t.Run(proto.String(), func(t *testing.T) {
			s := segment(proto, sparpacket.ACK, "hold-17")
			v := parse(t, sparpacket.Wrap(nil, sparpacket.Build(s), 2))
			if v.Hops != 2 || string(v.Data()) != "hold-17" {
				t.Fatalf("hops %d, data %q", v.Hops, v.Data())
			}
			v.RewriteTarget(upstream)
			s.To = upstream
			if want := sparpacket.Build(s); string(want) != string(v.Inner) {
				t.Errorf("rewritten\n% x, want\n% x", v.Inner, want)
			}
			v.RewriteSource(service)
			s.From = service
			if want := sparpacket.Build(s); string(want) != string(v.Inner) {
				t.Errorf("rewritten\n% x, want\n% x", v.Inner, want)
			}
		})
	}
}

func TestBadDatagrams(t *testing.T) {
	whole := sparpacket.Wrap(nil, sparpacket.Build(segment(sparflow.TCP, sparpacket.SYN, "")), 1)
	fragment := append([]byte{}, whole...)
	fragment[8+8+6] = 0x20 // more fragments
	critical := append([]byte{}, whole...)
	critical[8], critical[10] = 1, 0x80
	cases := []struct {
		name string
		b    []byte
		want error
	}{
		{"empty", nil, sparpacket.BadGeneve},
		{"short header", whole[:7], sparpacket.BadGeneve},
		{"short options", whole[:10], sparpacket.BadGeneve},
		{"unknown critical option", critical, sparpacket.BadGeneve},
		{"short IP", whole[:20], sparpacket.BadIP},
		{"cut IP", whole[:len(whole)-1], sparpacket.BadIP},
		{"fragment", fragment, sparpacket.Fragment},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var parser sparpacket.Parser
			if _, err := parser.Parse(c.b); err != c.want {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func TestStripDataOfSYN(t *testing.T) {
	v := parse(t, sparpacket.Wrap(nil, sparpacket.Build(segment(sparflow.TCP, sparpacket.SYN, "early")), 0))
	v.StripData()
	if len(v.Data()) != 0 || !v.SYN() {
		t.Errorf("data %q, SYN %v", v.Data(), v.SYN())
	}
}

func FuzzParse(f *testing.F) {
	f.Add(sparpacket.Wrap(nil, sparpacket.Build(segment(sparflow.TCP, sparpacket.SYN, "x")), 1))
	f.Add(sparpacket.Wrap(nil, sparpacket.Build(segment(sparflow.UDP, 0, "x")), 0))
	f.Add([]byte{0x3f, 0, 8, 0, 0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var parser sparpacket.Parser
		v, err := parser.Parse(b)
		if err != nil {
			return
		}
		_ = sparpacket.Reset(v)
		v.RewriteTarget(upstream)
		v.RewriteSource(service)
		v.StripData()
		if v.Payload > len(v.Inner) {
			t.Errorf("payload at %d of %d", v.Payload, len(v.Inner))
		}
	})
}
