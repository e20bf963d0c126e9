// Package envelope encodes and decodes the UDP datagrams in which balancers and sidecars send IPv4 packets.
//
// Each datagram carries one IPv4 packet in Generic UDP Encapsulation (GUE, draft-ietf-intarea-gue-09, section 4).
// Between the fabric (the network between callers and balancers) and the fleet (balancers and sidecars) it is GUE
// variant 1: the packet without a header. Between balancers and sidecars it is GUE variant 0: a header, whose private
// data field contains the chain, followed by the packet. The chain lists the sidecars (hops) to which the packet's flow
// is offered one after another.
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
	// MaxHeaderBytes is the length of the longest header, that of a chain with chain.MaxHops sidecars.
	MaxHeaderBytes = fixedHeaderBytes + chain.MaxHops*hopBytes

	// wordBytes is the unit in which GUE states the header length. A header is padded to a multiple of it.
	wordBytes = 4
	// hopBytes is the length of a hop: an IPv4 address and a UDP port.
	hopBytes = 6
	// fixedHeaderBytes is the length of the header before the hops.
	fixedHeaderBytes = 36
	// headerLengthMask selects the header length in the first byte, in words after the first one. The other bits are the
	// variant and the flag for control messages, which are 0 in a data message of variant 0.
	headerLengthMask = 0x1f
	protocolIPv4     = 4

	// Offsets of the header fields in bytes. offsetDeferredBy is that of the position, plus 1, of the sidecar that
	// deferred the flow; the value 0 means that none did.
	offsetProtocol     = 1
	offsetFlags        = 2
	offsetServiceTag   = 4
	offsetRosterSerial = 8
	offsetPosition     = 12
	offsetHopCount     = 13
	offsetChainPart    = 14
	offsetHasMore      = 15
	offsetBalancer     = 16
	offsetDeferredBy   = 22
	offsetRecalled     = 23
	offsetKeyNumber    = 24
	offsetTag          = 28
)

// ErrMalformed means that bytes are not a datagram with a valid header.
var ErrMalformed = trace.BadParameter("malformed datagram")

// Envelope gives access to the header fields and the packet of a datagram. Its methods change the datagram in place.
type Envelope struct {
	b []byte
}

// Parse checks the header of the datagram b and returns an envelope that refers to b. It does not check the
// authentication tag, see HasValidTag. It returns ErrMalformed when b has no valid header or no packet.
func Parse(b []byte) (Envelope, error) {
	if len(b) < fixedHeaderBytes || b[0]&^headerLengthMask != 0 {
		return Envelope{}, ErrMalformed
	}
	if b[offsetProtocol] != protocolIPv4 || b[offsetFlags] != 0 || b[offsetFlags+1] != 0 {
		return Envelope{}, ErrMalformed
	}
	hopCount := int(b[offsetHopCount])
	if hopCount == 0 || hopCount > chain.MaxHops || int(b[offsetPosition]) >= hopCount {
		return Envelope{}, ErrMalformed
	}
	if int(b[offsetDeferredBy]) > hopCount {
		return Envelope{}, ErrMalformed
	}
	if headerLength(b) != paddedHeaderLength(hopCount) || len(b) <= headerLength(b) {
		return Envelope{}, ErrMalformed
	}
	return Envelope{b: b}, nil
}

// IsEnveloped reports whether b begins with a header (GUE variant 0) and not with a bare packet.
func IsEnveloped(b []byte) bool {
	return len(b) > 0 && b[0]&^headerLengthMask == 0
}

