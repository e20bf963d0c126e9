package main

import (
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer")
)

// client is a client with one IP address. All packets for it arrive at the port of datagram_addr.
type client struct {
	lab   *lab
	conn  *net.UDPConn
	ip    netip.Addr
	mu    sync.Mutex
	flows map[uint16]chan packet
}

func (l *lab) newClient(ip netip.Addr) *client {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, l.port(portFront))))
	l.must(err)
	c := &client{lab: l, conn: conn, ip: ip, flows: map[uint16]chan packet{}}
	go c.read()
	return c
}

func (c *client) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		p, ok := parsePacket(b[:max(n, 0)])
		if err != nil || !ok {
			continue
		}
		c.mu.Lock()
		in := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if in == nil {
			continue
		}
		select {
		case in <- p:
		default:
		}
	}
}

// flow is the client's end of one flow.
type flow struct {
	client   *client
	in       chan packet
	src, dst netip.AddrPort
	seq, ack uint32
	// route selects the balancer for the next packet.
	route func(key [2]netip.AddrPort) netip.AddrPort
	// holder is the target that answered the first request.
	holder string
	// resetBy says who sent the reset that ended the flow: "system" or "target".
	resetBy string
}

func (f *flow) key() [2]netip.AddrPort { return [2]netip.AddrPort{f.src, f.dst} }

// open opens a flow: copies of the SYN after 200 and 600 ms, the end after 1.4 s.
func (c *client) open(port uint16, dst netip.AddrPort, route func([2]netip.AddrPort) netip.AddrPort) (*flow, error) {
	f := &flow{client: c, in: make(chan packet, 64), src: netip.AddrPortFrom(c.ip, port), dst: dst, seq: rand.Uint32(), route: route}
	c.mu.Lock()
	c.flows[port] = f.in
	c.mu.Unlock()
	c.lab.logf("client %s opens a flow to %s", f.src, dst)
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(copies)})
		p, err := f.await(wait, func(p packet) bool { return p.flags&flagSYN != 0 && p.ack == f.seq+1 })
		if errors.Is(err, errTimeout) {
			continue
		}
		if err != nil {
			return nil, err
		}
		f.seq++
		f.ack = p.seq + 1
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
		return f, nil
	}
	return nil, errTimeout
}

// request sends one request and returns the answer. It retransmits after 200 ms and then after doubled intervals up to
// 1.6 s, until the deadline.
func (f *flow) request(body string, deadline time.Duration) (string, error) {
	f.client.lab.logf("client %s sends %q", f.src, body)
	end := time.Now().Add(deadline)
	wanted := f.seq + uint32(len(body))
	for interval := 200 * time.Millisecond; time.Now().Before(end); interval = min(2*interval, 1600*time.Millisecond) {
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, payload: []byte(body)})
		p, err := f.await(min(interval, time.Until(end)), func(p packet) bool { return len(p.payload) > 0 && p.ack == wanted })
		if errors.Is(err, errTimeout) {
			continue
		}
		if err != nil {
			return "", err
		}
		f.seq = wanted
		f.ack = p.seq + uint32(len(p.payload))
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
		return string(p.payload), nil
	}
	return "", errTimeout
}

// idle waits and returns errReset when a reset arrives meanwhile.
func (f *flow) idle(d time.Duration) error {
	_, err := f.await(d, func(packet) bool { return false })
	if errors.Is(err, errTimeout) {
		return nil
	}
	return err
}

func (f *flow) await(d time.Duration, isWanted func(packet) bool) (packet, error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return packet{}, errTimeout
		case p := <-f.in:
			if p.src != f.dst {
				continue
			}
			if p.flags&flagRST != 0 {
				f.resetBy = "target"
				if p.sum == 0 {
					f.resetBy = "system"
				}
				return packet{}, errReset
			}
			if isWanted(p) {
				return p, nil
			}
		}
	}
}

func (f *flow) send(p packet) {
	p.src, p.dst, p.sum = f.src, f.dst, endpointSum
	_, _ = f.client.conn.WriteToUDPAddrPort(p.bytes(), f.route(f.key()))
}

// rank orders the daemons for a flow, as routers with hash_mode "steady" do.
func rank(key [2]netip.AddrPort, daemon netip.AddrPort) uint64 {
	b := make([]byte, 0, 32)
	for _, a := range []netip.AddrPort{key[0], key[1], daemon} {
		ip := a.Addr().As4()
		b = append(b, ip[:]...)
		b = binary.LittleEndian.AppendUint16(b, a.Port())
	}
	return xxhash.Sum64(b)
}
