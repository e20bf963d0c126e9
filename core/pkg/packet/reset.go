package packet

import (
	"encoding/binary"

	"golang.org/x/net/ipv4"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	resetBytes        = ipv4HeaderBytes + tcpHeaderBytes
	offsetChecksum    = 10
	tcpOffsetChecksum = 16
	resetTTL          = 64
)

// NewReset returns a packet to the caller that resets the flow of the caller's packet b, according to RFC 9293 section
// 3.10.7.1. It returns ErrMalformed under the same conditions as Parse.
func NewReset(b []byte) ([]byte, error) {
	s, err := Parse(b)
	if err != nil {
		return nil, err
	}
	return buildReset(s, sequenceLength(b)), nil
}

// buildReset returns the reset in response to segment s, which occupies sequenceLength sequence numbers.
func buildReset(s landing.Segment, sequenceLength uint32) []byte {
	r := make([]byte, resetBytes)
	writeIPv4Header(r, s.Key())
	writeResetHeader(r[ipv4HeaderBytes:], s, sequenceLength)
	sum := checksum(r[ipv4HeaderBytes:], pseudoHeaderSum(r))
	binary.BigEndian.PutUint16(r[ipv4HeaderBytes+tcpOffsetChecksum:], sum)
	return r
}

func writeIPv4Header(r []byte, k landing.FlowKey) {
	r[0] = ipv4.Version<<4 | ipv4HeaderBytes/wordBytes
	binary.BigEndian.PutUint16(r[offsetTotalLength:], resetBytes)
	r[offsetProtocol-1] = resetTTL // the TTL precedes the protocol
	r[offsetProtocol] = protocolTCP
	binary.BigEndian.PutUint32(r[offsetSource:], k.DestinationAddress())
	binary.BigEndian.PutUint32(r[offsetDestination:], k.SourceAddress())
	binary.BigEndian.PutUint16(r[offsetChecksum:], checksum(r[:ipv4HeaderBytes], 0))
}

func writeResetHeader(t []byte, s landing.Segment, sequenceLength uint32) {
	binary.BigEndian.PutUint16(t, uint16(s.Key().DestinationPort()))
	binary.BigEndian.PutUint16(t[tcpOffsetDestinationPort:], uint16(s.Key().SourcePort()))
	t[tcpOffsetDataOffset] = tcpHeaderBytes / wordBytes << 4
	if s.HasAck() {
		binary.BigEndian.PutUint32(t[tcpOffsetSequence:], s.AcknowledgementNumber())
		t[tcpOffsetFlags] = flagRst
		return
	}
	binary.BigEndian.PutUint32(t[tcpOffsetAcknowledgement:], s.SequenceNumber()+sequenceLength)
	t[tcpOffsetFlags] = flagRst | flagAck
}

// sequenceLength returns how many sequence numbers the segment in b occupies: one for each byte of data, for SYN and
// for FIN. It returns 0 when b is malformed.
func sequenceLength(b []byte) uint32 {
	t, err := tcpSegment(b)
	if err != nil {
		return 0
	}
	length := uint32(len(t)) - uint32(t[tcpOffsetDataOffset]>>4)*wordBytes
	if t[tcpOffsetFlags]&flagSyn != 0 {
		length++
	}
	if t[tcpOffsetFlags]&flagFin != 0 {
		length++
	}
	return length
}

// pseudoHeaderSum returns the sum of the pseudo-header that the TCP checksum of packet r covers.
func pseudoHeaderSum(r []byte) uint32 {
	sum := uint32(protocolTCP) + uint32(len(r)-ipv4HeaderBytes)
	for i := offsetSource; i < ipv4HeaderBytes; i += 2 {
		sum += uint32(binary.BigEndian.Uint16(r[i:]))
	}
	return sum
}

// checksum returns the Internet checksum (RFC 1071) of b, which must have an even length. sum is the sum of the words
// before b.
func checksum(b []byte, sum uint32) uint16 {
	for i := 0; i+1 < len(b); i += 2 {
		sum += uint32(binary.BigEndian.Uint16(b[i:]))
	}
	for sum>>16 != 0 {
		sum = sum&0xffff + sum>>16
	}
	return ^uint16(sum)
}

// NewCallerReset returns a packet that resets flow k as if the caller had sent it, with this sequence number.
func NewCallerReset(k landing.FlowKey, sequence uint32) []byte {
	s := landing.Segment{}.
		WithKey(reverse(k)).
		WithHasAck(true).
		WithAcknowledgementNumber(sequence)
	return buildReset(s, 0)
}
