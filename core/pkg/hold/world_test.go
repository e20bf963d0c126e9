package hold

import (
	"math/rand/v2"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// decision is the signature of Decide, so that a faulty one can take its place.
type decision func(landing.FlowState, landing.Segment, landing.ChainPosition, landing.Refusal) landing.SegmentAction

// world is one caller that opens a flow through balancers that disagree, and the sidecars
// that their chains name. Segments are lost, repeated and reordered at random.
type world struct {
	random   *rand.Rand
	decide   decision
	sidecars []model
	chains   [][]int
	caller   caller
	toFleet  []landing.Segment
	toCaller []answer
}

// model is one sidecar: the stage of the flow, its own sequence number, and what it received.
type model struct {
	stage    landing.FlowState
	initial  uint32
	received int
	hasRoom  bool
}

// answer is a segment to the caller.
type answer struct {
	from     int
	initial  uint32
	isReset  bool
	sequence uint32
}

// caller is a TCP client that opens one flow and sends a number of segments.
type caller struct {
	initial   uint32
	holder    int
	theirs    uint32
	connected bool
	broken    bool
}

const (
	sidecarCount  = 4
	balancerCount = 3
)

func newWorld(seed uint64, d decision) *world {
	random := rand.New(rand.NewPCG(seed, seed))
	w := &world{random: random, decide: d, caller: caller{initial: random.Uint32()}}
	for range sidecarCount {
		w.sidecars = append(w.sidecars, model{stage: landing.FlowAbsent{}, initial: random.Uint32(), hasRoom: random.IntN(3) > 0})
	}
	w.sidecars[random.IntN(sidecarCount)].hasRoom = true
	for range balancerCount {
		w.chains = append(w.chains, random.Perm(sidecarCount))
	}
	return w
}

// open sends first packets until the caller has its handshake, with losses and repeats.
func (w *world) open() {
	for range 200 {
		if w.caller.connected {
			return
		}
		syn := landing.Segment{}.WithIsSyn(true).WithSequenceNumber(w.caller.initial)
		w.toFleet = append(w.toFleet, syn)
		w.shuffle(0.3)
	}
}

// transfer sends one segment of data, again until the holder has it.
func (w *world) transfer() bool {
	before := w.sidecars[w.caller.holder].received
	for range 200 {
		w.toFleet = append(w.toFleet, w.data())
		if w.random.IntN(4) == 0 {
			late := landing.Segment{}.WithIsSyn(true).WithSequenceNumber(w.caller.initial)
			w.toFleet = append(w.toFleet, late)
		}
		w.shuffle(0.3)
		if w.caller.broken {
			return false
		}
		if w.sidecars[w.caller.holder].received > before {
			return true
		}
	}
	return false
}

func (w *world) data() landing.Segment {
	return landing.Segment{}.
		WithHasAck(true).
		WithSequenceNumber(w.caller.initial + 1).
		WithAcknowledgementNumber(w.caller.theirs + 1)
}

// shuffle delivers what is under way in random order, and loses some of it.
func (w *world) shuffle(loss float64) {
	for len(w.toFleet) > 0 || len(w.toCaller) > 0 {
		if len(w.toFleet) > 0 && (len(w.toCaller) == 0 || w.random.IntN(2) == 0) {
			s := takeSegment(w.random, &w.toFleet)
			if w.random.Float64() >= loss {
				w.offer(s, w.chains[w.random.IntN(balancerCount)], 0)
			}
			continue
		}
		a := takeAnswer(w.random, &w.toCaller)
		if w.random.Float64() >= loss {
			w.take(a)
		}
	}
}

// offer gives the segment to the sidecar at this position of the chain.
func (w *world) offer(s landing.Segment, chain []int, position int) {
	m := &w.sidecars[chain[position]]
	at := landing.ChainPosition{}.WithHasNext(position+1 < len(chain))
	refusal := landing.RefusalUnspecified
	if !m.hasRoom {
		refusal = landing.RefusalRoom
	}
	switch w.decide(m.stage, s, at, refusal).(type) {
	case landing.AdmitFlow:
		m.stage = landing.FlowHalfOpen{}.WithInitialSequenceNumber(s.SequenceNumber()).WithExpectedAcknowledgement(m.initial + 1)
		w.toCaller = append(w.toCaller, answer{from: chain[position], initial: m.initial})
	case landing.CompleteHandshake:
		m.stage = landing.FlowEstablished{}
		m.received++
	case landing.Deliver:
		w.deliver(chain[position], s)
	case landing.DeliverAndForward:
		w.deliver(chain[position], s)
		w.offer(s, chain, position+1)
	case landing.ForwardToNext, landing.DeferAdmission:
		w.offer(s, chain, position+1)
	case landing.ResetFlow:
		w.toCaller = append(w.toCaller, answer{from: chain[position], isReset: true, sequence: s.AcknowledgementNumber()})
	case landing.ReturnToBalancer, landing.DropSegment, landing.AbandonHandshake, landing.ReturnToDeferrer, landing.OfferToUpstream:
	}
}

// deliver hands the segment to the TCP of a sidecar, as RFC 9293 section 3.10.7.4 says.
func (w *world) deliver(i int, s landing.Segment) {
	m := &w.sidecars[i]
	if s.IsSyn() {
		w.toCaller = append(w.toCaller, answer{from: i, initial: m.initial})
		return
	}
	if s.AcknowledgementNumber() != m.initial+1 {
		w.toCaller = append(w.toCaller, answer{from: i, isReset: true, sequence: s.AcknowledgementNumber()})
		return
	}
	m.received++
}

// take hands an answer to the caller's TCP.
func (w *world) take(a answer) {
	c := &w.caller
	switch {
	case a.isReset:
		if c.connected && a.sequence == c.theirs+1 {
			c.broken = true
		}
	case !c.connected:
		c.connected = true
		c.holder = a.from
		c.theirs = a.initial
		w.toFleet = append(w.toFleet, w.data())
	default:
		w.toFleet = append(w.toFleet, w.data())
	}
}

func takeSegment(random *rand.Rand, list *[]landing.Segment) landing.Segment {
	i := random.IntN(len(*list))
	s := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return s
}

func takeAnswer(random *rand.Rand, list *[]answer) answer {
	i := random.IntN(len(*list))
	a := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return a
}
