package envelope

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
)

var balancerAddress = netip.MustParseAddrPort("127.0.0.1:9000")

func newChain(hops int) landing.Chain {
	var list []landing.Hop
	for i := range hops {
		list = append(list, landing.Hop{}.WithAddress(0x7f000001).WithPort(uint32(7000+i)))
	}
	return landing.Chain{}.WithService("desk").WithRosterSerial(9).WithHops(list...).WithHasMore(true)
}

// newDatagram returns a datagram with part number 3 of the chain.
func newDatagram(c landing.Chain, payload []byte) []byte {
	b := append(make([]byte, MaxHeaderBytes), payload...)
	return b[WriteHeader(b, MaxHeaderBytes, c, 3, balancerAddress, NewKeys(landing.Keyring{})):]
}

func TestParseReturnsWrittenFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hops := rapid.IntRange(1, chain.MaxHops).Draw(t, "hops")
		payload := rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "payload")
		e, err := Parse(newDatagram(newChain(hops), payload))
		if err != nil {
			t.Fatal(err)
		}
		if string(e.Packet()) != string(payload) || e.Balancer() != balancerAddress || e.ChainPart() != 3 || !e.HasMoreParts() || e.RosterSerialLow() != 9 {
			t.Fatal("parsed fields differ from the written ones")
		}
		for i := 1; i < hops; i++ {
			if !e.HasNextHop() || e.Advance().Port() != uint16(7000+i) {
				t.Fatal("parsed hops differ from the written ones")
			}
		}
		if e.HasNextHop() {
			t.Fatal("HasNextHop is true after the last hop")
		}
	})
}

func TestIsEnvelopedRejectsBarePacket(t *testing.T) {
	is := is.New(t)
	is.True(!IsEnveloped([]byte{0x45}))
	is.True(IsEnveloped(newDatagram(newChain(2), []byte{1})))
}

func FuzzParse(f *testing.F) {
	f.Add(newDatagram(newChain(1), []byte{0x45}))
	f.Add(newDatagram(newChain(chain.MaxHops), []byte{0x45}))
	f.Add([]byte{0x05, 4}) // the beginning of a header, cut off
	f.Fuzz(func(_ *testing.T, b []byte) {
		e, err := Parse(b)
		if err != nil {
			return
		}
		_ = e.Packet()
		_ = e.Balancer()
		_ = e.CurrentHop()
		for e.HasNextHop() {
			_ = e.Advance()
		}
	})
}
