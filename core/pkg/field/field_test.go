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

var parcel = landing.Parcel{}.
	WithService(0xffffffff).WithRules(300).WithHome(1<<47|5).WithHops(1, 0, 1<<63).WithPosition(2).
	WithRecalled(true).WithPacket([]byte("packet")).WithAsked([]byte{0, 1})

// The codecs without reflection write what the library of protocol buffers reads.
func TestEncodingIsThatOfProtocolBuffers(t *testing.T) {
	is := is.New(t)
	m := &landingpb.Datagram{}
	is.NoErr(proto.Unmarshal(wire.AppendDatagram(nil, parcel), m))
	is.Equal(codec.DecodeDatagram(m), landing.Datagram(parcel))
	rules := landing.Rules{}.WithVersion(1).WithIdle(time.Second).
		WithListeners(landing.Listener{}.WithName("r").WithShares(landing.Share{}.WithService("s"))).
		WithPools(landing.Pool{}.WithRate(2.5))
	pictured := landing.Picture{}.WithRules(rules)
	back, err := wire.ParsePicture(wire.AppendPicture(nil, pictured))
	is.NoErr(err)
	is.Equal(back, pictured)
}

func TestDatagramsRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, d := range []landing.Datagram{
		parcel,
		landing.Refund{}.WithParcel(parcel).WithReason(landing.RefusalRoom),
		landing.Status{}.WithInstance("a").WithPhase(landing.PhaseDraining).WithSequence(9),
		landing.Greeting{}.WithInstance("b"),
		landing.Claim{}.WithKey(landing.Key{}.WithSport(9)),
		landing.Inquiry{}.WithSubject(1),
		landing.Vouch{}.WithHome(2),
	} {
		back, err := wire.ParseDatagram(wire.AppendDatagram(nil, d))
		is.NoErr(err)
		is.Equal(back, d)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(wire.AppendDatagram(nil, parcel))
	f.Add([]byte{0x0a, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := wire.ParseDatagram(b)
		if err != nil || d == nil {
			return
		}
		if _, err := wire.ParseDatagram(wire.AppendDatagram(nil, d)); err != nil {
			t.Fatal("what was read cannot be written and read again")
		}
	})
}
