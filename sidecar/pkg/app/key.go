package app

import (
	"encoding/binary"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// keyOf returns the key of the flow that r asks to open.
func keyOf(r *tcp.ForwarderRequest) landing.Key {
	id := r.ID()
	return landing.Key{}.
		WithSource(number(id.RemoteAddress)).
		WithSport(uint32(id.RemotePort)).
		WithDestination(number(id.LocalAddress)).
		WithDport(uint32(id.LocalPort))
}

func number(a tcpip.Address) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}
