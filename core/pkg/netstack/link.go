package netstack

import (
	"sync"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/stack"
)

// linkEndpoint is the stack's only network interface. It sends each packet at once instead of queueing it, so that
// no packet is lost to a full queue.
type linkEndpoint struct {
	send       SendFunc
	mu         sync.RWMutex
	dispatcher stack.NetworkDispatcher
	mtu        uint32
	buffers    sync.Pool
}

func newLinkEndpoint(send SendFunc) *linkEndpoint {
	l := &linkEndpoint{send: send, mtu: MTU}
	l.buffers.New = func() any {
		b := make([]byte, 0, MTU)
		return &b
	}
	return l
}

func (l *linkEndpoint) deliverPacket(p *stack.PacketBuffer) {
	l.mu.RLock()
	d := l.dispatcher
	l.mu.RUnlock()
	if d != nil {
		d.DeliverNetworkPacket(ipv4.ProtocolNumber, p)
	}
}

// WritePackets sends the packets in order. It returns the number of packets sent, which is all of them.
func (l *linkEndpoint) WritePackets(list stack.PacketBufferList) (int, tcpip.Error) {
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

// Attach sets the dispatcher to which incoming packets are delivered. nil detaches the current one.
func (l *linkEndpoint) Attach(d stack.NetworkDispatcher) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dispatcher = d
}

// IsAttached reports whether a dispatcher is set.
func (l *linkEndpoint) IsAttached() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.dispatcher != nil
}

// MTU returns the length of the longest packet in bytes.
func (l *linkEndpoint) MTU() uint32 { return l.mtu }

// SetMTU sets the length of the longest packet in bytes.
func (l *linkEndpoint) SetMTU(mtu uint32) { l.mtu = mtu }

// MaxHeaderLength returns 0, since packets have no link-layer header.
func (*linkEndpoint) MaxHeaderLength() uint16 { return 0 }

// LinkAddress returns an empty address, since the interface has no link-layer address.
func (*linkEndpoint) LinkAddress() tcpip.LinkAddress { return "" }

// SetLinkAddress does nothing.
func (*linkEndpoint) SetLinkAddress(tcpip.LinkAddress) {}

// Capabilities returns no capabilities, so the stack verifies the checksums of incoming packets itself.
func (*linkEndpoint) Capabilities() stack.LinkEndpointCapabilities { return 0 }

// Wait returns at once, since the interface has no goroutines.
func (*linkEndpoint) Wait() {}

// ARPHardwareType returns the type of an interface without hardware addresses.
func (*linkEndpoint) ARPHardwareType() header.ARPHardwareType { return header.ARPHardwareNone }

// AddHeader does nothing, since packets have no link-layer header.
func (*linkEndpoint) AddHeader(*stack.PacketBuffer) {}

// ParseHeader accepts every packet.
func (*linkEndpoint) ParseHeader(*stack.PacketBuffer) bool { return true }

// Close detaches the dispatcher. Further incoming packets are dropped.
func (l *linkEndpoint) Close() { l.Attach(nil) }

// SetOnCloseAction does nothing.
func (*linkEndpoint) SetOnCloseAction(func()) {}
