// Package link carries datagrams between the processes of a fleet over UDP.
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
	// maxDatagramBytes is more than the longest packet with the longest chain.
	maxDatagramBytes = 2048

	readFailed  = "read_failed"
	writeFailed = "write_failed"
)

// Link is the socket of one process. Its methods may be called from several goroutines.
type Link struct {
	conn     *net.UDPConn
	home     uint64
	counters *counter.Set
}

// New returns a link on this UDP address, an IP and port. It returns an error when the address cannot be used.
func New(fleet string, counters *counter.Set) (*Link, error) {
	conn, err := socket.Listen(fleet)
	if err != nil {
		return nil, err
	}
	home := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return &Link{conn: conn, home: address.PackAddrPort(home), counters: counters}, nil
}

// LocalAddress returns the address of the link as a number.
func (l *Link) LocalAddress() uint64 {
	return l.home
}

// Send sends a datagram to the process at this address.
func (l *Link) Send(d landing.Datagram, hop uint64) {
	l.SendBytes(wire.AppendDatagram(nil, d), address.UnpackAddrPort(hop))
}

// SendBytes sends bytes to this address.
func (l *Link) SendBytes(b []byte, to netip.AddrPort) {
	if _, err := l.conn.WriteToUDPAddrPort(b, to); err != nil && !errors.Is(err, net.ErrClosed) {
		l.counters.Counter(writeFailed).Inc(1)
	}
}

// Receive calls handle with each datagram until the link is closed. The datagram refers to a buffer that is
// used again after handle returns.
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

// Close closes the socket.
func (l *Link) Close() {
	_ = l.conn.Close()
}

// ReadDatagrams calls handle with the bytes of each datagram until conn is closed. The bytes are used again after
// handle returns.
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
