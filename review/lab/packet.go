package main

import (
	"encoding/binary"
	"net/netip"
)

// The layout of a packet's header, as PROTOCOL.md states it.
const (
	headerBytes = 36

	flagSYN     = 128
	flagACK     = 64
	flagFIN     = 16
	flagBounced = 8
	flagRST     = 1

	offsetEcho  = 8
	offsetSum   = 12
	offsetFlags = 18
	offsetPad   = 19
)

// endpointSum stands for the keyed sum that clients and targets write. Resets of the system carry 0.
const endpointSum = 0x5eed5eed

// packet is one packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	sum      uint32
	payload  []byte
}

func (p packet) bytes() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.payload))
	binary.LittleEndian.PutUint32(b[0:], p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	binary.LittleEndian.PutUint32(b[offsetSum:], p.sum)
	binary.LittleEndian.PutUint16(b[16:], uint16(len(p.payload)))
	b[offsetFlags] = p.flags
	putAddress(b[24:], b[28:], p.src)
	putAddress(b[32:], b[30:], p.dst)
	return append(b, p.payload...)
}

func parsePacket(b []byte) (packet, bool) {
	if len(b) < headerBytes || int(binary.LittleEndian.Uint16(b[16:])) != len(b)-headerBytes {
		return packet{}, false
	}
	return packet{
		src:     readAddress(b[24:], b[28:]),
		dst:     readAddress(b[32:], b[30:]),
		flags:   b[offsetFlags],
		seq:     binary.LittleEndian.Uint32(b[0:]),
		ack:     binary.LittleEndian.Uint32(b[4:]),
		sum:     binary.LittleEndian.Uint32(b[offsetSum:]),
		payload: append([]byte(nil), b[headerBytes:]...),
	}, true
}

func putAddress(ip, port []byte, a netip.AddrPort) {
	b := a.Addr().As4()
	binary.LittleEndian.PutUint32(ip, binary.BigEndian.Uint32(b[:]))
	binary.LittleEndian.PutUint16(port, a.Port())
}

func readAddress(ip, port []byte) netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], binary.LittleEndian.Uint32(ip))
	return netip.AddrPortFrom(netip.AddrFrom4(b), binary.LittleEndian.Uint16(port))
}
