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

const (
	beatInterval = 770 * time.Millisecond
	slots        = 8
)

// targetFlow is a flow at a target.
type targetFlow struct {
	isOpen       bool
	next         uint32 // the next sequence number that the target sends
	expected     uint32 // the next sequence number of the client
	lastResponse []byte
}

// target is a stand-in for a target on a side machine.
type target struct {
	id, service, zone string
	app, outbound     netip.AddrPort
	control           string
	born              int64
	conn              *net.UDPConn
	health            net.Listener
	mu                sync.Mutex
	flows             map[[2]netip.AddrPort]*targetFlow
	stop              chan struct{}
	onRun             func(t *target, flow [2]netip.AddrPort, request string)
	onOpening         func(t *target, flow [2]netip.AddrPort)
}

func (t *target) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.app))
	if err != nil {
		return err
	}
	if t.health, err = net.Listen("tcp4", t.app.String()); err != nil {
		return err
	}
	t.conn, t.born, t.flows, t.stop = conn, time.Now().UnixMilli(), map[[2]netip.AddrPort]*targetFlow{}, make(chan struct{})
	go func() { _ = http.Serve(t.health, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	go t.receive()
	go t.beat()
	return nil
}

func (t *target) close() {
	close(t.stop)
	_ = t.conn.Close()
	_ = t.health.Close()
}

func (t *target) beat() {
	client := &http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": t.service, "address": t.app.String(), "zone": t.zone, "version": "v1",
			"slots": slots, "state": "ready", "cold_remain_ms": 0, "seq": seq, "born": t.born,
		})
		if response, err := client.Post("http://"+t.control+"/v1/Instances.Heartbeat/"+t.id, "application/json", bytes.NewReader(body)); err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-t.stop:
			return
		case <-time.After(beatInterval):
		}
	}
}

func (t *target) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			select {
			case <-t.stop:
				return
			default:
				continue
			}
		}
		if p, ok := parsePacket(b[:n]); ok {
			t.handle(p, bytes.Clone(b[:n]))
		}
	}
}

func (t *target) send(b []byte) { _, _ = t.conn.WriteToUDPAddrPort(b, t.outbound) }

// handle handles a packet of a client.
func (t *target) handle(p packet, raw []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := [2]netip.AddrPort{p.src, p.dst}
	f, found := t.flows[key]
	reply := func(flags byte, payload []byte) []byte {
		b := packet{src: p.dst, dst: p.src, flags: flags, seq: f.next, ack: f.expected, payload: payload}.bytes()
		t.send(b)
		return b
	}
	switch {
	case p.flags&flagSYN != 0 && !found:
		f = &targetFlow{next: rand.Uint32N(1 << 30), expected: p.seq + 1}
		t.flows[key] = f
		t.onOpening(t, key)
		reply(flagSYN|flagACK, nil)
		f.next++
	case p.flags&flagSYN != 0:
		if !f.isOpen {
			f.next--
			reply(flagSYN|flagACK, nil)
			f.next++
		}
	case !found:
		raw[18] |= flagBounced
		clear(raw[19:24])
		t.send(raw)
	case p.flags&flagRST != 0:
		delete(t.flows, key)
	default:
		f.isOpen = true
		if len(p.payload) > 0 {
			t.handleRequest(f, key, p, reply)
		}
		if p.flags&flagFIN != 0 {
			f.expected = p.seq + uint32(len(p.payload)) + 1
			reply(flagFIN|flagACK, nil)
			time.AfterFunc(3*time.Second, func() {
				t.mu.Lock()
				defer t.mu.Unlock()
				delete(t.flows, key)
			})
		}
	}
}

// handleRequest runs a request, or answers a repeated packet again. Each request is one packet.
func (t *target) handleRequest(f *targetFlow, key [2]netip.AddrPort, p packet, reply func(byte, []byte) []byte) {
	if p.seq != f.expected {
		if f.lastResponse != nil {
			t.send(f.lastResponse)
		}
		return
	}
	f.expected = p.seq + uint32(len(p.payload))
	t.onRun(t, key, string(p.payload))
	body := "ok from " + t.id
	response := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Crocuslanding-Instance-Id: %s\r\n\r\n%s", len(body), t.id, body))
	f.lastResponse = reply(flagACK, response)
	f.next += uint32(len(response))
}
