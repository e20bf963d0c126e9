package requests

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
)

// listener hands flows whose handshake is complete to the HTTP server.
type listener struct {
	conns   chan net.Conn
	stopper *common.Stopper
}

func newListener() *listener {
	return &listener{conns: make(chan net.Conn), stopper: common.NewStopper()}
}

// add hands over one flow. It returns false when the server has stopped.
func (l *listener) add(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.stopper.C():
		return false
	}
}

// Accept returns the next flow.
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

// Addr returns no particular address, since flows to every address are taken.
func (*listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPort{})
}

// callerConn is a flow that can be made to end with a reset in place of a clean end.
type callerConn struct {
	*netstack.Conn
	customer     string
	resetOnClose atomic.Bool
	once         sync.Once
}

// markBroken makes Close reset the flow, so that the caller does not take a short answer for whole.
func (c *callerConn) setResetOnClose() {
	c.resetOnClose.Store(true)
}

// Close ends the flow.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		if c.resetOnClose.Load() {
			c.Reset()
		}
	})
	return c.Conn.Close()
}
