package splice

import "net"

// TCPConn is a Conn over a TCP connection of the operating system.
type TCPConn struct {
	*net.TCPConn
}

// NewTCPConn returns a TCPConn over c.
func NewTCPConn(c *net.TCPConn) TCPConn {
	return TCPConn{c}
}

// Reset closes the connection with a TCP reset.
func (t TCPConn) Reset() {
	_ = t.SetLinger(0)
	_ = t.Close()
}
