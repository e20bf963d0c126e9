package hold

import (
	"math/rand/v2"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// decideFunc is the signature of Decide. Tests replace Decide by faulty variants.
type decideFunc func(landing.FlowState, landing.Segment, landing.ChainPosition, landing.Refusal) landing.SegmentAction

// simulation is a network of one caller, several balancers and the sidecars of one service. Each
// balancer has its own chain, a random order of the sidecars. Segments are lost, repeated and
// reordered at random.
type simulation struct {
	rng        *rand.Rand
	decide     decideFunc
	sidecars   []sidecar
	chains     [][]int
	caller     caller
	toSidecars []landing.Segment
	replies    []reply
	// hasRestarts lets sidecars restart between two data segments while their upstreams run.
	hasRestarts bool
}

// sidecar is a model of one sidecar with its upstream: its state of the flow, whether the upstream holds
// the flow as an open one, the initial sequence number of its SYN-ACK, the number of data segments
// received, and whether it can admit a new flow.
type sidecar struct {
	state            landing.FlowState
	isOpen           bool
	initialSequence  uint32
	receivedSegments int
	hasCapacity      bool
}

// reply is a segment to the caller: a reset if isReset is set, otherwise a SYN-ACK.
type reply struct {
	sidecar         int
	initialSequence uint32
	isReset         bool
	resetSequence   uint32
}

// caller is a TCP client with one flow. Once it is connected, sidecar is the index of the sidecar
// whose SYN-ACK arrived first.
type caller struct {
	initialSequence        uint32
	sidecar                int
	sidecarInitialSequence uint32
	receivedResponses      uint32
	connected              bool
	broken                 bool
}

const (
	sidecarCount  = 4
	balancerCount = 3
)

func newSimulation(seed uint64, decide decideFunc) *simulation {
	rng := rand.New(rand.NewPCG(seed, seed))
	s := &simulation{rng: rng, decide: decide, caller: caller{initialSequence: rng.Uint32()}}
	for range sidecarCount {
		s.sidecars = append(s.sidecars, sidecar{state: landing.FlowAbsent{}, initialSequence: rng.Uint32(), hasCapacity: rng.IntN(3) > 0})
	}
	s.sidecars[rng.IntN(sidecarCount)].hasCapacity = true
	for range balancerCount {
		s.chains = append(s.chains, rng.Perm(sidecarCount))
	}
	return s
}

// connect sends SYNs until the caller receives a SYN-ACK, at most 200 times.
func (s *simulation) connect() {
	for range 200 {
		if s.caller.connected {
			return
		}
		syn := landing.Segment{}.WithIsSyn(true).WithSequenceNumber(s.caller.initialSequence)
		s.toSidecars = append(s.toSidecars, syn)
		s.exchange(0.3)
	}
}

// sendData sends a data segment until the connected sidecar receives it, at most 200 times, with
// delayed copies of the SYN in between. It reports whether the segment was received.
func (s *simulation) sendData() bool {
	before := s.sidecars[s.caller.sidecar].receivedSegments
	if s.hasRestarts {
		s.restart()
	}
	for range 200 {
		s.toSidecars = append(s.toSidecars, s.dataSegment())
		if s.rng.IntN(4) == 0 {
			lateSyn := landing.Segment{}.WithIsSyn(true).WithSequenceNumber(s.caller.initialSequence)
			s.toSidecars = append(s.toSidecars, lateSyn)
		}
		s.exchange(0.3)
		if s.caller.broken {
			return false
		}
		if s.sidecars[s.caller.sidecar].receivedSegments > before {
			s.caller.receivedResponses++
			return true
		}
	}
	return false
}

func (s *simulation) dataSegment() landing.Segment {
	return landing.Segment{}.
		WithHasAck(true).
		WithSequenceNumber(s.caller.initialSequence + 1).
		WithAcknowledgementNumber(s.caller.sidecarInitialSequence + 1 + s.caller.receivedResponses)
}

// restart restarts each sidecar with the probability 0.5. It then has no record of the flow, which its
// upstream may hold.
func (s *simulation) restart() {
	for i := range s.sidecars {
		if s.rng.IntN(2) == 0 {
			s.sidecars[i].state = landing.FlowUnknown{}
		}
	}
}

// exchange delivers the segments in transit, in both directions and in random order, until there
// are none left. It drops each of them with the probability lossRate.
func (s *simulation) exchange(lossRate float64) {
	for len(s.toSidecars) > 0 || len(s.replies) > 0 {
		if len(s.toSidecars) > 0 && (len(s.replies) == 0 || s.rng.IntN(2) == 0) {
			segment := removeRandomSegment(s.rng, &s.toSidecars)
			if s.rng.Float64() >= lossRate {
				s.offerToHop(segment, s.chains[s.rng.IntN(balancerCount)], 0)
			}
			continue
		}
		r := removeRandomReply(s.rng, &s.replies)
		if s.rng.Float64() >= lossRate {
			s.receive(r)
		}
	}
}

// offerToHop offers the segment to the sidecar at index hop of the chain and carries out the action
// that decide returns.
func (s *simulation) offerToHop(segment landing.Segment, chain []int, hop int) {
	sc := &s.sidecars[chain[hop]]
	position := landing.ChainPosition{}.WithHasNext(hop+1 < len(chain))
	refusal := landing.RefusalUnspecified
	if !sc.hasCapacity {
		refusal = landing.RefusalRoom
	}
	switch s.decide(sc.state, segment, position, refusal).(type) {
	case landing.AdmitFlow:
		_, isUnknown := sc.state.(landing.FlowUnknown)
		sc.state = landing.FlowHalfOpen{}.WithInitialSequenceNumber(segment.SequenceNumber()).WithExpectedAcknowledgement(sc.initialSequence + 1).WithOpenFlowPossible(isUnknown)
		s.replies = append(s.replies, reply{sidecar: chain[hop], initialSequence: sc.initialSequence})
	case landing.CompleteHandshake:
		sc.state, sc.isOpen = landing.FlowEstablished{}, true
		sc.receivedSegments++
	case landing.OfferToUpstream:
		s.offerToUpstream(segment, chain, hop)
	case landing.Deliver:
		s.deliver(chain[hop], segment)
	case landing.DeliverAndForward:
		s.deliver(chain[hop], segment)
		s.offerToHop(segment, chain, hop+1)
	case landing.ForwardToNext, landing.DeferAdmission:
		s.offerToHop(segment, chain, hop+1)
	case landing.ResetFlow:
		s.replies = append(s.replies, reply{sidecar: chain[hop], isReset: true, resetSequence: segment.AcknowledgementNumber()})
	case landing.ReturnToBalancer, landing.DropSegment, landing.AbandonHandshake, landing.ReturnToDeferrer:
	}
}

// offerToUpstream offers the segment to the upstream of the sidecar at index hop of the chain, which
// returns it if it does not hold the flow. A segment that acknowledges its SYN-ACK opens the flow there.
func (s *simulation) offerToUpstream(segment landing.Segment, chain []int, hop int) {
	sc := &s.sidecars[chain[hop]]
	if sc.isOpen || segment.AcknowledgementNumber() == sc.initialSequence+1 {
		sc.state, sc.isOpen = landing.FlowEstablished{}, true
		sc.receivedSegments++
		return
	}
	position := landing.ChainPosition{}.WithHasNext(hop+1 < len(chain))
	if _, isForwarded := s.decide(landing.FlowAbsent{}, segment, position, landing.RefusalUnspecified).(landing.ForwardToNext); isForwarded {
		s.offerToHop(segment, chain, hop+1)
	}
}

// deliver passes the segment to the TCP stack of a sidecar, which replies as RFC 9293 section
// 3.10.7.4 specifies.
func (s *simulation) deliver(index int, segment landing.Segment) {
	sc := &s.sidecars[index]
	if segment.IsSyn() {
		s.replies = append(s.replies, reply{sidecar: index, initialSequence: sc.initialSequence})
		return
	}
	if !sc.isOpen && segment.AcknowledgementNumber() != sc.initialSequence+1 {
		s.replies = append(s.replies, reply{sidecar: index, isReset: true, resetSequence: segment.AcknowledgementNumber()})
		return
	}
	sc.receivedSegments++
}

// receive passes a reply to the TCP stack of the caller.
func (s *simulation) receive(r reply) {
	c := &s.caller
	switch {
	case r.isReset:
		if c.connected && r.resetSequence == c.sidecarInitialSequence+1+c.receivedResponses {
			c.broken = true
		}
	case !c.connected:
		c.connected = true
		c.sidecar = r.sidecar
		c.sidecarInitialSequence = r.initialSequence
		s.toSidecars = append(s.toSidecars, s.dataSegment())
	default:
		s.toSidecars = append(s.toSidecars, s.dataSegment())
	}
}

func removeRandomSegment(rng *rand.Rand, segments *[]landing.Segment) landing.Segment {
	i := rng.IntN(len(*segments))
	segment := (*segments)[i]
	*segments = append((*segments)[:i], (*segments)[i+1:]...)
	return segment
}

func removeRandomReply(rng *rand.Rand, replies *[]reply) reply {
	i := rng.IntN(len(*replies))
	r := (*replies)[i]
	*replies = append((*replies)[:i], (*replies)[i+1:]...)
	return r
}
