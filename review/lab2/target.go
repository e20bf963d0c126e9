package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// beatInterval is the time between two heartbeats of a target.
const beatInterval = 770 * time.Millisecond

// flowKey names a flow: the ends of the client and of the route.
type flowKey struct{ src, dst netip.AddrPort }

// targetFlow is a flow at a target.
type targetFlow struct {
	seq      uint32 // the target's initial number
	isOpen   bool
	received uint32 // the number after the last request
	answer   packet
}

// target is a stand-in for a target: it holds flows, answers each request with its service, its id and the request, and
// sends heartbeats to its sidecar.
type target struct {
	id, service, zone string
	address, outbound netip.AddrPort
	control           string
	born              int64
	conn              *net.UDPConn
	health            net.Listener
	done              chan struct{}
	ended             sync.WaitGroup
	record            *record

	mu    sync.Mutex
	flows map[flowKey]*targetFlow
	runs  map[string]int
}

func newTarget(r *record, id, service, zone string, address, outbound netip.AddrPort, control string) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", address.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	t := &target{
		id: id, service: service, zone: zone, address: address, outbound: outbound, control: control, born: time.Now().UnixMilli(),
		conn: conn, health: health, done: make(chan struct{}), record: r, flows: map[flowKey]*targetFlow{}, runs: map[string]int{},
	}
	t.ended.Go(t.receive)
	t.ended.Go(t.beat)
	go func() {
		_ = http.Serve(health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	}()
	return t, nil
}

// crash ends the target. Its flows are lost.
func (t *target) crash() {
	close(t.done)
	_ = t.conn.Close()
	_ = t.health.Close()
	t.ended.Wait()
}

func (t *target) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			select {
			case <-t.done:
				return
			default:
				continue
			}
		}
		if p, ok := parse(b[:n]); ok {
			t.handle(p, b[:n])
		}
	}
}

// handle answers a packet. A packet of a flow that the target does not hold goes back with BOUNCED set.
func (t *target) handle(p packet, raw []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := t.flows[key]
	if p.flags&flagSYN != 0 {
		if f == nil {
			f = &targetFlow{seq: rand.Uint32(), received: p.seq + 1}
			t.flows[key] = f
		}
		t.send(packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: f.seq, ack: p.seq + 1})
		return
	}
	if f == nil || !f.isOpen && p.ack != f.seq+1 {
		raw[18] |= flagBOUNCED
		clear(raw[19:24])
		_, _ = t.conn.WriteToUDPAddrPort(raw, t.outbound)
		return
	}
	if p.flags&flagRST != 0 {
		delete(t.flows, key)
		return
	}
	f.isOpen = true
	if len(p.data) == 0 {
		if p.flags&flagFIN != 0 {
			t.send(packet{src: p.dst, dst: p.src, flags: flagFIN | flagACK, seq: p.ack, ack: p.seq + 1})
		}
		return
	}
	if p.seq == f.received {
		f.received = p.seq + uint32(len(p.data))
		t.runs[string(p.data)]++
		t.record.write("target %s (%s) runs %s of %s", t.id, t.service, p.data, p.src)
		f.answer = packet{src: p.dst, dst: p.src, flags: flagACK, seq: p.ack, ack: f.received, data: fmt.Appendf(nil, "%s %s %s", t.service, t.id, p.data)}
	}
	if f.answer.ack == p.seq+uint32(len(p.data)) {
		t.send(f.answer)
	}
}

func (t *target) send(p packet) {
	_, _ = t.conn.WriteToUDPAddrPort(p.bytes(), t.outbound)
}

func (t *target) beat() {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	defer client.CloseIdleConnections()
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_remain_ms": 0, "seq": seq, "born": t.born,
		})
		if r, err := client.Post("http://"+t.control+"/v1/Instances.Heartbeat/"+t.id, "application/json", bytes.NewReader(body)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
		}
		select {
		case <-t.done:
			return
		case <-ticker.C:
		}
	}
}
