package relayed

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/wire"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
)

// statusProxy forwards datagrams between one balancer and one sidecar and can drop the sidecar's statuses. The balancer's
// list of sidecars contains the proxy's address instead of the sidecar's, and the sidecar receives the proxy's address as
// that of the balancer.
type statusProxy struct {
	conn              *net.UDPConn
	balancer, sidecar netip.AddrPort
	drops             atomic.Bool
	// isCut reports whether the proxy drops all datagrams.
	isCut atomic.Bool
	// dropped is the number of statuses that were dropped.
	dropped atomic.Int64
}

func newStatusProxy(t *testing.T, balancer, sidecar netip.AddrPort) *statusProxy {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.New(t).NoErr(err)
	p := &statusProxy{conn: conn, balancer: balancer, sidecar: sidecar}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.run()
	}()
	t.Cleanup(func() {
		_ = conn.Close()
		<-done
	})
	return p
}

func (p *statusProxy) address() netip.AddrPort {
	return p.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// run forwards datagrams until the socket is closed.
func (p *statusProxy) run() {
	b := make([]byte, 4096) // longer than any datagram
	for {
		n, err := p.conn.Read(b)
		if err != nil {
			return
		}
		if d, err := wire.ParseDatagram(b[:n]); err == nil {
			p.pass(d)
		}
	}
}

// pass forwards a datagram. In one for the sidecar, the proxy's address replaces that of the balancer, so that the sidecar
// responds through the proxy.
func (p *statusProxy) pass(d landing.Datagram) {
	if p.isCut.Load() {
		return
	}
	own := address.PackAddrPort(p.address())
	switch d := d.(type) {
	case landing.SidecarStatus:
		if p.drops.Load() {
			p.dropped.Add(1)
			return
		}
		p.send(d, p.balancer)
	case landing.ReturnedPacket, landing.FlowClaim, landing.IndirectProbeAck:
		p.send(d, p.balancer)
	case landing.ForwardedPacket:
		p.send(d.WithBalancerAddress(own), p.sidecar)
	case landing.StatusSubscription:
		p.send(d.WithBalancerAddress(own), p.sidecar)
	case landing.IndirectProbe:
		p.send(d, p.sidecar)
	}
}

func (p *statusProxy) send(d landing.Datagram, to netip.AddrPort) {
	_, _ = p.conn.WriteToUDPAddrPort(wire.AppendDatagram(nil, d), to)
}

// bufferedResponse is a response whose body is changed before it is sent.
type bufferedResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) WriteHeader(status int)         { b.status = status }
func (b *bufferedResponse) Write(body []byte) (int, error) { return b.body.Write(body) }

// startBehindProxies restarts balancer number i so that it reaches each sidecar through a proxy, and returns the proxies.
// The balancer gets its own view of the platform, in which the proxies' addresses replace those of the sidecars.
func startBehindProxies(t *testing.T, f *Fleet, i int) []*statusProxy {
	var proxies []*statusProxy
	for _, n := range f.nodes {
		proxies = append(proxies, newStatusProxy(t, f.address(f.ip(0, i+1), portOffsetFleet), f.address(n.ip, portOffsetFleet)))
	}
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := &bufferedResponse{ResponseWriter: w, status: http.StatusOK}
		f.Store().Handler().ServeHTTP(response, r)
		body := response.body.Bytes()
		for _, p := range proxies {
			body = bytes.ReplaceAll(body, []byte(`"`+p.sidecar.String()+`"`), []byte(`"`+p.address().String()+`"`))
		}
		w.WriteHeader(response.status)
		_, _ = w.Write(body)
	}))
	f.StopBalancer(i)
	f.platforms["edge-"+strconv.Itoa(i)] = netip.MustParseAddrPort(platform.Listener.Addr().String())
	is.New(t).NoErr(f.StartBalancer(i))
	t.Cleanup(platform.Close)
	awaitAllUpstreamsReachable(t, f, i)
	return proxies
}

// Guards against new flows that a balancer refuses or loses because it gets no statuses for 2 s, while another balancer
// places them. Three quarters of the slots are used.
func TestStatusLossAtOneBalancer(t *testing.T) {
	const (
		sidecars, slots = 4, 4
		serviceTime     = 100 * time.Millisecond
		utilization     = 0.75
		lossTime        = 2 * time.Second
	)
	is := is.New(t)
	f := startFleetWith(t, Config{Balancers: 2, Sidecars: sidecars, Slots: slots, ServiceTime: serviceTime, RequestTimeout: requestTimeout})
	proxies := startBehindProxies(t, f, 1)
	perSecond := utilization * sidecars * slots / serviceTime.Seconds()
	c := &callers{fleet: f, timeout: requestTimeout}
	c.arrive(time.Second, perSecond)
	for _, p := range proxies {
		p.drops.Store(true)
	}
	c.arrive(lossTime, perSecond)
	for _, p := range proxies {
		is.True(p.dropped.Load() > 0)
		p.drops.Store(false)
	}
	c.arrive(time.Second, perSecond)
	for _, r := range c.wait() {
		if !r.isAnswered {
			t.Errorf("%s was not answered: %d refusals, %d flows abandoned, error %v", r.request, len(r.refusals), r.abandoned, r.err)
		}
	}
	for i := range f.nodes {
		is.True(f.Upstream(i).OpenedFlows() > 0)
	}
	is.Equal(len(f.Store().ObjectNames("sidecars")), sidecars) // no enrollment was removed
}
