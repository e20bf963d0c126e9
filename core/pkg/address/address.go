// Package address converts IPv4 addresses and ports to and from the integers that schema messages use for them.
package address

import (
	"encoding/binary"
	"net/netip"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// FromUint32 returns the IPv4 address whose four bytes, in network byte order, form n.
func FromUint32(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}

// ToUint32 returns the four bytes of an IPv4 address, in network byte order, as an integer. It returns 0 when addr is
// not an IPv4 address.
func ToUint32(addr netip.Addr) uint32 {
	if !addr.Is4() {
		return 0
	}
	b := addr.As4()
	return binary.BigEndian.Uint32(b[:])
}

const portBits = 16

// PackAddrPort packs an IPv4 address and a port into one integer: the address times 65536 plus the port.
func PackAddrPort(addrPort netip.AddrPort) uint64 {
	return uint64(ToUint32(addrPort.Addr()))<<portBits | uint64(addrPort.Port())
}

// UnpackAddrPort returns the address and port that PackAddrPort packed.
func UnpackAddrPort(packed uint64) netip.AddrPort {
	return netip.AddrPortFrom(FromUint32(uint32(packed>>portBits)), uint16(packed))
}

// FormatFlow returns the form in which a flow is logged: the caller's address and port, ">", and the address and port
// that the caller connected to, such as 10.1.0.7:4000>10.200.0.1:80.
func FormatFlow(key landing.FlowKey) string {
	from := netip.AddrPortFrom(FromUint32(key.SourceAddress()), uint16(key.SourcePort()))
	to := netip.AddrPortFrom(FromUint32(key.DestinationAddress()), uint16(key.DestinationPort()))
	return from.String() + ">" + to.String()
}
