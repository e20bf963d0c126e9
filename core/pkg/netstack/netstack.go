// Package netstack runs a user-space TCP/IP stack whose packets come and go as byte slices.
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
	// MTU is the length of the longest packet that the stack sends, in bytes. With the longest
	// header of a datagram and the outer headers it stays below the 1,500 bytes of Ethernet.
	MTU = 1380

	// timeWait is short, so that a caller that uses a port again soon after a close by the
	// service is not kept waiting. Late segments of the old flow meet no flow and are dropped.
	timeWait = time.Millisecond
	// synRetries bounds the time that a handshake stays incomplete.
	synRetries = 3

	interfaceID = 1
)

// SendFunc sends one packet; it must not keep the slice.
type SendFunc func(packet []byte)

// Stack is a TCP/IP stack without addresses of its own: it takes packets for every address.
type Stack struct {
	stack *stack.Stack
	link  *link
}

// New returns a stack that sends its packets with send.
// It returns an error when the library refuses an option.
func New(send SendFunc) (*Stack, error) {
	s := &Stack{
		stack: stack.New(stack.Options{
			NetworkProtocols:   []stack.NetworkProtocolFactory{ipv4.NewProtocol},
			TransportProtocols: []stack.TransportProtocolFactory{tcp.NewProtocol},
		}),
		link: newLink(send),
	}
	if err := s.configure(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stack) configure() error {
	if err := s.stack.CreateNIC(interfaceID, s.link); err != nil {
		return trace.Errorf("interface: %s", err)
	}
	if err := s.stack.SetPromiscuousMode(interfaceID, true); err != nil {
		return trace.Errorf("promiscuous mode: %s", err)
	}
	if err := s.stack.SetSpoofing(interfaceID, true); err != nil {
		return trace.Errorf("spoofing: %s", err)
	}
	s.stack.SetRouteTable([]tcpip.Route{{Destination: header.IPv4EmptySubnet, NIC: interfaceID}})
	return s.configureTCP()
}

func (s *Stack) configureTCP() error {
	wait := tcpip.TCPTimeWaitTimeoutOption(timeWait)
	retries := tcpip.TCPSynRetriesOption(synRetries)
	sack := tcpip.TCPSACKEnabled(true)
	moderate := tcpip.TCPModerateReceiveBufferOption(true)
	options := []tcpip.SettableTransportProtocolOption{&wait, &retries, &sack, &moderate}
	for _, o := range options {
		if err := s.stack.SetTransportProtocolOption(tcp.ProtocolNumber, o); err != nil {
			return trace.Errorf("option %T: %s", o, err)
		}
	}
	return nil
}

// Inject hands the stack a packet from outside. The slice may be used again afterwards.
func (s *Stack) Inject(packet []byte) {
	p := stack.NewPacketBuffer(stack.PacketBufferOptions{Payload: buffer.MakeWithData(packet)})
	defer p.DecRef()
	s.link.deliver(p)
}

// SetFlowHandler hands each new flow to handler, on a goroutine of its own.
func (s *Stack) SetFlowHandler(maxHandshakes int, handler func(*tcp.ForwarderRequest)) {
	f := tcp.NewForwarder(s.stack, 0, maxHandshakes, handler)
	s.stack.SetTransportProtocolHandler(tcp.ProtocolNumber, f.HandlePacket)
}

// Close ends all flows and waits for the stack's goroutines.
func (s *Stack) Close() {
	s.stack.Destroy()
}
