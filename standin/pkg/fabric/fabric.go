// Package fabric is a stand-in for the fabric, the network between callers and balancers, which may send any packet to
// any balancer. It accepts ordinary TCP connections of clients. For each of them it opens a flow with a TCP/IP stack in
// user space, and it sends every packet of the flow to a balancer chosen at random.
package fabric

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/netstack"
	"github.com/crocuslanding/crocuslanding/core/pkg/packet"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
)

// Fabric is the stand-in for the fabric.
type Fabric struct {
	telemetry common.Telemetry
	conn      *net.UDPConn
	stack     *netstack.Stack
	flows     *flowTracker
	listeners []*listener
	stopper   *common.Stopper

	// mu guards random and balancers.
	mu        sync.Mutex
	random    *rand.Rand
	balancers []netip.AddrPort
}

// New returns a fabric with these settings. Start must be called. New returns an error if an address cannot be used.
func New(telemetry common.Telemetry, settings landing.FabricSettings) (*Fabric, error) {
	conn, err := socket.Listen(settings.Front())
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		telemetry: telemetry,
		conn:      conn,
		flows:     newFlowTracker(),
		stopper:   common.NewStopper(),
		random:    rand.New(rand.NewPCG(settings.Seed(), settings.Seed())),
	}
	f.SetBalancers(settings.Balancers())
	if f.stack, err = netstack.New(f.sendToRandomBalancer); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := f.openListeners(settings.Listeners()); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// openListeners opens the listeners with these settings.
func (f *Fabric) openListeners(settings []landing.ListenerSettings) error {
	for _, s := range settings {
		l, err := newListener(s, f.stack)
		if err != nil {
			return err
		}
		f.listeners = append(f.listeners, l)
	}
	return nil
}

// SetBalancers sets the UDP addresses of the balancers to which packets are sent from now on. Addresses that are not valid
// are ignored.
func (f *Fabric) SetBalancers(addresses []string) {
	var balancers []netip.AddrPort
	for _, text := range addresses {
		if a, err := netip.ParseAddrPort(text); err == nil {
			balancers = append(balancers, a)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = balancers
}

// ReplyAddress returns the UDP address at which the fabric receives the packets that sidecars send to callers.
func (f *Fabric) ReplyAddress() string {
	return f.conn.LocalAddr().String()
}

// Stack returns the TCP/IP stack. With it, a client can open flows without a listener, from any caller address.
func (f *Fabric) Stack() *netstack.Stack {
	return f.stack
}

// Start starts to accept connections and to receive packets.
func (f *Fabric) Start() {
	f.stopper.Go(f.receiveReplies)
	for _, l := range f.listeners {
		f.stopper.Go(l.acceptConnections)
	}
}

// Stop resets all connections, closes all sockets and waits for the goroutines to end.
func (f *Fabric) Stop() {
	f.stopper.Close()
	for _, l := range f.listeners {
		l.stop()
	}
	_ = f.conn.Close()
	f.stopper.Wait()
	f.stack.Close()
}

// DropOpenFlows makes the fabric drop the packets of all flows that have been opened so far, in both directions. Packets
// of flows that are opened later pass.
func (f *Fabric) DropOpenFlows() {
	f.flows.dropOpen()
}

// sendToRandomBalancer sends an IP packet of a client to a balancer chosen at random, unless its flow is dropped or there
// is no balancer.
func (f *Fabric) sendToRandomBalancer(b []byte) {
	if s, err := packet.Parse(b); err == nil && f.flows.isDropped(s.Key(), s.IsSyn()) {
		return
	}
	balancer, ok := f.randomBalancer()
	if !ok {
		return
	}
	if _, err := f.conn.WriteToUDPAddrPort(b, balancer); err != nil {
		f.telemetry.Counters().Counter("write_failed").Inc(1)
	}
}

// randomBalancer returns the address of a balancer chosen at random, or false if there is none.
func (f *Fabric) randomBalancer() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 {
		return netip.AddrPort{}, false
	}
	return f.balancers[f.random.IntN(len(f.balancers))], true
}

// receiveReplies passes the packets that sidecars send to the TCP/IP stack, unless their flow is dropped. It returns when
// the socket is closed.
func (f *Fabric) receiveReplies() {
	b := make([]byte, packet.MaxBytes+1)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > packet.MaxBytes {
			f.telemetry.Counters().Counter("read_failed").Inc(1)
			continue
		}
		// The argument false: only the SYN of a caller opens a flow.
		if s, err := packet.ParseReply(b[:n]); err == nil && f.flows.isDropped(s.Key(), false) {
			continue
		}
		f.stack.Inject(b[:n])
	}
}
