package front

import (
	"errors"
	"net"
	"net/netip"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/net/ipv4"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/packet"
	"github.com/crocuslanding/crocuslanding/core/pkg/route"
)

const (
	batch = 64
	// bufferBytes is one more than the longest datagram, so that an oversized one shows.
	bufferBytes = envelope.MaxHeaderBytes + packet.MaxBytes + 1
	// maxAddresses bounds the cache of socket addresses.
	maxAddresses = 1 << 16
)

// worker reads batches of packets and sends them on.
type worker struct {
	counters  *counter.Set
	forwarded metrics.Counter
	pc        *ipv4.PacketConn
	home      netip.AddrPort
	source    RoutingSource
	room      [batch][]byte
	in        []ipv4.Message
	out       []ipv4.Message
	addresses map[uint64]*net.UDPAddr
}

func newWorker(counters *counter.Set, conn *net.UDPConn, home netip.AddrPort, source RoutingSource) *worker {
	w := &worker{
		counters:  counters,
		forwarded: counters.Counter("forwarded"),
		pc:        ipv4.NewPacketConn(conn),
		home:      home,
		source:    source,
		in:        make([]ipv4.Message, batch),
		out:       make([]ipv4.Message, batch),
		addresses: map[uint64]*net.UDPAddr{},
	}
	for i := range batch {
		w.room[i] = make([]byte, envelope.MaxHeaderBytes+bufferBytes)
		w.in[i].Buffers = [][]byte{w.room[i][envelope.MaxHeaderBytes:]}
		w.out[i].Buffers = make([][]byte, 1)
	}
	return w
}

func (w *worker) run() {
	for {
		n, err := w.pc.ReadBatch(w.in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			w.counters.Counter("read_failed").Inc(1)
			continue
		}
		w.send(w.handle(n))
	}
}

// handle routes the first n messages read and returns how many are to be sent.
func (w *worker) handle(n int) int {
	ready := 0
	for i := range n {
		if w.route(i, ready) {
			ready++
		}
	}
	return ready
}

// route routes message i and says whether it became outgoing message o.
func (w *worker) route(i, o int) bool {
	view, keys := w.source()
	start := envelope.MaxHeaderBytes
	end := start + w.in[i].N
	part := 0
	if envelope.IsEnveloped(w.room[i][start:end]) {
		e, err := envelope.Parse(w.room[i][start:end])
		if err != nil {
			w.counters.CountRefusal(landing.RefusalMalformed)
			return false
		}
		if !e.HasValidTag(keys) {
			w.counters.CountRefusal(landing.RefusalTag)
			return false
		}
		part = int(e.ChainPart()) + 1
		start = end - len(e.Packet())
	}
	s, err := packet.Parse(w.room[i][start:end])
	if err != nil {
		w.counters.CountRefusal(landing.RefusalMalformed)
		return false
	}
	switch v := view.RoutePart(s.Key(), part).(type) {
	case landing.Forward:
		w.prepare(v.Chain(), part, w.room[i][:end], start, o, keys)
		return true
	case landing.Refuse:
		w.counters.CountRefusal(v.Reason())
		return s.IsSyn() && route.DependsOnListsOnly(v.Reason()) && w.prepareReset(w.room[i][start:end], i, o)
	}
	return false
}

// prepareReset makes outgoing message o the reset of the caller's packet, back to where it came from.
func (w *worker) prepareReset(b []byte, i, o int) bool {
	reset, err := packet.NewReset(b)
	if err != nil {
		return false
	}
	w.out[o].Buffers[0] = reset
	w.out[o].Addr = w.in[i].Addr
	return true
}

// prepare makes outgoing message o of the packet, which begins at start of room.
func (w *worker) prepare(c landing.Chain, part int, room []byte, start, o int, keys *envelope.Keys) {
	first := envelope.WriteHeader(room, start, c, uint8(part), w.home, keys)
	w.out[o].Buffers[0] = room[first:]
	w.out[o].Addr = w.addressOf(c.HopsAt(0))
}

func (w *worker) addressOf(h landing.Hop) *net.UDPAddr {
	key := uint64(h.Address())<<32 | uint64(h.Port())
	if a, ok := w.addresses[key]; ok {
		return a
	}
	if len(w.addresses) >= maxAddresses {
		clear(w.addresses)
	}
	a := net.UDPAddrFromAddrPort(netip.AddrPortFrom(address.FromUint32(h.Address()), uint16(h.Port())))
	w.addresses[key] = a
	return a
}

func (w *worker) send(count int) {
	for sent := 0; sent < count; {
		n, err := w.pc.WriteBatch(w.out[sent:count], 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			w.counters.Counter("write_failed").Inc(1)
			n = max(n, 1)
		}
		sent += n
	}
	w.forwarded.Inc(int64(count))
}
