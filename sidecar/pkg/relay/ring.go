package relay

import (
	"sync"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// ringSize is the number of packets whose chain is remembered. An upstream returns a packet within milliseconds,
// and no upstream takes in more than some thousands a second.
const ringSize = 2048

// ring remembers the chains of the packets that were last handed to the upstream, by the number that is
// written on them. Its methods may be called from several goroutines.
type ring struct {
	mu      sync.Mutex
	next    uint32
	parcels [ringSize]landing.ForwardedPacket
	numbers [ringSize]uint32
}

func newRing() *ring {
	return &ring{next: 1}
}

// put remembers the chain of a parcel and returns its number, which is never 0.
func (r *ring) put(p landing.ForwardedPacket) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.next
	r.next = max(r.next+1, 1)
	r.parcels[n%ringSize] = p.WithPacket(nil)
	r.numbers[n%ringSize] = n
	return n
}

// take returns the chain of the packet with this number, once.
func (r *ring) take(n uint32) (landing.ForwardedPacket, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n == 0 || r.numbers[n%ringSize] != n {
		return landing.ForwardedPacket{}, false
	}
	r.numbers[n%ringSize] = 0
	p := r.parcels[n%ringSize]
	r.parcels[n%ringSize] = landing.ForwardedPacket{}
	return p, true
}
