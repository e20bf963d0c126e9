// Package address converts between IPv4 addresses and the numbers that flows are named by.
package address

import (
	"encoding/binary"
	"net/netip"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// FromUint32 returns the IPv4 address with this number.
func FromUint32(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}

// ToUint32 returns the number of an IPv4 address; 0 when a is none.
func ToUint32(a netip.Addr) uint32 {
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

const portBits = 16

// PackAddrPort returns the number of an IPv4 address and port: the address times 65536 plus the port.
func PackAddrPort(a netip.AddrPort) uint64 {
	return uint64(ToUint32(a.Addr()))<<portBits | uint64(a.Port())
}

// UnpackAddrPort returns the address and port with this number.
func UnpackAddrPort(hop uint64) netip.AddrPort {
	return netip.AddrPortFrom(FromUint32(uint32(hop>>portBits)), uint16(hop))
}

// FormatFlow returns a flow's name in logs: the caller's address and port, and those at which it arrived.
func FormatFlow(k landing.FlowKey) string {
	from := netip.AddrPortFrom(FromUint32(k.SourceAddress()), uint16(k.SourcePort()))
	to := netip.AddrPortFrom(FromUint32(k.DestinationAddress()), uint16(k.DestinationPort()))
	return from.String() + ">" + to.String()
}
