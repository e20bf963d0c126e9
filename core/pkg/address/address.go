// Package address converts between IPv4 addresses and the numbers that flows are named by.
package address

import (
	"encoding/binary"
	"net/netip"
)

// FromNumber returns the IPv4 address with this number.
func FromNumber(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}

// Number returns the number of an IPv4 address; 0 when a is none.
func Number(a netip.Addr) uint32 {
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}
