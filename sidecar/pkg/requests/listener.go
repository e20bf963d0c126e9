package requests

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
)

// listener passes the connections of flows whose handshake is complete to the HTTP server. It implements
// net.Listener.
type listener struct {
	conns   chan net.Conn
	stopper *common.Stopper
}

func newListener() *listener {
	return &listener{conns: make(chan net.Conn), stopper: common.NewStopper()}
}

// add passes one connection to Accept. It returns false when the listener is closed.
func (l *listener) add(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.stopper.C():
		return false
	}
}

// Accept returns the next connection. It returns net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.stopper.C():
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *listener) Close() error {
	l.stopper.Close()
	return nil
}

// Addr returns the zero address, since the listener accepts connections to any address.
func (*listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPort{})
}

// callerConn is the connection of a caller. Close resets it after setResetOnClose, and otherwise ends it
// with a FIN.
type callerConn struct {
	*netstack.Conn
	customer     string
	resetOnClose atomic.Bool
	closeOnce    sync.Once
}

// setResetOnClose makes Close reset the connection, so that the caller does not mistake a truncated
// response for a complete one.
func (c *callerConn) setResetOnClose() {
	c.resetOnClose.Store(true)
}

// Close ends the connection, with a reset if setResetOnClose was called.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() {
		if c.resetOnClose.Load() {
			c.Reset()
		}
	})
	return c.Conn.Close()
}
