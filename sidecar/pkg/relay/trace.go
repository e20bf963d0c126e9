package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/platform"
)

// logRequest writes a line for each packet with the head of a request that goes to the upstream, so that the request's
// identifier leads to its flow. A head that is sent again has a line for each time.
func (t *Forwarder) logRequest(s landing.Segment, p landing.ForwardedPacket, packet platform.Packet, step landing.SegmentAction) {
	isAsked := false
	switch step.(type) {
	case landing.Deliver, landing.CompleteHandshake, landing.DeliverAndForward:
	case landing.OfferToUpstream:
		isAsked = true
	case landing.AdmitFlow, landing.ForwardToNext, landing.ReturnToBalancer, landing.ResetFlow, landing.DropSegment, landing.AbandonHandshake, landing.DeferAdmission, landing.ReturnToDeferrer:
		return
	}
	request := platform.RequestID(packet.Data())
	if request == "" {
		return
	}
	l := t.table.load()
	t.common.Log().Info(routineRequest, "request", request, "flow", address.FormatFlow(s.Key()),
		"asked", isAsked, "part", p.ChainPart(), "position", p.HopIndex(), "running", l.running, "usual", l.usual.Round(time.Millisecond).String())
}

// routineRequest is the event of a request that arrives. There are as many of them as requests.
const routineRequest = "request arrived"

// logStep writes a line for each decision that places, moves or refuses a flow. Plain forwarding has none.
func (t *Forwarder) logStep(s landing.Segment, p landing.ForwardedPacket, step landing.SegmentAction, refusal landing.Refusal) {
	outcome := ""
	switch step.(type) {
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
		t.common.Counters().CountRefusal(refusal)
	}
	t.common.Log().Info("flow "+outcome, "flow", address.FormatFlow(s.Key()), "opening", s.IsSyn(), "copies", s.EarlierCopies(),
		"part", p.ChainPart(), "position", p.HopIndex(), "reason", refusal.String(), "rules", p.RulesRevision())
}
