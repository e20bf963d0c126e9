package relay

import (
	"sync"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// ringSize is the number of packets whose chains are kept. An upstream returns a packet within milliseconds,
// and receives at most a few thousand packets per second.
const ringSize = 2048

// packetRing keeps the chains of the packets that were last delivered to the upstream, under the number that
// is written into each packet. Its methods may be called from several goroutines.
type packetRing struct {
	mu         sync.Mutex
	nextNumber uint32
	// packets holds the packets without their data.
	packets [ringSize]landing.ForwardedPacket
	// numbers holds the number of each packet in packets; 0 when the packet was taken.
	numbers [ringSize]uint32
}

func newPacketRing() *packetRing {
	return &packetRing{nextNumber: 1}
}

// put stores the chain of a packet and returns the packet's number, which is never 0.
func (r *packetRing) put(p landing.ForwardedPacket) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.nextNumber
	r.nextNumber = max(r.nextNumber+1, 1)
	r.packets[n%ringSize] = p.WithPacket(nil)
	r.numbers[n%ringSize] = n
	return n
}

// take removes and returns the chain of the packet with this number. It returns false when no chain is
// stored for this number.
func (r *packetRing) take(n uint32) (landing.ForwardedPacket, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n == 0 || r.numbers[n%ringSize] != n {
		return landing.ForwardedPacket{}, false
	}
	r.numbers[n%ringSize] = 0
	p := r.packets[n%ringSize]
	r.packets[n%ringSize] = landing.ForwardedPacket{}
	return p, true
}
