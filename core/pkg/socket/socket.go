// Package socket opens the sockets on which packets arrive.
package socket

import (
	"net"
	"net/netip"

	"github.com/gravitational/trace"
)

// bufferBytes is the size asked for the buffers of a socket, which take up bursts.
const bufferBytes = 4 << 20

// Listen opens a socket on this UDP address, an IP and port.
// It returns an error when the address cannot be used.
func Listen(address string) (*net.UDPConn, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	_ = conn.SetReadBuffer(bufferBytes)
	_ = conn.SetWriteBuffer(bufferBytes)
	return conn, nil
}
