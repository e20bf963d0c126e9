package field_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
	"github.com/crocuslanding/crocuslanding/core/gen/wire"
)

var forwarded = landing.ForwardedPacket{}.
	WithServiceTag(0xffffffff).WithRulesRevision(300).WithBalancerAddress(1<<47|5).WithHopAddresses(1, 0, 1<<63).WithHopIndex(2).
	WithReturnedToDeferrer(true).WithPacket([]byte("packet")).WithAskedSidecars([]byte{0, 1})

// The generated functions of package wire must write the same format as the protobuf library, since both decode the
// same messages.
func TestWireEncodingMatchesProtobuf(t *testing.T) {
	is := is.New(t)
	m := &landingpb.Datagram{}
	is.NoErr(proto.Unmarshal(wire.AppendDatagram(nil, forwarded), m))
	is.Equal(codec.DecodeDatagram(m), landing.Datagram(forwarded))
	rules := landing.RoutingRules{}.WithVersion(1).WithIdleTimeout(time.Second).
		WithListeners(landing.Listener{}.WithName("r").WithShares(landing.ServiceShare{}.WithService("s"))).
		WithPools(landing.UpstreamPool{}.WithColdFlowsPerSecond(2.5))
	snapshot := landing.PlatformSnapshot{}.WithRules(rules)
	parsed, err := wire.ParsePlatformSnapshot(wire.AppendPlatformSnapshot(nil, snapshot))
	is.NoErr(err)
	is.Equal(parsed, snapshot)
}

func TestParseDatagramReturnsAppendedValue(t *testing.T) {
	is := is.New(t)
	for _, d := range []landing.Datagram{
		forwarded,
		landing.ReturnedPacket{}.WithForwardedPacket(forwarded).WithReason(landing.RefusalRoom),
		landing.SidecarStatus{}.WithInstance("a").WithUpstreamPhase(landing.PhaseDraining).WithSequenceNumber(9),
		landing.StatusSubscription{}.WithInstance("b"),
		landing.FlowClaim{}.WithKey(landing.FlowKey{}.WithSourcePort(9)),
		landing.IndirectProbe{}.WithSubjectAddress(1),
		landing.IndirectProbeAck{}.WithBalancerAddress(2),
	} {
		parsed, err := wire.ParseDatagram(wire.AppendDatagram(nil, d))
		is.NoErr(err)
		is.Equal(parsed, d)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(wire.AppendDatagram(nil, forwarded))
	f.Add([]byte{0x0a, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := wire.ParseDatagram(b)
		if err != nil || d == nil {
			return
		}
		if _, err := wire.ParseDatagram(wire.AppendDatagram(nil, d)); err != nil {
			t.Fatal("a parsed datagram cannot be parsed again after it was encoded")
		}
	})
}
