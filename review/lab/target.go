package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// beatInterval is the interval between two heartbeats of a target.
const beatInterval = 770 * time.Millisecond

// targetFlow is one flow at a target.
type targetFlow struct {
	seq        uint32
	clientSeq  uint32
	isOpen     bool
	isEnded    bool
	openedAt   time.Time
	answered   map[uint32][]byte
	nextSeq    uint32
	hasFinSent bool
}

// target is one incarnation of a target, as PROTOCOL.md describes it.
type target struct {
	mu       sync.Mutex
	lab      *lab
	id       string
	service  string
	zone     string
	app      netip.AddrPort
	outbound netip.AddrPort
	control  netip.AddrPort
	born     time.Time
	flows    map[[2]netip.AddrPort]*targetFlow
	conn     *net.UDPConn
	health   net.Listener
	done     chan struct{}
	wg       sync.WaitGroup
	beatSeq  int
	// opened counts the opening packets that the target took.
	opened int
}

// startTarget starts an incarnation. It sends its first heartbeat after firstBeat, and then one in each beat interval.
func (l *lab) startTarget(id string, n *side, firstBeat time.Duration) *target {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.app()))
	l.must(err)
	health, err := net.Listen("tcp4", n.app().String())
	l.must(err)
	t := &target{
		lab: l, id: id, service: n.service, zone: n.zone, app: n.app(), outbound: n.outbound(), control: n.control(),
		born: time.Now(), flows: map[[2]netip.AddrPort]*targetFlow{}, conn: conn, health: health, done: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	t.wg.Go(func() { _ = http.Serve(health, mux) })
	t.wg.Go(t.read)
	t.wg.Go(func() { t.beat(firstBeat) })
	l.logf("target %s starts at %s", id, t.app)
	return t
}

// crash ends the incarnation without a word.
func (t *target) crash() {
	close(t.done)
	_ = t.conn.Close()
	_ = t.health.Close()
	t.wg.Wait()
	t.lab.logf("target %s crashes", t.id)
}

// holds reports whether the target has the flow open, and since when.
func (t *target) holds(key [2]netip.AddrPort) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, found := t.flows[key]
	if !found || !f.isOpen || f.isEnded {
		return time.Time{}, false
	}
	return f.openedAt, true
}

func (t *target) isRunning() bool {
	select {
	case <-t.done:
		return false
	default:
		return true
	}
}

func (t *target) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(b)
		if !t.isRunning() {
			return
		}
		if err != nil {
			continue
		}
		if p, ok := parsePacket(b[:n]); ok {
			t.handle(p, append([]byte(nil), b[:n]...))
		}
	}
}

func (t *target) handle(p packet, raw []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := [2]netip.AddrPort{p.src, p.dst}
	f, found := t.flows[key]
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK != 0:
		return
	case p.flags&flagSYN != 0:
		if !found || f.clientSeq != p.seq {
			f = &targetFlow{seq: rand.Uint32(), clientSeq: p.seq, answered: map[uint32][]byte{}}
			t.flows[key] = f
			t.opened++
			t.lab.logf("target %s takes the opening packet of %s", t.id, p.src)
		}
		t.send(packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: f.seq, ack: p.seq + 1})
		return
	case !found || !f.isOpen && p.ack != f.seq+1:
		raw[offsetFlags] |= flagBounced
		clear(raw[offsetPad : offsetPad+5])
		_, _ = t.conn.WriteToUDPAddrPort(raw, t.outbound)
		return
	}
	if !f.isOpen {
		f.isOpen, f.openedAt, f.nextSeq = true, time.Now(), f.seq+1
	}
	switch {
	case f.isEnded && len(p.payload) > 0:
		t.send(packet{src: p.dst, dst: p.src, flags: flagRST, seq: f.nextSeq})
	case p.flags&flagRST != 0:
		f.isEnded = true
	case p.flags&flagFIN != 0:
		f.isEnded = true
		t.send(packet{src: p.dst, dst: p.src, flags: flagACK | flagFIN, seq: f.nextSeq, ack: p.seq + 1})
	case len(p.payload) > 0:
		response, isKnown := f.answered[p.seq]
		if !isKnown {
			t.lab.logf("target %s runs %q of %s", t.id, p.payload, p.src)
			response = packet{src: p.dst, dst: p.src, flags: flagACK, seq: f.nextSeq, ack: p.seq + uint32(len(p.payload)), sum: endpointSum, payload: []byte(t.id + ":" + string(p.payload))}.bytes()
			f.nextSeq += uint32(len(t.id) + 1 + len(p.payload))
			f.answered[p.seq] = response
		}
		_, _ = t.conn.WriteToUDPAddrPort(response, t.outbound)
	}
}

func (t *target) send(p packet) {
	p.sum = endpointSum
	_, _ = t.conn.WriteToUDPAddrPort(p.bytes(), t.outbound)
}

// heartbeatCall returns the body of the next heartbeat.
func (t *target) heartbeatCall() map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beatSeq++
	return map[string]any{
		"service": t.service, "address": t.app.String(), "zone": t.zone, "version": "v1", "slots": 8,
		"state": "ready", "cold_remain_ms": 0, "seq": t.beatSeq, "born": t.born.UnixMilli(),
	}
}

func (t *target) beat(first time.Duration) {
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-t.done:
			return
		case <-timer.C:
		}
		timer.Reset(beatInterval)
		postHeartbeat(t.control, t.id, t.heartbeatCall())
	}
}

// postHeartbeat makes one heartbeat call and returns its status, 0 without an answer.
func postHeartbeat(control netip.AddrPort, id string, body map[string]any) int {
	b, _ := json.Marshal(body)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(fmt.Sprintf("http://%s/v1/Instances.Heartbeat/%s", control, id), "application/json", bytes.NewReader(b))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
