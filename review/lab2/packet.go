package main

import (
	"encoding/binary"
	"net/netip"
)

const (
	headBytes = 36

	flagSYN     = 128
	flagACK     = 64
	flagFIN     = 16
	flagBOUNCED = 8
	flagRST     = 1
)

// packet is a packet as in PROTOCOL.md. The checksum is 0: the key is not known, and the stand-ins don't check it.
type packet struct {
	seq, ack uint32
	flags    byte
	src, dst netip.AddrPort
	data     []byte
}

func (p packet) bytes() []byte {
	b := make([]byte, headBytes+len(p.data))
	binary.LittleEndian.PutUint32(b[0:], p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	binary.LittleEndian.PutUint16(b[16:], uint16(len(p.data)))
	b[18] = p.flags
	binary.LittleEndian.PutUint32(b[24:], toNumber(p.src.Addr()))
	binary.LittleEndian.PutUint16(b[28:], p.src.Port())
	binary.LittleEndian.PutUint16(b[30:], p.dst.Port())
	binary.LittleEndian.PutUint32(b[32:], toNumber(p.dst.Addr()))
	copy(b[headBytes:], p.data)
	return b
}

func parse(b []byte) (packet, bool) {
	if len(b) < headBytes || int(binary.LittleEndian.Uint16(b[16:])) != len(b)-headBytes {
		return packet{}, false
	}
	return packet{
		seq: binary.LittleEndian.Uint32(b[0:]), ack: binary.LittleEndian.Uint32(b[4:]), flags: b[18],
		src:  netip.AddrPortFrom(toAddr(binary.LittleEndian.Uint32(b[24:])), binary.LittleEndian.Uint16(b[28:])),
		dst:  netip.AddrPortFrom(toAddr(binary.LittleEndian.Uint32(b[32:])), binary.LittleEndian.Uint16(b[30:])),
		data: append([]byte(nil), b[headBytes:]...),
	}, true
}

func toNumber(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func toAddr(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
