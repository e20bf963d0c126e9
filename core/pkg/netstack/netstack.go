// Package netstack runs a user-space TCP/IP stack (gVisor) that receives and sends IPv4 packets as byte slices.
package netstack

import (
	"time"

	"github.com/gravitational/trace"
	"gvisor.dev/gvisor/pkg/buffer"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
)

const (
	// MTU is the length in bytes of the longest packet that the stack sends. With the longest header of package
	// envelope and the outer IP and UDP headers, the packet stays below the 1,500 bytes that an Ethernet frame can
	// carry.
	MTU = 1380

	// timeWaitTimeout is the duration of the TIME-WAIT state. It is short so that a caller can reuse its port soon
	// after the service closed a flow. Segments of the closed flow that arrive later match no flow and are dropped.
	timeWaitTimeout = time.Millisecond
	// maxSynRetries is the number of times that an unanswered SYN is sent again. It limits the time for which a
	// handshake can stay incomplete.
	maxSynRetries = 3

	nicID = 1
)

// SendFunc sends one packet. It must not retain the slice after it returns.
type SendFunc func(packet []byte)

// Stack is a TCP/IP stack that accepts packets to any address and sends packets from any address.
type Stack struct {
	stack *stack.Stack
	link  *linkEndpoint
}

// New returns a stack that sends its packets with send. It returns an error when gVisor rejects an option.
func New(send SendFunc) (*Stack, error) {
	s := &Stack{
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		link: newLinkEndpoint(send),
	}
	if err := s.configure(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stack) configure() error {
	if err := s.stack.CreateNIC(nicID, s.link); err != nil {
		return trace.Errorf("create interface: %s", err)
	}
	if err := s.stack.SetPromiscuousMode(nicID, true); err != nil {
		return trace.Errorf("enable promiscuous mode: %s", err)
	}
	if err := s.stack.SetSpoofing(nicID, true); err != nil {
		return trace.Errorf("enable spoofing: %s", err)
	}
	s.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: nicID}})
	return s.configureTCP()
}

func (s *Stack) configureTCP() error {
	timeWait := tcpip.TCPTimeWaitTimeoutOption(timeWaitTimeout)
	synRetries := tcpip.TCPSynRetriesOption(maxSynRetries)
	sack := tcpip.TCPSACKEnabled(true)
	autoTuneReceive := tcpip.TCPModerateReceiveBufferOption(true)
	options := []tcpip.SettableTransportProtocolOption{&timeWait, &synRetries, &sack, &autoTuneReceive}
	for _, o := range options {
		if err := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, o); err != nil {
			return trace.Errorf("set option %T: %s", o, err)
		}
	}
	return nil
}

// Inject delivers an incoming packet to the stack. The caller may reuse the slice after Inject returns.
func (s *Stack) Inject(packet []byte) {
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	defer p.DecRef()
	s.link.deliverPacket(p)
}

// SetFlowHandler sets the function that is called for each SYN of a new flow, on a goroutine of its own. maxHandshakes
// is the largest number of incomplete handshakes. Further SYNs are dropped.
func (s *Stack) SetFlowHandler(maxHandshakes int, handler func(*tcp.ForwarderRequest)) {
	f := tcp.NewForwarder(s.stack, 0, maxHandshakes, handler)
	s.stack.SetTransportProtocolHandler(tcp.ProtocolNumber, f.HandlePacket)
}

// Close closes all connections and waits for the stack's goroutines.
func (s *Stack) Close() {
	s.stack.Destroy()
}
