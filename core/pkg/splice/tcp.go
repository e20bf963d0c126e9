package splice

import "net"

// TCPConn is a Side over a connection of the operating system.
type TCPConn struct {
	*net.TCPConn
}

// NewTCPConn returns the side of c.
func NewTCPConn(c *net.TCPConn) TCPConn {
	return TCPConn{c}
}

// Reset closes the connection with a RST.
func (t TCPConn) Reset() {
	_ = t.SetLinger(0)
	_ = t.Close()
}
