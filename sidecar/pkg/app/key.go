package app

import (
	"encoding/binary"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// flowKey returns the key of the flow that r opens.
func flowKey(r *tcp.ForwarderRequest) landing.FlowKey {
	id := r.ID()
	return landing.FlowKey{}.
		WithSourceAddress(toUint32(id.RemoteAddress)).
		WithSourcePort(uint32(id.RemotePort)).
		WithDestinationAddress(toUint32(id.LocalAddress)).
		WithDestinationPort(uint32(id.LocalPort))
}

// toUint32 returns an IPv4 address as a number.
func toUint32(a tcpip.Address) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}
