package relay

import (
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/platform"
)

// reset refuses a new flow, or ends one that is proved to be held by nobody.
func (t *Forwarder) reset(segment landing.Segment, reason landing.Refusal) {
	t.common.Counters().CountRefusal(reason)
	t.common.Log().Info("flow reset", "flow", address.FormatFlow(segment.Key()), "opening", segment.IsSyn(),
		"copies", segment.EarlierCopies(), "reason", reason.String())
	t.resetCaller(segment.Key(), segment.AcknowledgementNumber())
}

// resetLost resets the flows that earlier incarnations of a sidecar's upstream held, so that their callers open new ones
// before they send the next request.
func (t *Forwarder) resetLost(hop, born uint64) {
	t.resetAll(t.cache.takeLost(hop, born), hop, "ended")
}

// resetDark resets the flows of a sidecar in a zone that has gone dark whose callers wait for an answer. A caller sends
// again ever more rarely, and the next time may come after its deadline.
func (t *Forwarder) resetDark(n landing.KnownSidecar) {
	t.resetAll(t.cache.takePending(n.Address(), n.LastStatusAt()), n.Address(), "dark")
}

func (t *Forwarder) resetAll(list []landing.HeldFlow, hop uint64, reason string) {
	if len(list) == 0 {
		return
	}
	t.common.Log().Info("flows reset", "reason", reason, "sidecar", address.UnpackAddrPort(hop).String(), "flows", len(list))
	for _, f := range list {
		t.common.Counters().Counter("reset." + reason).Inc(1)
		t.resetCaller(f.Key(), f.LastAcknowledged())
	}
}

func (t *Forwarder) resetCaller(k landing.FlowKey, acknowledged uint32) {
	t.link.SendBytes(platform.NewReset(k, acknowledged).Bytes(), platform.CallerAddress(k, t.callers))
}
