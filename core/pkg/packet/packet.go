// Package packet parses the IPv4 and TCP headers of packets and creates TCP resets.
package packet

import (
	"encoding/binary"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// MaxBytes is the length of the longest packet that is accepted.
	MaxBytes = 1500

	// Lengths of the headers without options.
	ipv4HeaderBytes = 20
	tcpHeaderBytes  = 20

	protocolTCP = 6
	// fragmentMask selects the flag "more fragments" and the fragment offset, which are 0 in an unfragmented packet.
	fragmentMask = 0x3fff

	// Offsets in bytes of fields in the IPv4 header and, with the prefix tcp, in the TCP header.
	offsetTotalLength        = 2
	offsetFragment           = 6
	offsetProtocol           = 9
	offsetSource             = 12
	offsetDestination        = 16
	tcpOffsetDestinationPort = 2
	tcpOffsetSequence        = 4
	tcpOffsetAcknowledgement = 8
	tcpOffsetDataOffset      = 12
	tcpOffsetFlags           = 13

	// wordBytes is the unit in which both headers state a header length.
	wordBytes = 4

	flagFin = 0x01
	flagSyn = 0x02
	flagRst = 0x04
	flagAck = 0x10
)

// ErrMalformed means that bytes are not an unfragmented IPv4 packet with a TCP segment.
var ErrMalformed = trace.BadParameter("malformed packet")

// Parse parses the headers of b, a packet from a caller.
// It returns ErrMalformed when b is not exactly one unfragmented IPv4 packet with a TCP segment.
func Parse(b []byte) (landing.Segment, error) {
	s, _, err := parseWithFlags(b)
	return s, err
}

// parseWithFlags returns the segment and its TCP flags.
func parseWithFlags(b []byte) (landing.Segment, byte, error) {
	t, err := tcpSegment(b)
	if err != nil {
		return landing.Segment{}, 0, err
	}
	key := landing.FlowKey{}.
		WithSourceAddress(binary.BigEndian.Uint32(b[offsetSource:])).
		WithDestinationAddress(binary.BigEndian.Uint32(b[offsetDestination:])).
		WithSourcePort(uint32(binary.BigEndian.Uint16(t))).
		WithDestinationPort(uint32(binary.BigEndian.Uint16(t[tcpOffsetDestinationPort:])))
	flags := t[tcpOffsetFlags]
	s := landing.Segment{}.
		WithKey(key).
		WithSequenceNumber(binary.BigEndian.Uint32(t[tcpOffsetSequence:])).
		WithAcknowledgementNumber(binary.BigEndian.Uint32(t[tcpOffsetAcknowledgement:])).
		WithIsSyn(flags&(flagSyn|flagAck|flagRst) == flagSyn).
		WithHasAck(flags&flagAck != 0).
		WithIsReset(flags&flagRst != 0)
	return s, flags, nil
}

// ParseReply parses the headers of b, a packet from the upstream to the caller. The key of the result identifies the
// flow as in the caller's packets: its source is the caller. IsSyn of the result is true when b is a SYN-ACK, the
// upstream's reply to a SYN. It returns ErrMalformed under the same conditions as Parse.
func ParseReply(b []byte) (landing.Segment, error) {
	s, flags, err := parseWithFlags(b)
	if err != nil {
		return landing.Segment{}, err
	}
	synAck := byte(flagSyn | flagAck)
	return s.WithKey(reverse(s.Key())).WithIsSyn(flags&synAck == synAck), nil
}

// reverse returns the key with source and destination exchanged.
func reverse(key landing.FlowKey) landing.FlowKey {
	return key.
		WithSourceAddress(key.DestinationAddress()).
		WithDestinationAddress(key.SourceAddress()).
		WithSourcePort(key.DestinationPort()).
		WithDestinationPort(key.SourcePort())
}

// tcpSegment returns the part of packet b that follows the IPv4 header: the TCP header and the data.
func tcpSegment(b []byte) ([]byte, error) {
	if len(b) < ipv4HeaderBytes || len(b) > MaxBytes || b[0]>>4 != 4 {
		return nil, ErrMalformed
	}
	headerBytes := int(b[0]&0xf) * wordBytes
	totalBytes := int(binary.BigEndian.Uint16(b[offsetTotalLength:]))
	if headerBytes < ipv4HeaderBytes || totalBytes != len(b) || len(b) < headerBytes+tcpHeaderBytes {
		return nil, ErrMalformed
	}
	if b[offsetProtocol] != protocolTCP {
		return nil, ErrMalformed
	}
	if binary.BigEndian.Uint16(b[offsetFragment:])&fragmentMask != 0 {
		return nil, ErrMalformed
	}
	t := b[headerBytes:]
	tcpBytes := int(t[tcpOffsetDataOffset]>>4) * wordBytes
	if tcpBytes < tcpHeaderBytes || tcpBytes > len(t) {
		return nil, ErrMalformed
	}
	return t, nil
}
