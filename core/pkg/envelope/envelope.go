// Package envelope encodes the datagrams between balancers and sidecars.
//
// A datagram carries one IPv4 packet. Between the fabric and the fleet it is the packet alone,
// which is variant 1 of Generic UDP Encapsulation (draft-ietf-intarea-gue-09, section 4).
// Between balancers and sidecars it is variant 0 of the same, whose private data hold the chain.
package envelope

import (
	"encoding/binary"
	"net/netip"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
)

const (
	// MaxHeaderBytes is the length of the longest header.
	MaxHeaderBytes = fixedBytes + chain.MaxHops*hopBytes

	wordBytes      = 4
	hopBytes       = 6
	fixedBytes     = 36
	lengthMask     = 0x1f
	protocolIPv4   = 4
	offsetProtocol = 1
	offsetFlags    = 2
	offsetService  = 4
	offsetRoster   = 8
	offsetPosition = 12
	offsetCount    = 13
	offsetPart     = 14
	offsetMore     = 15
	offsetHome     = 16
	offsetDeferred = 22
	offsetRecalled = 23
	offsetKey      = 24
	offsetTag      = 28
)

// ErrMalformed says that bytes are not a datagram of the fleet.
var ErrMalformed = trace.BadParameter("malformed datagram")

// Envelope reads and changes a datagram in place. The bytes are those of the datagram.
type Envelope struct {
	b []byte
}

// Parse checks b and returns its envelope, which refers to b.
// It returns ErrMalformed when b is no datagram of the fleet.
func Parse(b []byte) (Envelope, error) {
	if len(b) < fixedBytes || b[0]&^lengthMask != 0 {
		return Envelope{}, ErrMalformed
	}
	if b[offsetProtocol] != protocolIPv4 || b[offsetFlags] != 0 || b[offsetFlags+1] != 0 {
		return Envelope{}, ErrMalformed
	}
	count := int(b[offsetCount])
	if count == 0 || count > chain.MaxHops || int(b[offsetPosition]) >= count {
		return Envelope{}, ErrMalformed
	}
	if int(b[offsetDeferred]) > count {
		return Envelope{}, ErrMalformed
	}
	if headerBytes(b) != paddedBytes(count) || len(b) <= headerBytes(b) {
		return Envelope{}, ErrMalformed
	}
	return Envelope{b: b}, nil
}

// IsEnveloped says whether b begins like a datagram of variant 0, in contrast to a bare packet.
func IsEnveloped(b []byte) bool {
	return len(b) > 0 && b[0]&^lengthMask == 0
}

// WriteHeader writes the header for chain c, part number part, in front of the packet, which begins at
// index packet of b, and returns the header's first index. Home is the balancer that is asked for the next
// part. There must be MaxHeaderBytes in front of the packet. The datagram is sealed with keys.
func WriteHeader(b []byte, packet int, c landing.Chain, part uint8, home netip.AddrPort, keys *Keys) int {
	count := min(c.HopsLen(), chain.MaxHops)
	start := packet - paddedBytes(count)
	h := b[start:]
	clear(h[:fixedBytes])
	h[0] = byte(paddedBytes(count)/wordBytes - 1)
	h[offsetProtocol] = protocolIPv4
	binary.BigEndian.PutUint32(h[offsetService:], plan.ServiceTag(c.Service()))
	binary.BigEndian.PutUint32(h[offsetRoster:], uint32(c.RosterSerial()))
	h[offsetCount] = byte(count)
	h[offsetPart] = part
	if c.HasMore() {
		h[offsetMore] = 1
	}
	putAddrPort(h[offsetHome:], home)
	for i := range count {
		hop := h[fixedBytes+i*hopBytes:]
		binary.BigEndian.PutUint32(hop, c.HopsAt(i).Address())
		binary.BigEndian.PutUint16(hop[wordBytes:], uint16(c.HopsAt(i).Port()))
	}
	Envelope{b: h}.Sign(keys)
	return start
}

// ServiceTag returns the tag of the service.
func (e Envelope) ServiceTag() uint32 {
	return binary.BigEndian.Uint32(e.b[offsetService:])
}

// RosterSerialLow returns the low 32 bits of the serial number of the sender's roster.
func (e Envelope) RosterSerialLow() uint32 {
	return binary.BigEndian.Uint32(e.b[offsetRoster:])
}

// ChainPart returns the number of the part of the chain, from 0.
func (e Envelope) ChainPart() uint8 {
	return e.b[offsetPart]
}

// HasNextHop says whether another sidecar follows in this part.
func (e Envelope) HasNextHop() bool {
	return e.b[offsetPosition]+1 < e.b[offsetCount]
}

// HasMoreParts says whether another part of the chain follows.
func (e Envelope) HasMoreParts() bool {
	return e.b[offsetMore] != 0
}

// CurrentHop returns the address of the sidecar at the present position.
func (e Envelope) CurrentHop() netip.AddrPort {
	i := fixedBytes + int(e.b[offsetPosition])*hopBytes
	return addrPort(e.b[i:])
}

// Advance moves the position to the next sidecar and returns its address.
// HasNext must be true.
func (e Envelope) Advance() netip.AddrPort {
	e.b[offsetPosition]++
	return e.CurrentHop()
}

// IsDeferred says whether an earlier sidecar would have taken the new flow but was busy.
func (e Envelope) IsDeferred() bool {
	return e.b[offsetDeferred] != 0
}

// IsRecalled says whether all later sidecars have passed the new flow up.
func (e Envelope) IsRecalled() bool {
	return e.b[offsetRecalled] != 0
}

// Defer notes that the sidecar at the present position would take the new flow. The first one counts.
func (e Envelope) Defer() {
	if !e.IsDeferred() {
		e.b[offsetDeferred] = e.b[offsetPosition] + 1
	}
}

// Recall moves the position back to the sidecar that deferred the flow and returns its address.
// IsDeferred must be true.
func (e Envelope) Recall() netip.AddrPort {
	e.b[offsetPosition] = e.b[offsetDeferred] - 1
	e.b[offsetRecalled] = 1
	return e.CurrentHop()
}

// Balancer returns the address of the balancer that sent the datagram.
func (e Envelope) Balancer() netip.AddrPort {
	return addrPort(e.b[offsetHome:])
}

// Packet returns the caller's packet.
func (e Envelope) Packet() []byte {
	return e.b[headerBytes(e.b):]
}

// Bytes returns the whole datagram.
func (e Envelope) Bytes() []byte {
	return e.b
}

func headerBytes(b []byte) int {
	return (int(b[0]&lengthMask) + 1) * wordBytes
}

func paddedBytes(count int) int {
	return (fixedBytes + count*hopBytes + wordBytes - 1) / wordBytes * wordBytes
}

func putAddrPort(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[wordBytes:], a.Port())
}

func addrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom4([wordBytes]byte(b[:wordBytes]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[wordBytes:]))
}