// WriteHeader writes a header in front of the packet that begins at index packetStart of b. It returns the index at
// which the header, and thus the datagram, begins. packetStart must be at least MaxHeaderBytes.
//
// The header contains c, which is part number chainPart of the service's chain, counted from 0. balancer is the address
// to which the last sidecar of c returns the packet if another part follows. The header is signed with keys.
func WriteHeader(b []byte, packetStart int, c landing.Chain, chainPart uint8, balancer netip.AddrPort, keys *Keys) int {
	hopCount := min(c.HopsLen(), chain.MaxHops)
	start := packetStart - paddedHeaderLength(hopCount)
	header := b[start:]
	clear(header[:fixedHeaderBytes])
	header[0] = byte(paddedHeaderLength(hopCount)/wordBytes - 1)
	header[offsetProtocol] = protocolIPv4
	binary.BigEndian.PutUint32(header[offsetServiceTag:], plan.ServiceTag(c.Service()))
	binary.BigEndian.PutUint32(header[offsetRosterSerial:], uint32(c.RosterSerial()))
	header[offsetHopCount] = byte(hopCount)
	header[offsetChainPart] = chainPart
	if c.HasMore() {
		header[offsetHasMore] = 1
	}
	putAddrPort(header[offsetBalancer:], balancer)
	for i := range hopCount {
		hop := header[fixedHeaderBytes+i*hopBytes:]
		binary.BigEndian.PutUint32(hop, c.HopsAt(i).Address())
		binary.BigEndian.PutUint16(hop[wordBytes:], uint16(c.HopsAt(i).Port()))
	}
	Envelope{b: header}.Sign(keys)
	return start
}

// ServiceTag returns the service's tag, see plan.ServiceTag.
func (e Envelope) ServiceTag() uint32 {
	return binary.BigEndian.Uint32(e.b[offsetServiceTag:])
}

// RosterSerialLow returns the low 32 bits of the serial number of the roster from which the chain was computed.
func (e Envelope) RosterSerialLow() uint32 {
	return binary.BigEndian.Uint32(e.b[offsetRosterSerial:])
}

// ChainPart returns the number, from 0, of the part of the service's chain that the header contains.
func (e Envelope) ChainPart() uint8 {
	return e.b[offsetChainPart]
}

// HasNextHop reports whether another sidecar follows in this part of the chain.
func (e Envelope) HasNextHop() bool {
	return e.b[offsetPosition]+1 < e.b[offsetHopCount]
}

// HasMoreParts reports whether another part of the chain follows this one.
func (e Envelope) HasMoreParts() bool {
	return e.b[offsetHasMore] != 0
}

// CurrentHop returns the address of the sidecar at the current position in the chain.
func (e Envelope) CurrentHop() netip.AddrPort {
	i := fixedHeaderBytes + int(e.b[offsetPosition])*hopBytes
	return addrPort(e.b[i:])
}

// Advance moves the position to the next sidecar and returns its address. HasNextHop must be true. The header must be
// signed again afterwards.
func (e Envelope) Advance() netip.AddrPort {
	e.b[offsetPosition]++
	return e.CurrentHop()
}

// IsDeferred reports whether an earlier sidecar of this part deferred the new flow: that sidecar would admit the flow
// although its upstream is busy.
func (e Envelope) IsDeferred() bool {
	return e.b[offsetDeferredBy] != 0
}

// IsRecalled reports whether the packet was sent back to the sidecar that deferred the new flow, because no later
// sidecar admitted it.
func (e Envelope) IsRecalled() bool {
	return e.b[offsetRecalled] != 0
}

// Defer records that the sidecar at the current position defers the new flow. It does nothing when an earlier sidecar
// deferred it already. The header must be signed again afterwards.
func (e Envelope) Defer() {
	if !e.IsDeferred() {
		e.b[offsetDeferredBy] = e.b[offsetPosition] + 1
	}
}

// Recall moves the position back to the sidecar that deferred the flow and returns its address. IsDeferred must be
// true. The header must be signed again afterwards.
func (e Envelope) Recall() netip.AddrPort {
	e.b[offsetPosition] = e.b[offsetDeferredBy] - 1
	e.b[offsetRecalled] = 1
	return e.CurrentHop()
}

// Balancer returns the address of the balancer that wrote the header.
func (e Envelope) Balancer() netip.AddrPort {
	return addrPort(e.b[offsetBalancer:])
}

// Packet returns the IPv4 packet from the caller.
func (e Envelope) Packet() []byte {
	return e.b[headerLength(e.b):]
}

// Bytes returns the whole datagram.
func (e Envelope) Bytes() []byte {
	return e.b
}

func headerLength(b []byte) int {
	return (int(b[0]&headerLengthMask) + 1) * wordBytes
}

func paddedHeaderLength(hopCount int) int {
	return (fixedHeaderBytes + hopCount*hopBytes + wordBytes - 1) / wordBytes * wordBytes
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
