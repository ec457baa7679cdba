// Package sparsite runs a whole deployment on the loopback address, with fakes of the
// platform and the fabric, for the demo and the tests:
//
//	site, err := sparsite.New(log, 1)
//	defer site.Close()
//	vm, err := site.StartVM("vm-1", "north")
//	site.Serve("team", "booking", document)
package sparsite

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparfabric"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparport"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparstore"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparserver"
)

const secret = "000102030405060708090a0b0c0d0e0f"

type (
	// Site is a deployment with its fake platform and fabric. Use New.
	Site struct {
		Store    *sparstore.Store
		Fabric   *sparfabric.Fabric
		Platform string

		log      *logrus.Logger
		listener net.Listener
		server   *http.Server
		mu       sync.Mutex
		vms      []*VM
	}

	// VM is one running entry VM.
	VM struct {
		File  sparconfig.File
		stop  context.CancelFunc
		abort chan os.Signal
		done  chan error
	}
)

// New starts a platform and a fabric.
func New(log *logrus.Logger, seed uint64) (s *Site, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "site")
	}
	fabric, err := sparfabric.New("127.0.0.1:0", seed)
	if err != nil {
		return nil, err
	}
	store := sparstore.New()
	s = &Site{
		Store: store, Fabric: fabric, Platform: listener.Addr().String(), log: log, listener: listener,
		server: &http.Server{Handler: store, ReadHeaderTimeout: time.Minute, ErrorLog: nil},
	}
	go func() { _ = s.server.Serve(listener) }()
	go fabric.Run()
	return s, nil
}

// Close stops everything at once, without handover.
func (s *Site) Close() {
	s.mu.Lock()
	vms := s.vms
	s.mu.Unlock()
	for _, vm := range vms {
		vm.Kill()
	}
	_ = s.server.Close()
	s.Fabric.Close()
}

// File returns the settings of a new VM, on free ports.
func (s *Site) File(name, domain string) sparconfig.File {
	file := sparconfig.File{
		Name: name, Domain: domain, Data: FreeAddress(), Control: FreeAddress(),
		Fabric: s.Fabric.Address().String(), Platform: s.Platform, Secret: secret,
		Log: "text", Flows: sparconfig.DefaultFlows,
	}
	for _, vm := range s.VMs() {
		file.Seeds = append(file.Seeds, vm.File.Control)
	}
	return file
}

// VMs returns the VMs that were started and not removed.
func (s *Site) VMs() []*VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*VM{}, s.vms...)
}

// StartVM starts a VM in this process, registers it with the platform and adds it to the
// fabric.
func (s *Site) StartVM(name, domain string) (vm *VM, err error) {
	return s.StartVMWithFabric(name, domain, s.Fabric.Address().String())
}

// StartVMWithFabric is StartVM for a VM that sends its packets to another fabric.
func (s *Site) StartVMWithFabric(name, domain, fabric string) (vm *VM, err error) {
	file := s.File(name, domain)
	file.Fabric = fabric
	server, err := sparserver.New(file, s.log)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	vm = &VM{File: file, stop: stop, abort: make(chan os.Signal, 1), done: make(chan error, 1)}
	go func() { vm.done <- server.Run(ctx, vm.abort) }()
	s.RegisterVM(file)
	s.mu.Lock()
	s.vms = append(s.vms, vm)
	s.mu.Unlock()
	s.UpdateFabric()
	return vm, nil
}

// RegisterVM adds a VM to the platform's list.
func (s *Site) RegisterVM(file sparconfig.File) {
	s.Store.Put(sparkv.Root+sparconfig.VMKey(file.Name), file.VM().Text())
}

// UpdateFabric makes the fabric spray packets over the current VMs.
func (s *Site) UpdateFabric() {
	var addrs []netip.AddrPort
	for _, vm := range s.VMs() {
		addrs = append(addrs, netip.MustParseAddrPort(vm.File.Data))
	}
	s.Fabric.Spray(addrs)
}

// RemoveVM removes a VM from the fabric and the platform's list.
func (s *Site) RemoveVM(vm *VM) {
	s.mu.Lock()
	for i, other := range s.vms {
		if other == vm {
			s.vms = append(s.vms[:i:i], s.vms[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	s.UpdateFabric()
	s.Store.Remove(sparkv.Root + sparconfig.VMKey(vm.File.Name))
}

// StopVM stops a VM gracefully: it hands over while the fabric stops sending it packets.
func (s *Site) StopVM(vm *VM) error {
	vm.stop()
	s.RemoveVM(vm)
	return <-vm.done
}

// Kill stops a VM at once, without notice to the other VMs.
func (vm *VM) Kill() {
	vm.abort <- os.Kill
	<-vm.done
	vm.done <- nil
}

// Serve writes a service document and the claims on its addresses, as the commands of an
// operator do.
func (s *Site) Serve(team, service string, d sparconfig.Document) {
	for _, key := range d.Claims() {
		s.Store.Put(sparkv.Root+key, []byte(team+"/"+service))
	}
	s.Store.Put(sparkv.Root+sparconfig.ServiceKey(team, service), d.Text())
}

// FreeAddress returns a loopback address whose port is free for both UDP and TCP. It panics if there is none.
func FreeAddress() string {
	address, err := sparport.Free()
	if err != nil {
		panic(err)
	}
	return address
}

// Endpoint returns the endpoint a.b.c.d:port. It panics if s is invalid.
func Endpoint(s string) sparflow.Endpoint {
	e, err := sparflow.ParseEndpoint(s)
	if err != nil {
		panic(err)
	}
	return e
}
