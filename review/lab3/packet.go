package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout of the header as in PROTOCOL.md, all numbers little-endian.
const (
	headerBytes = 36
	flagSYN     = 128
	flagACK     = 64
	flagFIN     = 16
	flagBounced = 8
	flagRST     = 1
)

// packet is one packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	payload  []byte
}

func (p packet) bytes() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.payload))
	binary.LittleEndian.PutUint32(b[0:], p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	binary.LittleEndian.PutUint16(b[16:], uint16(len(p.payload)))
	b[18] = p.flags
	putIP(b[24:], p.src)
	binary.LittleEndian.PutUint16(b[28:], p.src.Port())
	binary.LittleEndian.PutUint16(b[30:], p.dst.Port())
	putIP(b[32:], p.dst)
	return append(b, p.payload...)
}

func parsePacket(b []byte) (packet, bool) {
	if len(b) < headerBytes || int(binary.LittleEndian.Uint16(b[16:])) != len(b)-headerBytes {
		return packet{}, false
	}
	return packet{
		src:   netip.AddrPortFrom(readIP(b[24:]), binary.LittleEndian.Uint16(b[28:])),
		dst:   netip.AddrPortFrom(readIP(b[32:]), binary.LittleEndian.Uint16(b[30:])),
		flags: b[18], seq: binary.LittleEndian.Uint32(b[0:]), ack: binary.LittleEndian.Uint32(b[4:]),
		payload: append([]byte(nil), b[headerBytes:]...),
	}, true
}

func putIP(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(ip[:]))
}

func readIP(b []byte) netip.Addr {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(ip)
}
