package packet

import (
	"encoding/binary"

	"golang.org/x/net/ipv4"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	resetBytes     = ipv4HeaderBytes + tcpHeaderBytes
	offsetChecksum = 10
	tcpOffsetSum   = 16
	resetTTL       = 64
)

// NewReset returns the packet that resets the flow of the caller's packet b, as RFC 9293 section 3.10.7.1 says.
// It returns ErrMalformed when b cannot be parsed.
func NewReset(b []byte) ([]byte, error) {
	s, err := Parse(b)
	if err != nil {
		return nil, err
	}
	return buildReset(s, segmentLength(b)), nil
}

// buildReset returns the reset that answers segment s, which has this length in sequence numbers.
func buildReset(s landing.Segment, length uint32) []byte {
	r := make([]byte, resetBytes)
	writeIPv4Header(r, s.Key())
	writeResetHeader(r[ipv4HeaderBytes:], s, length)
	sum := checksum(r[ipv4HeaderBytes:], pseudoSum(r))
	binary.BigEndian.PutUint16(r[ipv4HeaderBytes+tcpOffsetSum:], sum)
	return r
}

func writeIPv4Header(r []byte, k landing.FlowKey) {
	r[0] = ipv4.Version<<4 | ipv4HeaderBytes/wordBytes
	binary.BigEndian.PutUint16(r[offsetTotal:], resetBytes)
	r[offsetProtocol-1] = resetTTL
	r[offsetProtocol] = protocolTCP
	binary.BigEndian.PutUint32(r[offsetSource:], k.DestinationAddress())
	binary.BigEndian.PutUint32(r[offsetDest:], k.SourceAddress())
	binary.BigEndian.PutUint16(r[offsetChecksum:], checksum(r[:ipv4HeaderBytes], 0))
}

func writeResetHeader(t []byte, s landing.Segment, length uint32) {
	binary.BigEndian.PutUint16(t, uint16(s.Key().DestinationPort()))
	binary.BigEndian.PutUint16(t[tcpOffsetDport:], uint16(s.Key().SourcePort()))
	t[tcpOffsetData] = tcpHeaderBytes / wordBytes << 4
	if s.HasAck() {
		binary.BigEndian.PutUint32(t[tcpOffsetSeq:], s.AcknowledgementNumber())
		t[tcpOffsetFlags] = flagRst
		return
	}
	binary.BigEndian.PutUint32(t[tcpOffsetAck:], s.SequenceNumber()+length)
	t[tcpOffsetFlags] = flagRst | flagAck
}

// segmentLength returns the length of the segment in sequence numbers; b must be well-formed.
func segmentLength(b []byte) uint32 {
	t, err := tcpHeader(b)
	if err != nil {
		return 0
	}
	length := uint32(len(t)) - uint32(t[tcpOffsetData]>>4)*wordBytes
	if t[tcpOffsetFlags]&flagSyn != 0 {
		length++
	}
	if t[tcpOffsetFlags]&flagFin != 0 {
		length++
	}
	return length
}

func pseudoSum(r []byte) uint32 {
	sum := uint32(protocolTCP) + uint32(len(r)-ipv4HeaderBytes)
	for i := offsetSource; i < ipv4HeaderBytes; i += 2 {
		sum += uint32(binary.BigEndian.Uint16(r[i:]))
	}
	return sum
}

func checksum(b []byte, sum uint32) uint16 {
	for i := 0; i+1 < len(b); i += 2 {
		sum += uint32(binary.BigEndian.Uint16(b[i:]))
	}
	for sum>>16 != 0 {
		sum = sum&0xffff + sum>>16
	}
	return ^uint16(sum)
}

// NewCallerReset returns a packet in which the caller of flow k resets it, at this sequence number.
func NewCallerReset(k landing.FlowKey, sequence uint32) []byte {
	s := landing.Segment{}.
		WithKey(turn(k)).
		WithHasAck(true).
		WithAcknowledgementNumber(sequence)
	return buildReset(s, 0)
}
