// Package sparcontrol encodes the messages between VMs as protocol buffers and holds
// the twirp service Control. Decode turns a Datagram into the types of the packages
// that act on it:
//
//	b := sparcontrol.EncodeBeat(sparcontrol.Report{Heartbeat: heartbeat})
//	switch m, err := sparcontrol.Decode(b); m := m.(type) {
//	case sparcontrol.Report:
//		tracker.Received(m.Heartbeat, now)
//	}
//
// control.pb.go and control.twirp.go are generated from control.proto with protoc,
// protoc-gen-go v1.36.12 and protoc-gen-twirp v8.1.3.
package sparcontrol
