package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

var (
	start   = time.Unix(1000, 0)
	flowKey = landing.FlowKey{}.WithSourceAddress(1).WithSourcePort(2).WithDestinationAddress(3).WithDestinationPort(4)
	always  = func(load) landing.Refusal { return landing.RefusalUnspecified }
	alone   = landing.ChainPosition{}.WithHasMore(true)
)

// opened returns a table with one open flow.
func opened(t *testing.T) *table {
	is := is.New(t)
	tb := newTable(start)
	syn := landing.Segment{}.WithKey(flowKey).WithIsSyn(true).WithSequenceNumber(100)
	is.Equal(tb.decide(syn, alone, landing.FlowAbsent{}, always, start), landing.AdmitFlow{})
	tb.noteUpstream(landing.Segment{}.WithKey(flowKey).WithIsSynAck(true).WithSequenceNumber(500), start)
	ack := landing.Segment{}.WithKey(flowKey).WithHasAck(true).WithSequenceNumber(101).WithAcknowledgementNumber(501)
	is.Equal(tb.decide(ack, alone, landing.FlowAbsent{}, always, start), landing.CompleteHandshake{})
	return tb
}

func request(sequence uint32) landing.Segment {
	return landing.Segment{}.WithKey(flowKey).WithHasAck(true).WithSequenceNumber(sequence).WithAcknowledgementNumber(501).WithPayloadBytes(100)
}

var answer = landing.Segment{}.WithKey(flowKey).WithHasAck(true).WithSequenceNumber(501).WithPayloadBytes(100)

// A request that is sent again after its answer has begun counted as a second one that never ended, until the upstream
// seemed full for good: on nosa-lb trouble-1 all downloads waited from second 36 on.
func TestRequestThatIsSentAgainCountsOnce(t *testing.T) {
	is := is.New(t)
	tb := opened(t)
	tb.decide(request(101), alone, landing.FlowAbsent{}, always, start)
	is.Equal(tb.work(start), 1)
	is.True(tb.noteUpstream(answer, start) > 0)
	is.Equal(tb.work(start), 0)
	tb.decide(request(101), alone, landing.FlowAbsent{}, always, start)
	is.Equal(tb.work(start), 0)
	tb.decide(request(201), alone, landing.FlowAbsent{}, always, start)
	is.Equal(tb.work(start), 1)
}

func TestRequestOfACallerThatGivesUpTakesNoSlot(t *testing.T) {
	is := is.New(t)
	tb := opened(t)
	tb.decide(request(101), alone, landing.FlowAbsent{}, always, start)
	reset := landing.Segment{}.WithKey(flowKey).WithIsReset(true).WithSequenceNumber(201)
	tb.decide(reset, alone, landing.FlowAbsent{}, always, start)
	is.Equal(tb.work(start), 0)
}

func TestRequestWithoutAnswerTakesNoSlotForEver(t *testing.T) {
	is := is.New(t)
	tb := opened(t)
	tb.decide(request(101), alone, landing.FlowAbsent{}, always, start)
	later := start.Add(requestTime + time.Second)
	tb.expire(time.Hour, later)
	is.Equal(tb.work(later), 0)
}

// Only flows that the upstream is known to hold are recorded, since their callers are reset after a loss of power; and
// only long ones, since the others have ended by then.
func TestLongOpenFlowsAreHeld(t *testing.T) {
	is := is.New(t)
	tb := opened(t)
	halfOpen := flowKey.WithSourcePort(9)
	tb.decide(landing.Segment{}.WithKey(halfOpen).WithIsSyn(true), alone, landing.FlowAbsent{}, always, start)
	present := landing.UpstreamState{}.WithFirstHeartbeat(start.Add(-time.Second)).WithLastHeartbeat(start.Add(time.Second))
	is.Equal(len(tb.held(present, start, 10)), 0)
	is.Equal(len(tb.held(present.WithFirstHeartbeat(start.Add(time.Millisecond)), start.Add(time.Second), 10)), 0)
	held := tb.held(present, start.Add(time.Second), 10)
	is.Equal(held, []landing.HeldFlow{landing.HeldFlow{}.WithKey(flowKey).WithLastAcknowledged(501)})
}

func TestPortThatIsUsedAgainPassesTheGate(t *testing.T) {
	is := is.New(t)
	tb := opened(t)
	closed := func(load) landing.Refusal { return landing.RefusalLeaving }
	again := landing.Segment{}.WithKey(flowKey).WithIsSyn(true).WithSequenceNumber(9000)
	step := tb.decide(again, alone, landing.FlowAbsent{}, closed, start)
	is.Equal(step, landing.ReturnToBalancer{})
}

// Soak: an upstream crashed and started again within milliseconds, a flow was opened at its successor, and the first
// heartbeat of that one reset the flow, since the sidecar took it for one of the predecessor's.
func TestFlowsOpenedAfterTheLastHeartbeatAreLeftToTheUpstream(t *testing.T) {
	is := is.New(t)
	tb := opened(t)
	is.Equal(len(tb.clear(start.Add(-time.Millisecond))), 0)
	step := tb.decide(request(101), alone, landing.FlowAbsent{}, always, start)
	is.Equal(step, landing.OfferToUpstream{})
	tb.noteUpstream(answer, start.Add(time.Second))
	is.Equal(len(tb.clear(start)), 0)
}

func TestFlowsOfTheEndedUpstreamAreCleared(t *testing.T) {
	is := is.New(t)
	tb := opened(t)
	is.Equal(len(tb.clear(start)), 1)
	is.Equal(tb.load().flows, 0)
}

// Soak, seed 126: a sidecar was frozen with an opening packet in its socket; its caller's copy opened the flow elsewhere.
// After the thaw the flow was half open here, and the end of this upstream reset it.
func TestHandshakesThatWereNotCompletedHereAreNotReset(t *testing.T) {
	is := is.New(t)
	tb := newTable(start)
	syn := landing.Segment{}.WithKey(flowKey).WithIsSyn(true).WithSequenceNumber(100)
	tb.decide(syn, alone, landing.FlowAbsent{}, always, start)
	tb.noteUpstream(landing.Segment{}.WithKey(flowKey).WithIsSynAck(true).WithSequenceNumber(500), start)
	is.Equal(len(tb.clear(start)), 0)
	is.Equal(tb.load().flows, 0)
}
