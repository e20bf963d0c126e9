package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// maxResetDistance is the largest distance between the number of a reset and the client's last acknowledgement.
const maxResetDistance = 76800

// checkInterval is the interval at which the platform asks a balancer whether it is ready.
const checkInterval = 500 * time.Millisecond

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer")
)

// router selects a balancer for each packet by rendezvous hashing over the balancers in rotation (hash_mode steady).
type router struct {
	mu        sync.Mutex
	fronts    []netip.AddrPort
	readiness []string
	misses    []int
	stop      chan struct{}
}

func newRouter(fronts []netip.AddrPort, readiness []string) *router {
	r := &router{fronts: fronts, readiness: readiness, misses: make([]int, len(fronts)), stop: make(chan struct{})}
	for i := range readiness {
		go r.check(i)
	}
	return r
}

// check asks a balancer twice a second whether it is ready. After two misses it is out of rotation until it answers again.
func (r *router) check(i int) {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		isReady := false
		if response, err := client.Get("http://" + r.readiness[i] + "/v1/readiness"); err == nil {
			isReady = response.StatusCode == http.StatusOK
			_ = response.Body.Close()
		}
		r.mu.Lock()
		r.misses[i]++
		if isReady {
			r.misses[i] = 0
		}
		r.mu.Unlock()
		select {
		case <-r.stop:
			return
		case <-time.After(checkInterval):
		}
	}
}

// route returns the index of the balancer for packets of a flow; all are used while none is in rotation.
func (r *router) route(src, dst netip.AddrPort) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, bestScore := 0, uint64(0)
	for pass := range 2 {
		for i := range r.fronts {
			h := fnv.New64a()
			fmt.Fprintf(h, "%s %s %d", src, dst, i)
			if score := h.Sum64() * 0x9E3779B97F4A7C15; (pass == 1 || r.misses[i] < 2) && score > bestScore {
				best, bestScore = i, score
			}
		}
		if bestScore > 0 {
			break
		}
	}
	return best
}

// clientHost is the machine of clients: one address, at whose front port all their packets arrive.
type clientHost struct {
	ip       netip.Addr
	conn     *net.UDPConn
	router   *router
	mu       sync.Mutex
	flows    map[[2]netip.AddrPort]*flow
	nextPort uint16
}

func newClientHost(address netip.AddrPort, r *router) (*clientHost, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	h := &clientHost{ip: address.Addr(), conn: conn, router: r, flows: map[[2]netip.AddrPort]*flow{}, nextPort: 20000}
	go h.receive()
	return h, nil
}

func (h *clientHost) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := parsePacket(b[:n])
		if !ok {
			continue
		}
		h.mu.Lock()
		f := h.flows[[2]netip.AddrPort{p.dst, p.src}]
		h.mu.Unlock()
		if f != nil {
			select {
			case f.packets <- p:
			default:
			}
		}
	}
}

// flow is a client's end of a flow.
type flow struct {
	host     *clientHost
	src, dst netip.AddrPort
	seq, ack uint32
	packets  chan packet
}

func (f *flow) send(p packet) {
	p.src, p.dst = f.src, f.dst
	_, _ = f.host.conn.WriteToUDPAddrPort(p.bytes(), f.host.router.fronts[f.balancer()])
}

// balancer returns the index of the balancer that gets the flow's packets now.
func (f *flow) balancer() int { return f.host.router.route(f.src, f.dst) }

// open opens a flow from a new port: SYNs at 0, 200 and 600 ms, end after 1.4 s.
func (h *clientHost) open(dst netip.AddrPort) (*flow, error) {
	h.mu.Lock()
	h.nextPort++
	f := &flow{host: h, src: netip.AddrPortFrom(h.ip, h.nextPort), dst: dst, seq: rand.Uint32N(1 << 30), packets: make(chan packet, 64)}
	h.flows[[2]netip.AddrPort{f.src, f.dst}] = f
	h.mu.Unlock()
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(copies)})
		p, err := f.await(wait, func(p packet) bool { return p.flags&flagSYN != 0 })
		if errors.Is(err, errTimeout) {
			continue
		}
		if err != nil {
			f.forget()
			return nil, err
		}
		f.seq, f.ack = f.seq+1, p.seq+1
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
		return f, nil
	}
	f.forget()
	return nil, errTimeout
}

// await returns the next packet that is wanted.
func (f *flow) await(wait time.Duration, isWanted func(packet) bool) (packet, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case p := <-f.packets:
			if p.flags&flagRST != 0 {
				if !f.accepts(p) {
					continue
				}
				return p, errReset
			}
			if isWanted(p) {
				return p, nil
			}
		case <-timer.C:
			return packet{}, errTimeout
		}
	}
}

// accepts reports whether the client takes a reset: any one while the flow is not open, and else one whose number is close to
// the client's last acknowledgement.
func (f *flow) accepts(reset packet) bool {
	distance := int32(reset.seq - f.ack)
	return f.ack == 0 || max(distance, -distance) <= maxResetDistance
}

// request sends a request of one packet, again after 200 ms, 400 ms and so on up to 1.6 s, until its answer arrives or the
// deadline has passed.
func (f *flow) request(id string, deadline time.Duration) (string, error) {
	payload := []byte("GET / HTTP/1.1\r\nHost: x\r\nX-Crocuslanding-Request-Id: " + id + "\r\n\r\n")
	end, until := f.seq+uint32(len(payload)), time.Now().Add(deadline)
	for wait := 200 * time.Millisecond; time.Now().Before(until); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, payload: payload})
		p, err := f.await(min(wait, time.Until(until)), func(p packet) bool { return len(p.payload) > 0 && p.seq == f.ack && p.ack == end })
		if errors.Is(err, errTimeout) {
			continue
		}
		if err != nil {
			return "", err
		}
		f.seq, f.ack = end, p.seq+uint32(len(p.payload))
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
		return string(p.payload), nil
	}
	return "", errTimeout
}

// end ends the flow with a FIN.
func (f *flow) end() {
	f.send(packet{flags: flagACK | flagFIN, seq: f.seq, ack: f.ack})
	if p, err := f.await(300*time.Millisecond, func(p packet) bool { return p.flags&flagFIN != 0 }); err == nil {
		f.send(packet{flags: flagACK, seq: f.seq + 1, ack: p.seq + 1})
	}
	f.forget()
}

func (f *flow) forget() {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	delete(f.host.flows, [2]netip.AddrPort{f.src, f.dst})
}
