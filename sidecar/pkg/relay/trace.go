package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/platform"
)

// logRequest writes a line for each packet with the head of a request that goes to the upstream, so that the request's
// identifier leads to its flow. A head that is sent again has a line for each time.
func (t *Traffic) logRequest(s landing.Segment, p landing.Parcel, packet platform.Packet, step landing.Step) {
	isAsked := false
	switch step.(type) {
	case landing.Deliver, landing.Complete, landing.Both:
	case landing.Ask:
		isAsked = true
	case landing.Take, landing.Pass, landing.Return, landing.Reset, landing.Drop, landing.Replace, landing.Defer, landing.Recall:
		return
	}
	request := platform.RequestID(packet.Data())
	if request == "" {
		return
	}
	l := t.table.load()
	t.common.Log().Info(routineRequest, "request", request, "flow", address.Flow(s.Key()),
		"asked", isAsked, "part", p.Part(), "position", p.Position(), "running", l.running, "usual", l.usual.Round(time.Millisecond).String())
}

// routineRequest is the event of a request that arrives. There are as many of them as requests.
const routineRequest = "request arrived"

// logStep writes a line for each decision that places, moves or refuses a flow. Plain forwarding has none.
func (t *Traffic) logStep(s landing.Segment, p landing.Parcel, step landing.Step, refusal landing.Refusal) {
	outcome := ""
	switch step.(type) {
	case landing.Take:
		outcome = "taken"
	case landing.Defer:
		outcome = "deferred"
	case landing.Recall:
		outcome = "recalled"
	case landing.Return, landing.Reset:
		outcome = "returned"
	case landing.Replace:
		outcome = "replaced"
	case landing.Deliver, landing.Complete, landing.Pass, landing.Both, landing.Drop, landing.Ask:
		return
	}
	if refusal != landing.RefusalUnspecified {
		t.common.Counters().Refused(refusal)
	}
	t.common.Log().Info("flow "+outcome, "flow", address.Flow(s.Key()), "opening", s.Opening(), "copies", s.Copies(),
		"part", p.Part(), "position", p.Position(), "reason", refusal.String(), "rules", p.Rules())
}
