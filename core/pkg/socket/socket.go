// Package socket opens the UDP sockets on which packets arrive.
package socket

import (
	"net"
	"net/netip"

	"github.com/gravitational/trace"
)

// socketBufferBytes is the requested size of the receive and send buffers of a socket. Large buffers prevent packet
// loss during bursts. The operating system may grant less.
const socketBufferBytes = 4 << 20

// Listen opens a socket on this UDP address, an IPv4 address and port. It returns an error when the address is
// malformed or the socket cannot be opened.
func Listen(address string) (*net.UDPConn, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}
