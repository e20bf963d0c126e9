package front

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"golang.org/x/net/ipv4"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/core/pkg/packet"
	"github.com/crocuslanding/crocuslanding/core/pkg/route"
	"github.com/crocuslanding/crocuslanding/core/pkg/socket"
)

const (
	// windowPackets is the number of packets that a benchmark sends before it waits for their arrival.
	windowPackets = 256
	// receiveTimeout is the time without a packet after which the rest of a window counts as lost.
	receiveTimeout = 5 * time.Millisecond
)

func newConn(t testing.TB) *net.UDPConn {
	t.Helper()
	conn, err := socket.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// newView returns a routing view with one service, desk at 10.200.0.1:80, whose targets all have the address of this
// sidecar.
func newView(sidecar *net.UDPConn, targetCount int) *route.View {
	var list []landing.Target
	for i := range targetCount {
		list = append(list, landing.Target{}.
			WithInstance(fmt.Sprintf("desk-%d", i)).
			WithService("desk").
			WithZone("a").
			WithFront(sidecar.LocalAddr().String()).
			WithWeight(8).
			WithPhase(landing.PhaseServing))
	}
	grant := landing.Grant{}.WithService("desk").WithZones("a").WithFlows(1)
	lists := landing.Lists{}.
		WithServices(landing.Service{}.WithName("desk").WithAddress("10.200.0.1:80").WithKind(landing.KindRequests)).
		WithPlans(landing.Plan{}.WithName("full").WithGrants(grant)).
		WithCustomers(landing.Customer{}.WithName("north").WithPlan("full").WithPrefixes("10.1.0.0/16"))
	return route.New().WithLists(lists).WithRoster(landing.Roster{}.WithSerial(1).WithTargets(list...))
}

// newPacket returns a packet of this length from the caller with this number.
func newPacket(caller uint32, length int) []byte {
	k := landing.FlowKey{}.
		WithSourceAddress(10<<24 | 1<<16 | caller&0xffff).
		WithSourcePort(1024 + caller>>16).
		WithDestinationAddress(10<<24 | 200<<16 | 1).
		WithDestinationPort(80)
	b := append(packet.NewCallerReset(k, 1), make([]byte, length)...)[:length]
	binary.BigEndian.PutUint16(b[2:], uint16(length)) // the total length in the IP header
	return b
}

func newForwarder(t testing.TB, v *route.View) *Forwarder {
	t.Helper()
	telemetry := common.New(logr.Discard(), counter.New())
	f, err := New(telemetry, "127.0.0.1:0", func() (*route.View, *envelope.Keys) { return v, envelope.NewKeys(landing.Keyring{}) })
	if err != nil {
		t.Fatal(err)
	}
	f.Start(1) // one worker
	t.Cleanup(f.Stop)
	return f
}

func TestForwarder_SendsReturnedPacketAlongNextPart(t *testing.T) {
	is := is.New(t)
	sidecar := newConn(t)
	f := newForwarder(t, newView(sidecar, chain.MaxHops+3))
	to := f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	_, err := sidecar.WriteToUDPAddrPort(newPacket(1, 200), to)
	is.NoErr(err)

	b := make([]byte, bufferBytes)
	n, _, err := sidecar.ReadFromUDPAddrPort(b)
	is.NoErr(err)
	e, err := envelope.Parse(b[:n])
	is.NoErr(err)
	is.Equal(e.Packet(), newPacket(1, 200))
	is.True(e.HasMoreParts())
	is.Equal(e.ChainPart(), uint8(0))

	_, err = sidecar.WriteToUDPAddrPort(e.Bytes(), to)
	is.NoErr(err)
	n, _, err = sidecar.ReadFromUDPAddrPort(b)
	is.NoErr(err)
	e, err = envelope.Parse(b[:n])
	is.NoErr(err)
	is.Equal(e.Packet(), newPacket(1, 200))
	is.True(!e.HasMoreParts())
	is.Equal(e.ChainPart(), uint8(1))
}

func TestForwarder_CountsAndDropsMalformedDatagrams(t *testing.T) {
	is := is.New(t)
	sidecar := newConn(t)
	f := newForwarder(t, newView(sidecar, 1))
	to := f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	malformedDatagrams := [][]byte{{}, {0x45}, {0x00}, make([]byte, 100), newPacket(1, 200)[:150], make([]byte, 1600)}
	for _, b := range malformedDatagrams {
		_, err := sidecar.WriteToUDPAddrPort(b, to)
		is.NoErr(err)
	}
	_, err := sidecar.WriteToUDPAddrPort(newPacket(1, 200), to)
	is.NoErr(err)
	b := make([]byte, bufferBytes)
	n, _, err := sidecar.ReadFromUDPAddrPort(b)
	is.NoErr(err)
	_, err = envelope.Parse(b[:n])
	is.NoErr(err)
	refusals := f.telemetry.Counters().Counter("refused." + landing.RefusalMalformed.String())
	is.Equal(refusals.Count(), int64(len(malformedDatagrams)))
}

// forwardAll is the baseline of the benchmarks: it forwards each datagram to one address without parsing it.
func forwardAll(conn *net.UDPConn, to *net.UDPAddr) {
	pc := ipv4.NewPacketConn(conn)
	in := make([]ipv4.Message, batchPackets)
	out := make([]ipv4.Message, batchPackets)
	for i := range in {
		in[i].Buffers = [][]byte{make([]byte, bufferBytes)}
		out[i].Addr = to
	}
	for {
		n, err := pc.ReadBatch(in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		for i := range n {
			out[i].Buffers = [][]byte{in[i].Buffers[0][:in[i].N]}
		}
		for sent := 0; sent < n; {
			m, err := pc.WriteBatch(out[sent:n], 0)
			if err != nil {
				return
			}
			sent += m
		}
	}
}

// sendWindows sends packets in windows and waits until each window has arrived at the sidecar or times out. It reports
// the packets per second and the packets lost.
func sendWindows(b *testing.B, sidecar *net.UDPConn, to netip.AddrPort, packets [][]byte) {
	b.Helper()
	sender := newConn(b)
	pcOut := ipv4.NewPacketConn(sender)
	pcIn := ipv4.NewPacketConn(sidecar)
	out := make([]ipv4.Message, batchPackets)
	in := make([]ipv4.Message, batchPackets)
	for i := range in {
		in[i].Buffers = [][]byte{make([]byte, bufferBytes)}
	}
	lost := 0
	next := 0
	b.ResetTimer()
	for sent := 0; sent < b.N; sent += windowPackets {
		for range windowPackets / batchPackets {
			for i := range out {
				out[i].Buffers = [][]byte{packets[next%len(packets)]}
				out[i].Addr = net.UDPAddrFromAddrPort(to)
				next++
			}
			if _, err := pcOut.WriteBatch(out, 0); err != nil {
				b.Fatal(err)
			}
		}
		for received := 0; received < windowPackets; {
			_ = sidecar.SetReadDeadline(time.Now().Add(receiveTimeout))
			n, err := pcIn.ReadBatch(in, 0)
			if err != nil {
				lost += windowPackets - received
				break
			}
			received += n
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
	b.ReportMetric(float64(lost), "lost")
}

func newPackets(flowCount, length int) [][]byte {
	packets := make([][]byte, flowCount)
	for i := range packets {
		packets[i] = newPacket(uint32(i), length)
	}
	return packets
}

func BenchmarkForward(b *testing.B) {
	for _, length := range []int{200, 1400} {
		b.Run(fmt.Sprintf("relay/bytes=%d", length), func(b *testing.B) {
			sidecar, baselineConn := newConn(b), newConn(b)
			go forwardAll(baselineConn, sidecar.LocalAddr().(*net.UDPAddr))
			sendWindows(b, sidecar, baselineConn.LocalAddr().(*net.UDPAddr).AddrPort(), newPackets(1000, length))
		})
		b.Run(fmt.Sprintf("balancer/bytes=%d", length), func(b *testing.B) {
			sidecar := newConn(b)
			f := newForwarder(b, newView(sidecar, 4))
			sendWindows(b, sidecar, f.conn.LocalAddr().(*net.UDPAddr).AddrPort(), newPackets(1000, length))
		})
	}
}

// BenchmarkOpenFlows measures the forwarding rate with a growing number of open flows, which must not affect it.
func BenchmarkOpenFlows(b *testing.B) {
	for _, flows := range []int{3_000, 30_000, 300_000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			sidecar := newConn(b)
			f := newForwarder(b, newView(sidecar, 4))
			sendWindows(b, sidecar, f.conn.LocalAddr().(*net.UDPAddr).AddrPort(), newPackets(flows, 200))
		})
	}
}
