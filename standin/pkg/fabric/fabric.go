// Package fabric is a stand-in for the fabric: it takes ordinary TCP connections of clients, turns
// each into IP packets, and hands every packet to a balancer chosen at random.
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

// Fabric is the stand-in.
type Fabric struct {
	common    common.Telemetry
	conn      *net.UDPConn
	stack     *netstack.Stack
	memory    *memory
	listeners []*listener
	done      *common.Stopper

	mu        sync.Mutex
	random    *rand.Rand
	balancers []netip.AddrPort
}

// New returns a fabric with these settings. It returns an error when an address cannot be used.
func New(c common.Telemetry, s landing.FabricSettings) (*Fabric, error) {
	conn, err := socket.Listen(s.Front())
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		common: c,
		conn:   conn,
		memory: newMemory(),
		done:   common.NewStopper(),
		random: rand.New(rand.NewPCG(s.Seed(), s.Seed())),
	}
	f.SetBalancers(s.Balancers())
	if f.stack, err = netstack.New(f.spray); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := f.listen(s.Listeners()); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fabric) listen(all []landing.ListenerSettings) error {
	for _, s := range all {
		l, err := newListener(s, f.stack)
		if err != nil {
			return err
		}
		f.listeners = append(f.listeners, l)
	}
	return nil
}

// SetBalancers sets the UDP addresses of the balancers that take packets from now on.
func (f *Fabric) SetBalancers(addresses []string) {
	var list []netip.AddrPort
	for _, text := range addresses {
		if a, err := netip.ParseAddrPort(text); err == nil {
			list = append(list, a)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = list
}

// ReplyAddress returns the UDP address on which answers of sidecars arrive.
func (f *Fabric) ReplyAddress() string {
	return f.conn.LocalAddr().String()
}

// Stack returns the stack, for clients that dial from an address of their own.
func (f *Fabric) Stack() *netstack.Stack {
	return f.stack
}

// Start starts all listeners.
func (f *Fabric) Start() {
	f.done.Go(f.receive)
	for _, l := range f.listeners {
		f.done.Go(l.run)
	}
}

// Stop ends all connections and waits for the goroutines.
func (f *Fabric) Stop() {
	f.done.Close()
	for _, l := range f.listeners {
		l.stop()
	}
	_ = f.conn.Close()
	f.done.Wait()
	f.stack.Close()
}

// DropOpenFlows makes the fabric lose track of all flows that are open: their packets are dropped in both
// directions, while new flows pass.
func (f *Fabric) DropOpenFlows() {
	f.memory.forget()
}

// spray sends the packet to a balancer chosen at random.
func (f *Fabric) spray(b []byte) {
	if s, err := packet.Parse(b); err == nil && f.memory.isForgotten(s.Key(), s.IsSyn()) {
		return
	}
	to, ok := f.choose()
	if !ok {
		return
	}
	if _, err := f.conn.WriteToUDPAddrPort(b, to); err != nil {
		f.common.Counters().Counter("write_failed").Inc(1)
	}
}

func (f *Fabric) choose() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 {
		return netip.AddrPort{}, false
	}
	return f.balancers[f.random.IntN(len(f.balancers))], true
}

// receive takes the answers of sidecars.
func (f *Fabric) receive() {
	b := make([]byte, packet.MaxBytes+1)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > packet.MaxBytes {
			f.common.Counters().Counter("read_failed").Inc(1)
			continue
		}
		if s, err := packet.ParseReply(b[:n]); err == nil && f.memory.isForgotten(s.Key(), false) {
			continue
		}
		f.stack.Inject(b[:n])
	}
}
