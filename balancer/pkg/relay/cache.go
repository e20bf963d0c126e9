package relay

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
)

const (
	// maxCached bounds the memory of the cache. A flow that is not in it is found along a walk.
	maxCached = 1 << 16
	// nearNumbers is the largest distance between two numbers that a caller acknowledges in turn: 16 packets of 1,200 bytes
	// are in flight at most, and other balancers may have taken some of those between.
	nearNumbers = 1 << 24
)

// cache remembers where flows were last seen. It is never more than a hint: any balancer finds any flow without it.
// Its methods may be called from several goroutines.
type cache struct {
	mu    sync.Mutex
	flows map[landing.FlowKey]place
	sent  map[uint64]sent
}

// place is where a flow was last seen.
type place struct {
	hop   uint64
	heard time.Time
	// copies is the number of the opening packet that was placed last.
	copies uint32
	// born is the start of the upstream's incarnation that holds the flow, as its sidecar has claimed; 0 before that.
	born uint64
	// acknowledged is the last number that the caller acknowledged.
	acknowledged uint32
}

// sent is the number of new flows sent to a sidecar since one of its statuses.
type sent struct {
	status uint64
	flows  int
}

func newCache() *cache {
	return &cache{flows: map[landing.FlowKey]place{}, sent: map[uint64]sent{}}
}

func (c *cache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.flows)
}

// find returns the sidecar at which the flow of a segment was last seen, and notes the segment.
func (c *cache) find(s landing.Segment, now time.Time) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.flows[s.Key()]
	if found {
		p.heard = now
		if s.HasAck() {
			if p.acknowledged != 0 && !isNear(p.acknowledged, s.AcknowledgementNumber()) {
				// The caller has used its port again through another balancer: the claim is of its old flow.
				p.born = 0
			}
			p.acknowledged = s.AcknowledgementNumber()
		}
		c.flows[s.Key()] = p
	}
	return p.hop, found
}

// isNear says whether two numbers that a caller acknowledges can be of the same flow. They wrap around.
func isNear(a, b uint32) bool {
	distance := int32(a - b)
	return max(distance, -distance) <= nearNumbers
}

// isClaimed says whether the sidecar at which the flow was last seen has claimed it.
func (c *cache) isClaimed(k landing.FlowKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flows[k].born > 0
}

// put remembers the sidecar to which an opening packet was sent.
func (c *cache) put(s landing.Segment, hop uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.flows) >= maxCached {
		return
	}
	c.flows[s.Key()] = place{hop: hop, heard: now, copies: s.EarlierCopies()}
}

// isPlacedAgain says whether a later copy of the opening packet was placed, or the flow is held somewhere.
func (c *cache) isPlacedAgain(s landing.Segment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.flows[s.Key()]
	return found && (p.copies > s.EarlierCopies() || p.born > 0)
}

// claim remembers that the upstream's incarnation that was born at this time holds the flow.
func (c *cache) claim(k landing.FlowKey, hop, born uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.flows[k]
	if !found && len(c.flows) >= maxCached {
		return
	}
	c.flows[k] = place{hop: hop, heard: now, born: born, acknowledged: p.acknowledged}
}

// takeLost forgets and returns the flows that earlier incarnations of a sidecar's upstream held.
func (c *cache) takeLost(hop, born uint64) []landing.HeldFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []landing.HeldFlow
	for k, p := range c.flows {
		if p.hop == hop && presence.HasIncarnationEnded(p.born, born) {
			list = append(list, landing.HeldFlow{}.WithKey(k).WithLastAcknowledged(p.acknowledged))
			delete(c.flows, k)
		}
	}
	return list
}

// takePending forgets and returns the flows that a sidecar has claimed and whose callers have sent something since it was
// last heard, which nobody has answered.
func (c *cache) takePending(hop uint64, heard time.Time) []landing.HeldFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []landing.HeldFlow
	for k, p := range c.flows {
		if p.hop == hop && p.born > 0 && p.heard.After(heard) {
			list = append(list, landing.HeldFlow{}.WithKey(k).WithLastAcknowledged(p.acknowledged))
			delete(c.flows, k)
		}
	}
	return list
}

// forget forgets a flow if it was last seen at this sidecar.
func (c *cache) forget(k landing.FlowKey, hop uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flows[k].hop == hop {
		delete(c.flows, k)
	}
}

// expire forgets flows without a packet for this time.
func (c *cache) expire(idle time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, p := range c.flows {
		if now.Sub(p.heard) > idle {
			delete(c.flows, k)
		}
	}
}

// noteSent counts a new flow sent to a sidecar with this status.
func (c *cache) noteSent(n landing.KnownSidecar) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sent[n.Address()]
	if s.status != n.LastStatus().SequenceNumber() {
		s = sent{status: n.LastStatus().SequenceNumber()}
	}
	s.flows++
	c.sent[n.Address()] = s
}

// sentSince returns the number of new flows sent to a sidecar since this status.
func (c *cache) sentSince(n landing.KnownSidecar) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sent[n.Address()]
	if s.status != n.LastStatus().SequenceNumber() {
		return 0
	}
	return s.flows
}
