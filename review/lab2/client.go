package main

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer")
)

// flow is the client's end of a flow. Each has a client address of its own.
type flow struct {
	conn     *net.UDPConn
	src, dst netip.AddrPort
	// via returns the daemon to which the routers send the next packet.
	via      func() netip.AddrPort
	seq, ack uint32
}

// openFlow opens a flow. Copies of the SYN follow after 200 and 600 ms; after 1.4 s the attempt ends.
func openFlow(local netip.AddrPort, port uint16, dst netip.AddrPort, via func() netip.AddrPort) (*flow, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, err
	}
	f := &flow{conn: conn, src: netip.AddrPortFrom(local.Addr(), port), dst: dst, via: via, seq: rand.Uint32()}
	for i, wait := range []time.Duration{200, 400, 800} {
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(i)})
		p, err := f.receive(wait*time.Millisecond, func(p packet) bool { return p.flags&flagSYN != 0 })
		if err == nil {
			f.seq++
			f.ack = p.seq + 1
			f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
			return f, nil
		}
		if !errors.Is(err, errTimeout) || i == 2 {
			_ = conn.Close()
			return nil, err
		}
	}
	panic("unreachable")
}

// request sends a request and returns the answer. It is sent again after 200 ms, and then after intervals that double up
// to 1.6 s.
func (f *flow) request(text string, deadline time.Duration) (string, error) {
	end := time.Now().Add(deadline)
	next := f.seq + uint32(len(text))
	for wait := 200 * time.Millisecond; time.Now().Before(end); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, data: []byte(text)})
		p, err := f.receive(min(wait, time.Until(end)), func(p packet) bool { return len(p.data) > 0 && p.ack == next })
		if err == nil {
			f.seq = next
			f.ack = p.seq + uint32(len(p.data))
			return string(p.data), nil
		}
		if !errors.Is(err, errTimeout) {
			return "", err
		}
	}
	return "", errTimeout
}

// awaitReset reports whether a reset arrives within this time. Nothing is sent.
func (f *flow) awaitReset(d time.Duration) bool {
	_, err := f.receive(d, func(packet) bool { return false })
	return errors.Is(err, errReset)
}

// close ends the flow with a FIN.
func (f *flow) close() {
	f.send(packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
	_ = f.conn.Close()
}

func (f *flow) send(p packet) {
	p.src, p.dst = f.src, f.dst
	_, _ = f.conn.WriteToUDPAddrPort(p.bytes(), f.via())
}

func (f *flow) receive(d time.Duration, isWanted func(packet) bool) (packet, error) {
	end := time.Now().Add(d)
	b := make([]byte, 2048)
	for {
		_ = f.conn.SetReadDeadline(end)
		n, _, err := f.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			if time.Now().Before(end) {
				continue
			}
			return packet{}, errTimeout
		}
		p, ok := parse(b[:n])
		if !ok || p.src != f.dst || p.dst != f.src {
			continue
		}
		if p.flags&flagRST != 0 {
			return packet{}, errReset
		}
		if isWanted(p) {
			return p, nil
		}
	}
}
