package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/wire"
)

// Guards against a stored chain that refers to the receive buffer, which later datagrams overwrite. Returned
// packets then lost the set of sidecars that were already asked, and the walk over the sidecars never ended:
// it reached part 303 with 44 sidecars.
func TestPacketRingKeepsChainAfterBufferReuse(t *testing.T) {
	is := is.New(t)
	b := wire.AppendDatagram(nil, landing.ForwardedPacket{}.WithAskedSidecars([]byte{1, 2, 3}).WithPacket([]byte("packet")))
	d, err := wire.ParseDatagram(b)
	is.NoErr(err)
	r := newPacketRing()
	n := r.put(d.(landing.ForwardedPacket))
	clear(b)
	p, found := r.take(n)
	is.True(found)
	is.Equal(p.AskedSidecars(), []byte{1, 2, 3})
}

func TestPacketRingTakesPacketOnce(t *testing.T) {
	is := is.New(t)
	r := newPacketRing()
	n := r.put(landing.ForwardedPacket{}.WithChainPart(7))
	p, found := r.take(n)
	is.True(found)
	is.Equal(p.ChainPart(), uint32(7))
	_, found = r.take(n)
	is.True(!found)
	_, found = r.take(0)
	is.True(!found)
}
