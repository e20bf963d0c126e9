package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/platform"
)

// resetLost resets the flows of an upstream whose process has ended, so that their callers try again at once. Those that
// were opened after this time may be its successor's.
func (t *Forwarder) resetLost(at time.Time) {
	t.resetAll(t.table.clear(at), "upstream ended")
}

// resetRecorded resets the flows that an earlier incarnation of the upstream held. One that is in the table was opened
// since.
func (t *Forwarder) resetRecorded(r landing.HeldFlowList) {
	var list []landing.HeldFlow
	for _, h := range r.Flows() {
		if !t.table.has(h.Key()) {
			list = append(list, h)
		}
	}
	t.resetAll(list, "upstream ended before the start")
}

func (t *Forwarder) resetAll(list []landing.HeldFlow, reason string) {
	if len(list) == 0 {
		return
	}
	t.common.Log().Info("flows reset", "reason", reason, "flows", len(list))
	for _, h := range list {
		t.common.Counters().Counter("reset.ended").Inc(1)
		t.toCaller(h.Key(), platform.NewReset(h.Key(), h.LastAcknowledged()))
	}
}
