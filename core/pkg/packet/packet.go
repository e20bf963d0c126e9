// Package packet reads the IPv4 and TCP headers of callers' packets and writes resets.
package packet

import (
	"encoding/binary"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// MaxBytes is the longest packet that is taken.
	MaxBytes = 1500

	ipv4HeaderBytes = 20
	tcpHeaderBytes  = 20
	protocolTCP     = 6
	fragmentMask    = 0x3fff
	offsetTotal     = 2
	offsetFragment  = 6
	offsetProtocol  = 9
	offsetSource    = 12
	offsetDest      = 16
	tcpOffsetDport  = 2
	tcpOffsetSeq    = 4
	tcpOffsetAck    = 8
	tcpOffsetData   = 12
	tcpOffsetFlags  = 13
	wordBytes       = 4

	flagFin = 0x01
	flagSyn = 0x02
	flagRst = 0x04
	flagAck = 0x10
)

// ErrMalformed says that bytes are not an unfragmented IPv4 packet with a TCP segment.
var ErrMalformed = trace.BadParameter("malformed packet")

// Parse reads the headers of b.
// It returns ErrMalformed when b is not one unfragmented IPv4 packet with a TCP segment.
func Parse(b []byte) (landing.Segment, error) {
	s, _, err := parse(b)
	return s, err
}

// parse returns the segment and its flags.
func parse(b []byte) (landing.Segment, byte, error) {
	t, err := tcpHeader(b)
	if err != nil {
		return landing.Segment{}, 0, err
	}
	key := landing.FlowKey{}.
		WithSourceAddress(binary.BigEndian.Uint32(b[offsetSource:])).
		WithDestinationAddress(binary.BigEndian.Uint32(b[offsetDest:])).
		WithSourcePort(uint32(binary.BigEndian.Uint16(t))).
		WithDestinationPort(uint32(binary.BigEndian.Uint16(t[tcpOffsetDport:])))
	flags := t[tcpOffsetFlags]
	s := landing.Segment{}.
		WithKey(key).
		WithSequenceNumber(binary.BigEndian.Uint32(t[tcpOffsetSeq:])).
		WithAcknowledgementNumber(binary.BigEndian.Uint32(t[tcpOffsetAck:])).
		WithIsSyn(flags&(flagSyn|flagAck|flagRst) == flagSyn).
		WithHasAck(flags&flagAck != 0).
		WithIsReset(flags&flagRst != 0)
	return s, flags, nil
}

// ParseReply reads the headers of a packet from the service to the caller.
// The key of the result names the flow as the caller's packets do, and opening
// says whether the packet is the service's part of the handshake: SYN with ACK.
// It returns ErrMalformed as Parse does.
func ParseReply(b []byte) (landing.Segment, error) {
	s, flags, err := parse(b)
	if err != nil {
		return landing.Segment{}, err
	}
	both := byte(flagSyn | flagAck)
	return s.WithKey(turn(s.Key())).WithIsSyn(flags&both == both), nil
}

// turn returns the key with its ends exchanged.
func turn(k landing.FlowKey) landing.FlowKey {
	return k.
		WithSourceAddress(k.DestinationAddress()).
		WithDestinationAddress(k.SourceAddress()).
		WithSourcePort(k.DestinationPort()).
		WithDestinationPort(k.SourcePort())
}

func tcpHeader(b []byte) ([]byte, error) {
	if len(b) < ipv4HeaderBytes || len(b) > MaxBytes || b[0]>>4 != 4 {
		return nil, ErrMalformed
	}
	header := int(b[0]&0xf) * wordBytes
	total := int(binary.BigEndian.Uint16(b[offsetTotal:]))
	if header < ipv4HeaderBytes || total != len(b) || len(b) < header+tcpHeaderBytes {
		return nil, ErrMalformed
	}
	if b[offsetProtocol] != protocolTCP {
		return nil, ErrMalformed
	}
	if binary.BigEndian.Uint16(b[offsetFragment:])&fragmentMask != 0 {
		return nil, ErrMalformed
	}
	t := b[header:]
	data := int(t[tcpOffsetData]>>4) * wordBytes
	if data < tcpHeaderBytes || data > len(t) {
		return nil, ErrMalformed
	}
	return t, nil
}
