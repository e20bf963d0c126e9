package splice

import "net"

// TCP is a Side over a connection of the operating system.
type TCP struct {
	*net.TCPConn
}

// NewTCP returns the side of c.
func NewTCP(c *net.TCPConn) TCP {
	return TCP{c}
}

// Reset closes the connection with a RST.
func (t TCP) Reset() {
	_ = t.SetLinger(0)
	_ = t.Close()
}
