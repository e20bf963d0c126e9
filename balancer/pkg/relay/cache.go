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
	// evictionSample is the number of flows of which the one with the oldest last packet makes room for a new flow in a full
	// cache.
	evictionSample = 8
	// maxAckDistance is the largest distance, in bytes, between two acknowledgement numbers that this balancer sees one
	// after the other in the same flow. At most 16 packets of 1,200 bytes are in flight, but segments in between may have
	// gone through other balancers.
	maxAckDistance = 1 << 24
)

// flowCache records the sidecar at which each flow was last seen. It only saves time: any balancer can find the sidecar
// of any flow without it. Its methods may be called from several goroutines.
type flowCache struct {
	mu    sync.Mutex
	flows map[landing.FlowKey]cachedFlow
	// sent holds the number of new flows sent to each sidecar, by the address of the sidecar.
	sent map[uint64]sentFlows
}

// cachedFlow is what the cache records about one flow.
type cachedFlow struct {
	// sidecarAddress is the address of the sidecar at which the flow was last seen: IPv4 address times 65536 plus UDP port,
	// as in all addresses of type uint64.
	sidecarAddress uint64
	// lastPacketAt is the time of the last packet or claim of the flow.
	lastPacketAt time.Time
	// earlierCopies is the number of copies of the opening packet before the copy that was last sent to a sidecar.
	earlierCopies uint32
	// upstreamStartMillis is the start time of the upstream process that holds the flow, in milliseconds since 1970 by the
	// upstream's clock, as the sidecar stated it in its claim. It is 0 when no sidecar has claimed the flow, or when the
	// sidecar is not yet certain that the flow belongs to the current process of its upstream.
	upstreamStartMillis uint64
	// lastAcknowledged is the last TCP acknowledgement number from the caller that passed this balancer; 0 before the first.
	lastAcknowledged uint32
}

// sentFlows is the number of new flows sent to a sidecar since it sent the status with this sequence number.
type sentFlows struct {
	statusSequenceNumber uint64
	count                int
}

func newFlowCache() *flowCache {
	return &flowCache{flows: map[landing.FlowKey]cachedFlow{}, sent: map[uint64]sentFlows{}}
}

func (c *flowCache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.flows)
}

// lookupAndUpdate returns the address of the sidecar at which the flow of a segment was last seen, and false when the
// flow is not cached. It records the segment's time and acknowledgement number in a cached flow.
func (c *flowCache) lookupAndUpdate(segment landing.Segment, now time.Time) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	flow, found := c.flows[segment.Key()]
	if found {
		flow.lastPacketAt = now
		if segment.HasAck() {
			if flow.lastAcknowledged != 0 && !areAcksClose(flow.lastAcknowledged, segment.AcknowledgementNumber()) {
				// The caller has opened a new flow with the same port through another balancer. The claim is for the old flow.
				flow.upstreamStartMillis = 0
			}
			flow.lastAcknowledged = segment.AcknowledgementNumber()
		}
		c.flows[segment.Key()] = flow
	}
	return flow.sidecarAddress, found
}

// areAcksClose reports whether two acknowledgement numbers can belong to the same flow. It allows for numbers that wrap
// around.
func areAcksClose(a, b uint32) bool {
	distance := int32(a - b)
	return max(distance, -distance) <= maxAckDistance
}

// isClaimedByKnownProcess reports whether the sidecar at which the flow was last seen has claimed the flow and stated the
// start time of the upstream process that holds it.
func (c *flowCache) isClaimedByKnownProcess(k landing.FlowKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flows[k].upstreamStartMillis > 0
}

// putOpening records the sidecar to which an opening packet was sent.
func (c *flowCache) putOpening(segment landing.Segment, sidecarAddress uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.makeRoom(segment.Key())
	c.flows[segment.Key()] = cachedFlow{sidecarAddress: sidecarAddress, lastPacketAt: now, earlierCopies: segment.EarlierCopies()}
}

// hasNewerPlacement reports whether a later copy of this opening packet has been sent to a sidecar, or a sidecar has
// claimed the flow and stated the start time of the upstream process that holds it.
func (c *flowCache) hasNewerPlacement(segment landing.Segment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	flow, found := c.flows[segment.Key()]
	return found && (flow.earlierCopies > segment.EarlierCopies() || flow.upstreamStartMillis > 0)
}

// makeRoom removes a flow that has had no packet for long, if the cache is full and does not contain the flow k. The idle
// timeout may be days, so flows whose callers are gone can fill the cache. c must be locked.
func (c *flowCache) makeRoom(k landing.FlowKey) {
	if _, found := c.flows[k]; found || len(c.flows) < maxCachedFlows {
		return
	}
	var oldest landing.FlowKey
	var oldestAt time.Time
	sampled := 0
	for candidate, flow := range c.flows { // in random order
		if sampled == 0 || flow.lastPacketAt.Before(oldestAt) {
			oldest, oldestAt = candidate, flow.lastPacketAt
		}
		if sampled++; sampled == evictionSample {
			break
		}
	}
	delete(c.flows, oldest)
}

// putClaim records that a sidecar has claimed the flow for the process of its upstream that started at startMillis. While
// the sidecar is not certain that the flow belongs to the current process, startMillis is 0.
func (c *flowCache) putClaim(k landing.FlowKey, sidecarAddress, startMillis uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	flow := c.flows[k]
	c.makeRoom(k)
	c.flows[k] = cachedFlow{sidecarAddress: sidecarAddress, lastPacketAt: now, earlierCopies: flow.earlierCopies, upstreamStartMillis: startMillis, lastAcknowledged: flow.lastAcknowledged}
}

// removeFlowsOfEndedProcesses removes and returns the flows that were held by processes of a sidecar's upstream that
// started before startMillis, the start time of the current process.
func (c *flowCache) removeFlowsOfEndedProcesses(sidecarAddress, startMillis uint64) []landing.HeldFlow {
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

// removeUnanswered removes and returns the flows that an unreachable sidecar has claimed for a known upstream process and
// whose callers have sent a packet after silentSince, the time of the sidecar's last sign of life. These packets have got
// no answer.
func (c *flowCache) removeUnanswered(sidecarAddress uint64, silentSince time.Time) []landing.HeldFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var removed []landing.HeldFlow
	for k, flow := range c.flows {
		if flow.sidecarAddress == sidecarAddress && flow.upstreamStartMillis > 0 && flow.lastPacketAt.After(silentSince) {
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

// countNewFlow counts a new flow that was sent to the sidecar. The count starts again with each status of the sidecar.
func (c *flowCache) countNewFlow(sidecar landing.KnownSidecar) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.sent[sidecar.Address()]
	if sent.statusSequenceNumber != sidecar.LastStatus().SequenceNumber() {
		sent = sentFlows{statusSequenceNumber: sidecar.LastStatus().SequenceNumber()}
	}
	sent.count++
	c.sent[sidecar.Address()] = sent
}

// newFlowsSinceStatus returns the number of new flows sent to the sidecar since its last status.
func (c *flowCache) newFlowsSinceStatus(sidecar landing.KnownSidecar) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.sent[sidecar.Address()]
	if sent.statusSequenceNumber != sidecar.LastStatus().SequenceNumber() {
		return 0
	}
	return sent.count
}
