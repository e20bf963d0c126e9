// Package front implements the data plane of a balancer. It reads packets from the fabric, the network between callers
// and balancers, routes them by the newest routing view and sends them along their chains of sidecars. A chain lists the
// sidecars (hops) that get a packet one after another until one of them holds or admits its flow. The balancer sends a
// chain in parts, and keeps no state per flow.
package front

import (
	"net"
	"net/netip"

	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/route"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
)

// RoutingSource returns the newest routing view, and the keys with which datagrams to and from sidecars are signed. It is
// called for each packet, by all workers.
type RoutingSource func() (*route.View, *envelope.Keys)

// Forwarder reads packets from one UDP socket and forwards them, with several workers.
type Forwarder struct {
	telemetry    common.Telemetry
	conn         *net.UDPConn
	localAddress netip.AddrPort
	source       RoutingSource
	stopper      *common.Stopper
}

// New returns a forwarder that listens on this UDP address (IP address and port). It returns an error when the address
// cannot be used.
func New(telemetry common.Telemetry, address string, source RoutingSource) (*Forwarder, error) {
	conn, err := socket.Listen(address)
	if err != nil {
		return nil, err
	}
	localAddress := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return &Forwarder{telemetry: telemetry, conn: conn, localAddress: localAddress, source: source, stopper: common.NewStopper()}, nil
}

// Start starts the given number of workers.
func (f *Forwarder) Start(workerCount int) {
	for range workerCount {
		w := newWorker(f.telemetry.Counters(), f.conn, f.localAddress, f.source)
		f.stopper.Go(w.run)
	}
}

// Stop closes the socket and waits until the workers have ended.
func (f *Forwarder) Stop() {
	f.stopper.Close()
	_ = f.conn.Close()
	f.stopper.Wait()
}
