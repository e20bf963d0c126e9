package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// flow is what the sidecar has observed of one flow at its upstream. It is immutable.
type flow struct {
	state landing.FlowState
	// initialSequence is the sequence number of the caller's SYN.
	initialSequence uint32
	// lastAcknowledged is the last acknowledgement number that the caller sent.
	lastAcknowledged uint32
	// firstReplyAt is the time of the first segment from the upstream; the zero time before that.
	firstReplyAt time.Time
	// claimBalancer is the address of the balancer to which the flow must still be claimed, once it is certain
	// that the flow belongs to the upstream's current process; 0 when no claim is due.
	claimBalancer uint64
	// lastSegmentAt is the time of the last segment from either side.
	lastSegmentAt time.Time
	// sentEnd is the sequence number after the last data that the caller has sent. Data before it is a
	// retransmission.
	sentEnd uint32
	// responseEnd is the sequence number after the last data that the upstream has sent; 0 when it has sent no
	// segment. A FIN with this number ends the flow without a further response. A FIN with a later number has
	// overtaken the response.
	responseEnd uint32
	// hasCallerFin reports whether the caller has ended its side of the flow with a FIN. It then no longer waits
	// for a response, and its upstream discards the request.
	hasCallerFin bool
	// hasUpstreamFin reports whether the upstream has ended its side of the flow with a FIN. When another
	// request arrives after that, the upstream resets the flow, which is not a failure.
	hasUpstreamFin bool
	// replacesOpenFlow reports whether the flow's SYN has replaced the entry of a flow that may be open. If the
	// handshake then fails, the entry remains in the state FlowUnknown. If it were removed, the sidecar would
	// report that its upstream does not hold the flow.
	replacesOpenFlow bool
}

func (f flow) withState(s landing.FlowState) flow {
	f.state = s
	return f
}

// hasEnded reports whether both ends have ended the flow.
func (f flow) hasEnded() bool {
	return f.hasCallerFin && f.hasUpstreamFin
}

// isInHandshake reports whether the handshake of the flow is incomplete.
func (f flow) isInHandshake() bool {
	switch f.state.(type) {
	case landing.FlowAdmitted, landing.FlowHalfOpen:
		return true
	case landing.FlowEstablished, landing.FlowUnknown, landing.FlowAbsent:
	}
	return false
}

// isOpenFlowPossible reports whether the upstream may hold an open flow with this key, apart from a current handshake.
func (f flow) isOpenFlowPossible() bool {
	switch state := f.state.(type) {
	case landing.FlowAdmitted:
		return state.OpenFlowPossible()
	case landing.FlowHalfOpen:
		return state.OpenFlowPossible()
	case landing.FlowEstablished, landing.FlowUnknown:
		return true
	case landing.FlowAbsent:
	}
	return false
}

// withoutOpenFlow returns the flow after the upstream has shown that it holds no open flow with the key of the
// handshake.
func (f flow) withoutOpenFlow() flow {
	f.replacesOpenFlow = false
	switch state := f.state.(type) {
	case landing.FlowAdmitted:
		return f.withState(state.WithOpenFlowPossible(false))
	case landing.FlowHalfOpen:
		return f.withState(state.WithOpenFlowPossible(false))
	case landing.FlowEstablished, landing.FlowUnknown, landing.FlowAbsent:
	}
	return f
}

// withSynAck returns the flow after a SYN+ACK of the upstream. One with another sequence number than before comes
// from another process of the upstream, to which the handshake then belongs.
func (f flow) withSynAck(s landing.Segment, now time.Time) flow {
	expected := s.SequenceNumber() + 1
	if state, isHalfOpen := f.state.(landing.FlowHalfOpen); !isHalfOpen || state.ExpectedAcknowledgement() != expected {
		f.firstReplyAt = now
		f.responseEnd = expected
	}
	return f.withState(landing.FlowHalfOpen{}.
		WithInitialSequenceNumber(f.initialSequence).
		WithExpectedAcknowledgement(expected).
		WithOpenFlowPossible(f.isOpenFlowPossible()))
}

// withOpenFlowFound returns the flow after a segment with which the upstream shows that the flow is open.
func (f flow) withOpenFlowFound(s landing.Segment, now time.Time) flow {
	f.firstReplyAt = now
	f.replacesOpenFlow = false
	if s.HasAck() {
		// The caller's data up to here has been offered to the upstream and has not passed withCallerSegment.
		f.sentEnd = s.AcknowledgementNumber()
	}
	return f.withState(landing.FlowEstablished{})
}
