package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/platform"
)

// logRequest logs each packet with the head of a request that is delivered to the upstream, so that the flow
// of a request can be found by the request's identifier. Each retransmission of the head is logged.
func (f *Forwarder) logRequest(s landing.Segment, forwarded landing.ForwardedPacket, packet platform.Packet, action landing.SegmentAction) {
	isOffered := false
	switch action.(type) {
	case landing.Deliver, landing.CompleteHandshake, landing.DeliverAndForward:
	case landing.OfferToUpstream:
		isOffered = true
	case landing.AdmitFlow, landing.ForwardToNext, landing.ReturnToBalancer, landing.ResetFlow, landing.DropSegment, landing.AbandonHandshake, landing.DeferAdmission, landing.ReturnToDeferrer:
		return
	}
	request := platform.RequestID(packet.Payload())
	if request == "" {
		return
	}
	l := f.table.load(clock.Now())
	f.telemetry.Log().Info(requestArrivedEvent, "request", request, "flow", address.FormatFlow(s.Key()),
		"asked", isOffered, "part", forwarded.ChainPart(), "position", forwarded.HopIndex(), "running", l.runningRequests, "usual", l.averageLatency.Round(time.Millisecond).String())
}

// requestArrivedEvent is logged for each request. Package logline recognizes events that occur for each request
// by their text and limits their lines separately, so that they do not displace others under high load.
const requestArrivedEvent = "request arrived"

// logAction logs each action that admits, moves or refuses a flow, and counts refusals. Plain forwarding is
// not logged.
func (f *Forwarder) logAction(s landing.Segment, forwarded landing.ForwardedPacket, action landing.SegmentAction, refusal landing.Refusal) {
	outcome := ""
	switch action.(type) {
	case landing.AdmitFlow:
		outcome = "taken"
	case landing.DeferAdmission:
		outcome = "deferred"
	case landing.ReturnToDeferrer:
		outcome = "recalled"
	case landing.ReturnToBalancer, landing.ResetFlow:
		outcome = "returned"
	case landing.AbandonHandshake:
		outcome = "replaced"
	case landing.Deliver, landing.CompleteHandshake, landing.ForwardToNext, landing.DeliverAndForward, landing.DropSegment, landing.OfferToUpstream:
		return
	}
	if refusal != landing.RefusalUnspecified {
		f.telemetry.Counters().CountRefusal(refusal)
	}
	f.telemetry.Log().Info("flow "+outcome, "flow", address.FormatFlow(s.Key()), "opening", s.IsSyn(), "copies", s.EarlierCopies(),
		"part", forwarded.ChainPart(), "position", forwarded.HopIndex(), "reason", refusal.String(), "rules", forwarded.RulesVersion())
}
