package netstack

import (
	"sync"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
)

// link is the stack's only interface. It sends each packet at once, so that none
// is lost in a queue.
type link struct {
	send       SendFunc
	mu         sync.RWMutex
	dispatcher stack.NetworkDispatcher
	mtu        uint32
	buffers    sync.Pool
}

func newLink(send SendFunc) *link {
	l := &link{send: send, mtu: MTU}
	l.buffers.New = func() any {
		b := make([]byte, 0, MTU)
		return &b
	}
	return l
}

func (l *link) deliver(p *stack.PacketBuffer) {
	l.mu.RLock()
	d := l.dispatcher
	l.mu.RUnlock()
	if d != nil {
		d.DeliverNetworkPacket(ipv4.ProtocolNumber, p)
	}
}

// WritePackets sends the packets in order.
func (l *link) WritePackets(list stack.PacketBufferList) (int, tcpip.Error) {
	b := l.buffers.Get().(*[]byte)
	defer l.buffers.Put(b)
	for _, p := range list.AsSlice() {
		*b = (*b)[:0]
		for _, part := range p.AsSlices() {
			*b = append(*b, part...)
		}
		l.send(*b)
	}
	return list.Len(), nil
}

// Attach sets the dispatcher that takes packets from outside.
func (l *link) Attach(d stack.NetworkDispatcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatcher = d
}

// IsAttached says whether there is a dispatcher.
func (l *link) IsAttached() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.dispatcher != nil
}

// MTU returns the length of the longest packet in bytes.
func (l *link) MTU() uint32 { return l.mtu }

// SetMTU sets the length of the longest packet in bytes.
func (l *link) SetMTU(mtu uint32) { l.mtu = mtu }

// MaxHeaderLength returns the length of a link header, which there is none of.
func (*link) MaxHeaderLength() uint16 { return 0 }

// LinkAddress returns no address.
func (*link) LinkAddress() tcpip.LinkAddress { return "" }

// SetLinkAddress does nothing.
func (*link) SetLinkAddress(tcpip.LinkAddress) {}

// Capabilities says that checksums of packets from outside are to be verified.
func (*link) Capabilities() stack.LinkEndpointCapabilities { return 0 }

// Wait returns at once, since the link has no goroutines.
func (*link) Wait() {}

// ARPHardwareType returns the type of a link without hardware addresses.
func (*link) ARPHardwareType() header.ARPHardwareType { return header.ARPHardwareNone }

// AddHeader does nothing.
func (*link) AddHeader(*stack.PacketBuffer) {}

// ParseHeader accepts every packet.
func (*link) ParseHeader(*stack.PacketBuffer) bool { return true }

// Close detaches the link.
func (l *link) Close() { l.Attach(nil) }

// SetOnCloseAction does nothing.
func (*link) SetOnCloseAction(func()) {}
