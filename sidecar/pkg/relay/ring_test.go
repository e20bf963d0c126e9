package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/wire"
)

// Chains of packets that an upstream returned were read from a buffer that later datagrams had overwritten: walks lost
// whom they had asked and went on for ever (part 303 of a walk over 44 sidecars).
func TestChainOutlivesTheBufferItWasReadFrom(t *testing.T) {
	is := is.New(t)
	b := wire.AppendDatagram(nil, landing.ForwardedPacket{}.WithAskedSidecars([]byte{1, 2, 3}).WithPacket([]byte("packet")))
	d, err := wire.ParseDatagram(b)
	is.NoErr(err)
	r := newRing()
	n := r.put(d.(landing.ForwardedPacket))
	clear(b)
	p, found := r.take(n)
	is.True(found)
	is.Equal(p.AskedSidecars(), []byte{1, 2, 3})
}

func TestPacketIsTakenBackOnce(t *testing.T) {
	is := is.New(t)
	r := newRing()
	n := r.put(landing.ForwardedPacket{}.WithChainPart(7))
	p, found := r.take(n)
	is.True(found)
	is.Equal(p.ChainPart(), uint32(7))
	_, found = r.take(n)
	is.True(!found)
	_, found = r.take(0)
	is.True(!found)
}
