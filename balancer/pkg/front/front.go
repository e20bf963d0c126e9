// Package front is the traffic side of a balancer: it reads packets from the fabric, routes them
// by the newest view and sends them along their chain. It holds no state of any flow.
package front

import (
	"net"
	"net/netip"

	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/route"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
)

// RoutingSource returns the newest view and keys.
type RoutingSource func() (*route.View, *envelope.Keys)

// Forwarder reads and sends packets with several workers.
type Forwarder struct {
	common  common.Telemetry
	conn    *net.UDPConn
	address netip.AddrPort
	source  RoutingSource
	done    *common.Stopper
}

// New returns a front that listens on this UDP address, an IP and port.
// It returns an error when the address cannot be used.
func New(c common.Telemetry, address string, source RoutingSource) (*Forwarder, error) {
	conn, err := socket.Listen(address)
	if err != nil {
		return nil, err
	}
	home := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return &Forwarder{common: c, conn: conn, address: home, source: source, done: common.NewStopper()}, nil
}

// Start starts this number of workers.
func (f *Forwarder) Start(workers int) {
	for range workers {
		w := newWorker(f.common.Counters(), f.conn, f.address, f.source)
		f.done.Go(w.run)
	}
}

// Stop closes the socket and waits for the workers.
func (f *Forwarder) Stop() {
	f.done.Close()
	_ = f.conn.Close()
	f.done.Wait()
}
