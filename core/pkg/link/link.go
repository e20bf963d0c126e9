// Package link sends and receives datagrams between the processes of the fleet over UDP.
package link

import (
	"errors"
	"net"
	"net/netip"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/wire"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
)

const (
	// maxDatagramBytes is the size of the receive buffer. It exceeds the length of a datagram with the longest packet
	// and the longest chain.
	maxDatagramBytes = 2048

	readFailed  = "read_failed"
	writeFailed = "write_failed"
)

// Link is the UDP socket with which a process exchanges datagrams with the fleet. Its methods may be called from
// several goroutines. Addresses are encoded as numbers, see address.PackAddrPort.
type Link struct {
	conn         *net.UDPConn
	localAddress uint64
	counters     *counter.Set
}

// New opens a link on this UDP address, an IP and port. It returns an error when the address is malformed or the socket
// cannot be opened.
func New(listenAddress string, counters *counter.Set) (*Link, error) {
	conn, err := socket.Listen(listenAddress)
	if err != nil {
		return nil, err
	}
	local := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return &Link{conn: conn, localAddress: address.PackAddrPort(local), counters: counters}, nil
}

// LocalAddress returns the address and port of the link's socket, packed into a number.
func (l *Link) LocalAddress() uint64 {
	return l.localAddress
}

// Send sends a datagram to the process at address to. A failure is counted, not returned.
func (l *Link) Send(d landing.Datagram, to uint64) {
	l.SendBytes(wire.AppendDatagram(nil, d), address.UnpackAddrPort(to))
}

// SendBytes sends an encoded datagram to this address. A failure is counted, not returned.
func (l *Link) SendBytes(b []byte, to netip.AddrPort) {
	if _, err := l.conn.WriteToUDPAddrPort(b, to); err != nil && !errors.Is(err, net.ErrClosed) {
		l.counters.Counter(writeFailed).Inc(1)
	}
}

// Receive calls handle with each datagram and the address of its sender, until the link is closed. Datagrams that
// cannot be decoded are counted as refusals. The datagram refers to a buffer that is overwritten after handle returns.
func (l *Link) Receive(handle func(d landing.Datagram, from uint64)) {
	ReadDatagrams(l.conn, l.counters, func(b []byte, from netip.AddrPort) {
		d, err := wire.ParseDatagram(b)
		if err != nil || d == nil {
			l.counters.CountRefusal(landing.RefusalMalformed)
			return
		}
		handle(d, address.PackAddrPort(from))
	})
}

// Close closes the socket, which ends Receive.
func (l *Link) Close() {
	_ = l.conn.Close()
}

// ReadDatagrams calls handle with the bytes of each datagram and the address of its sender, until conn is closed. The
// bytes are overwritten after handle returns. Read errors are counted.
func ReadDatagrams(conn *net.UDPConn, counters *counter.Set, handle func(b []byte, from netip.AddrPort)) {
	b := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			counters.Counter(readFailed).Inc(1)
			continue
		}
		handle(b[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}
