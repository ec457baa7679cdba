package sparentry_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// peer is a fake of another VM, which serves its settings on a link of a limited rate.
type peer struct {
	sparcontrol.Control
	t       *testing.T
	vm      sparconfig.VM
	control *net.UDPConn
	held    sparregistry.Registry
	rate    int  // bytes a second, 0 for no limit
	old     bool // of a build that echoes no timestamps
	pulls   atomic.Int32
}

// startPeer runs a peer with settings until the test ends. It replies to each query of a VM.
func startPeer(t *testing.T, held sparregistry.Registry, rate int, old bool) *peer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	control, err := net.ListenPacket("udp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{t: t, control: control.(*net.UDPConn), held: held, rate: rate, old: old, vm: sparconfig.VM{
		Name: "peer-1", Domain: "north", Data: "127.0.0.1:9", Control: listener.Addr().String(),
	}}
	api := sparcontrol.NewControlServer(p)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.rate > 0 {
			w = slowWriter{ResponseWriter: w, rate: p.rate}
		}
		api.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }() // until it is closed
	go p.reply()
	t.Cleanup(func() {
		_ = server.Close()
		_ = control.Close()
	})
	return p
}

// slowWriter writes a response at a limited rate.
type slowWriter struct {
	http.ResponseWriter
	rate int
}

// Write implements io.Writer.
func (w slowWriter) Write(b []byte) (n int, err error) {
	sparfake.Pace(w.ResponseWriter, b, w.rate)
	return len(b), nil
}

// reply notifies each VM that sends a query.
func (p *peer) reply() {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := p.control.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed
		}
		in, err := sparcontrol.Decode(buffer[:n])
		query, ok := in.(sparcontrol.ReceivedQuery)
		if !ok || err != nil {
			continue
		}
		reply := p.notification()
		if !p.old {
			reply.Timing.Echo = query.Query.Timing.Sent
		}
		_, _ = p.control.WriteToUDPAddrPort(sparcontrol.EncodeNotification(reply), from) // queried again otherwise
	}
}

// notification returns one that says that the settings of the peer are fresh.
func (p *peer) notification() sparsync.Notification {
	return sparsync.Notification{From: p.vm, Reader: p.vm.Name, Round: 1, At: p.held.Position(), Digest: p.held.Digest()}
}

// Pull implements Control.
func (p *peer) Pull(_ context.Context, r *sparcontrol.PullRequest) (*sparcontrol.PullReply, error) {
	p.pulls.Add(1)
	after := sparregistry.Position{Era: r.Era, Revision: r.After}
	return &sparcontrol.PullReply{Share: sparcontrol.EncodeDelta(p.held.Delta(after)), Synced: true, Reader: p.vm.Name}, nil
}
