package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/platform"
)

// resetLostFlows resets the flows that a process of the upstream held when it ended, so that their callers
// try again at once. Flows that were opened after the time until may belong to the next process and are not
// reset.
func (f *Forwarder) resetLostFlows(until time.Time) {
	f.resetFlows(f.table.clear(until), "upstream ended")
}

// resetRecordedFlows resets the recorded flows of an earlier process of the upstream. A flow that is in the
// table was opened after the end of that process and is not reset.
func (f *Forwarder) resetRecordedFlows(r landing.HeldFlowList) {
	var list []landing.HeldFlow
	for _, h := range r.Flows() {
		if !f.table.has(h.Key()) {
			list = append(list, h)
		}
	}
	f.resetFlows(list, "upstream ended before the start")
}

// resetFlows sends a reset to the caller of each flow.
func (f *Forwarder) resetFlows(list []landing.HeldFlow, reason string) {
	if len(list) == 0 {
		return
	}
	f.telemetry.Log().Info("flows reset", "reason", reason, "flows", len(list))
	for _, h := range list {
		f.telemetry.Counters().Counter("reset.ended").Inc(1)
		f.sendToCaller(h.Key(), platform.NewReset(h.Key(), h.LastAcknowledged()))
	}
}
