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
	// batchPackets is the number of packets that are read or sent with one system call.
	batchPackets = 64
	// bufferBytes is one more than the longest valid datagram, so that a longer one is detected by its length.
	bufferBytes = envelope.MaxHeaderBytes + packet.MaxBytes + 1
	// maxCachedAddresses limits the cache of socket addresses, which is cleared when it is full.
	maxCachedAddresses = 1 << 16
)

// worker reads batches of packets from the socket of the forwarder and forwards them. It belongs to one goroutine.
type worker struct {
	counters     *counter.Set
	forwarded    metrics.Counter
	packetConn   *ipv4.PacketConn
	localAddress netip.AddrPort
	source       RoutingSource
	buffers      [batchPackets][]byte
	inMessages   []ipv4.Message
	outMessages  []ipv4.Message
	addresses    map[uint64]*net.UDPAddr
}

// newWorker returns a worker that reads from conn, whose local address is localAddress. The worker's buffers have free
// space in front of each received packet, so that a header can be written there without copying the packet.
func newWorker(counters *counter.Set, conn *net.UDPConn, localAddress netip.AddrPort, source RoutingSource) *worker {
	w := &worker{
		counters:     counters,
		forwarded:    counters.Counter("forwarded"),
		packetConn:   ipv4.NewPacketConn(conn),
		localAddress: localAddress,
		source:       source,
		inMessages:   make([]ipv4.Message, batchPackets),
		outMessages:  make([]ipv4.Message, batchPackets),
		addresses:    map[uint64]*net.UDPAddr{},
	}
	for i := range batchPackets {
		w.buffers[i] = make([]byte, envelope.MaxHeaderBytes+bufferBytes)
		w.inMessages[i].Buffers = [][]byte{w.buffers[i][envelope.MaxHeaderBytes:]}
		w.outMessages[i].Buffers = make([][]byte, 1)
	}
	return w
}

// run forwards packets until the socket is closed.
func (w *worker) run() {
	for {
		n, err := w.packetConn.ReadBatch(w.inMessages, 0)
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

// handle routes the first n received messages and returns the number of messages to send.
func (w *worker) handle(n int) int {
	ready := 0
	for i := range n {
		if w.route(i, ready) {
			ready++
		}
	}
	return ready
}

// route routes the received message with index in, and reports whether there is a message to send. It prepares that
// message as the outgoing message with index out: the packet with its chain, or a reset to the caller. A message that
// already has an envelope was returned by a sidecar, and its packet goes along the next part of its chain.
func (w *worker) route(in, out int) bool {
	view, keys := w.source()
	start := envelope.MaxHeaderBytes
	end := start + w.inMessages[in].N
	part := 0
	if envelope.IsEnveloped(w.buffers[in][start:end]) {
		e, err := envelope.Parse(w.buffers[in][start:end])
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
	segment, err := packet.Parse(w.buffers[in][start:end])
	if err != nil {
		w.counters.CountRefusal(landing.RefusalMalformed)
		return false
	}
	switch v := view.RoutePart(segment.Key(), part).(type) {
	case landing.Forward:
		w.prepareForward(v.Chain(), part, w.buffers[in][:end], start, out, keys)
		return true
	case landing.Refuse:
		w.counters.CountRefusal(v.Reason())
		return segment.IsSyn() && route.DependsOnListsOnly(v.Reason()) && w.prepareReset(w.buffers[in][start:end], in, out)
	}
	return false
}

// prepareReset prepares a TCP reset in reply to the caller's packet, addressed to the sender of the received message with
// index in. It returns false when no reset can be made for the packet.
func (w *worker) prepareReset(callerPacket []byte, in, out int) bool {
	reset, err := packet.NewReset(callerPacket)
	if err != nil {
		return false
	}
	w.outMessages[out].Buffers[0] = reset
	w.outMessages[out].Addr = w.inMessages[in].Addr
	return true
}

// prepareForward prepares the packet, which begins at index start of buffer, for the first hop of this part of its chain.
// It writes the header directly in front of the packet.
func (w *worker) prepareForward(chain landing.Chain, part int, buffer []byte, start, out int, keys *envelope.Keys) {
	headerStart := envelope.WriteHeader(buffer, start, chain, uint8(part), w.localAddress, keys)
	w.outMessages[out].Buffers[0] = buffer[headerStart:]
	w.outMessages[out].Addr = w.addressOf(chain.HopsAt(0))
}

// addressOf returns the socket address of a hop, which it caches to save an allocation per packet.
func (w *worker) addressOf(h landing.Hop) *net.UDPAddr {
	key := uint64(h.Address())<<32 | uint64(h.Port())
	if a, ok := w.addresses[key]; ok {
		return a
	}
	if len(w.addresses) >= maxCachedAddresses {
		clear(w.addresses)
	}
	a := net.UDPAddrFromAddrPort(netip.AddrPortFrom(address.FromUint32(h.Address()), uint16(h.Port())))
	w.addresses[key] = a
	return a
}

// send sends the first count outgoing messages. A message that cannot be sent is skipped and counted as a failed write,
// but also as forwarded.
func (w *worker) send(count int) {
	for sent := 0; sent < count; {
		n, err := w.packetConn.WriteBatch(w.outMessages[sent:count], 0)
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
