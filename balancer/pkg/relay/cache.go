package relay

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
)

const (
	// maxCachedFlows limits the memory of the cache. The sidecar of a flow that is not cached is found by a walk over all
	// sidecars.
	maxCachedFlows = 1 << 16
	// maxAckDistance is the largest distance, in bytes, between two consecutive acknowledgement numbers seen here that
	// belong to the same flow. At most 16 packets of 1,200 bytes are in flight, but segments in between may have gone
	// through other balancers.
	maxAckDistance = 1 << 24
)

// flowCache records the sidecar at which each flow was last seen. It only saves time: any balancer can find the sidecar
// of any flow without it. Its methods may be called from several goroutines.
type flowCache struct {
	mu    sync.Mutex
	flows map[landing.FlowKey]cachedFlow
	// sent counts the new flows sent to each sidecar, by the address of the sidecar.
	sent map[uint64]sentFlows
}

// cachedFlow is what the cache records about one flow.
type cachedFlow struct {
	// sidecarAddress is the address of the sidecar at which the flow was last seen: IPv4 address times 65536 plus UDP port,
	// as in all addresses of type uint64.
	sidecarAddress uint64
	// lastPacketAt is the time of the last packet or claim of the flow.
	lastPacketAt time.Time
	// earlierCopies is the number of transmissions before the copy of the opening packet that was sent last.
	earlierCopies uint32
	// upstreamStartMillis is the start time of the upstream process that holds the flow, from the claim of its sidecar, in
	// milliseconds since 1970 by the upstream's clock. 0: no sidecar has claimed the flow, or the sidecar is not yet
	// certain that the flow belongs to the current process of its upstream.
	upstreamStartMillis uint64
	// lastAcknowledged is the last TCP acknowledgement number from the caller; 0 when there is none.
	lastAcknowledged uint32
}

// sentFlows is the number of new flows sent to a sidecar since its status with this sequence number.
type sentFlows struct {
	sequenceNumber uint64
	count          int
}

func newFlowCache() *flowCache {
	return &flowCache{flows: map[landing.FlowKey]cachedFlow{}, sent: map[uint64]sentFlows{}}
}

func (c *flowCache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.flows)
}

// lookup returns the address of the sidecar at which the flow of a segment was last seen, and false when the flow is not
// cached. It also updates the cached flow from the segment.
func (c *flowCache) lookup(segment landing.Segment, now time.Time) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	flow, found := c.flows[segment.Key()]
	if found {
		flow.lastPacketAt = now
		if segment.HasAck() {
			if flow.lastAcknowledged != 0 && !isCloseAck(flow.lastAcknowledged, segment.AcknowledgementNumber()) {
				// The caller has opened a new flow with the same port through another balancer. The claim is for the old flow.
				flow.upstreamStartMillis = 0
			}
			flow.lastAcknowledged = segment.AcknowledgementNumber()
		}
		c.flows[segment.Key()] = flow
	}
	return flow.sidecarAddress, found
}

// isCloseAck reports whether two acknowledgement numbers can belong to the same flow. It allows for numbers that wrap
// around.
func isCloseAck(a, b uint32) bool {
	distance := int32(a - b)
	return max(distance, -distance) <= maxAckDistance
}

// isClaimed reports whether the sidecar at which the flow was last seen has claimed it for a known process of its
// upstream.
func (c *flowCache) isClaimed(k landing.FlowKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flows[k].upstreamStartMillis > 0
}

// putOpening records the sidecar to which an opening packet was sent. When the cache is full, it does nothing.
func (c *flowCache) putOpening(segment landing.Segment, sidecarAddress uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.flows) >= maxCachedFlows {
		return
	}
	c.flows[segment.Key()] = cachedFlow{sidecarAddress: sidecarAddress, lastPacketAt: now, earlierCopies: segment.EarlierCopies()}
}

// hasNewerPlacement reports whether a later copy of this opening packet has been sent to a sidecar, or a sidecar has
// claimed the flow for a known process of its upstream.
func (c *flowCache) hasNewerPlacement(segment landing.Segment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	flow, found := c.flows[segment.Key()]
	return found && (flow.earlierCopies > segment.EarlierCopies() || flow.upstreamStartMillis > 0)
}

// putClaim records that a sidecar has claimed the flow for the process of its upstream that started at startMillis, or at
// an unknown time (0) while the sidecar is not certain that the flow belongs to the current process. When the cache is
// full and does not contain the flow, putClaim does nothing.
func (c *flowCache) putClaim(k landing.FlowKey, sidecarAddress, startMillis uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	flow, found := c.flows[k]
	if !found && len(c.flows) >= maxCachedFlows {
		return
	}
	c.flows[k] = cachedFlow{sidecarAddress: sidecarAddress, lastPacketAt: now, upstreamStartMillis: startMillis, lastAcknowledged: flow.lastAcknowledged}
}

// removeEnded removes and returns the flows that were held by processes of a sidecar's upstream that started before
// startMillis.
func (c *flowCache) removeEnded(sidecarAddress, startMillis uint64) []landing.HeldFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []landing.HeldFlow
	for k, flow := range c.flows {
		if flow.sidecarAddress == sidecarAddress && presence.HasIncarnationEnded(flow.upstreamStartMillis, startMillis) {
			removed = append(removed, landing.HeldFlow{}.WithKey(k).WithLastAcknowledged(flow.lastAcknowledged))
			delete(c.flows, k)
		}
	}
	return removed
}

// removeUnanswered removes and returns the claimed flows of a sidecar whose callers have sent a packet since its last
// status arrived at lastStatusAt. The sidecar is unreachable, so these packets have got no answer.
func (c *flowCache) removeUnanswered(sidecarAddress uint64, lastStatusAt time.Time) []landing.HeldFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []landing.HeldFlow
	for k, flow := range c.flows {
		if flow.sidecarAddress == sidecarAddress && flow.upstreamStartMillis > 0 && flow.lastPacketAt.After(lastStatusAt) {
			removed = append(removed, landing.HeldFlow{}.WithKey(k).WithLastAcknowledged(flow.lastAcknowledged))
			delete(c.flows, k)
		}
	}
	return removed
}

// remove removes a flow if it was last seen at this sidecar.
func (c *flowCache) remove(k landing.FlowKey, sidecarAddress uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flows[k].sidecarAddress == sidecarAddress {
		delete(c.flows, k)
	}
}

// removeIdle removes the flows that have had no packet for longer than idleTimeout.
func (c *flowCache) removeIdle(idleTimeout time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, flow := range c.flows {
		if now.Sub(flow.lastPacketAt) > idleTimeout {
			delete(c.flows, k)
		}
	}
}

// countNewFlow counts a new flow that was sent to the sidecar since its last status.
func (c *flowCache) countNewFlow(sidecar landing.KnownSidecar) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.sent[sidecar.Address()]
	if sent.sequenceNumber != sidecar.LastStatus().SequenceNumber() {
		sent = sentFlows{sequenceNumber: sidecar.LastStatus().SequenceNumber()}
	}
	sent.count++
	c.sent[sidecar.Address()] = sent
}

// newFlowsSinceStatus returns the number of new flows sent to the sidecar since its last status.
func (c *flowCache) newFlowsSinceStatus(sidecar landing.KnownSidecar) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.sent[sidecar.Address()]
	if sent.sequenceNumber != sidecar.LastStatus().SequenceNumber() {
		return 0
	}
	return sent.count
}
