package relay

import (
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/platform"
)

// reset refuses a new flow, or ends one that is proved to be held by nobody.
func (t *Traffic) reset(segment landing.Segment, reason landing.Refusal) {
	t.common.Counters().Refused(reason)
	t.common.Log().Info("flow reset", "flow", address.Flow(segment.Key()), "opening", segment.Opening(),
		"copies", segment.Copies(), "reason", reason.String())
	t.resetCaller(segment.Key(), segment.Acknowledged())
}

// resetLost resets the flows that earlier incarnations of a sidecar's upstream held, so that their callers open new ones
// before they send the next request.
func (t *Traffic) resetLost(hop, born uint64) {
	list := t.cache.takeLost(hop, born)
	if len(list) > 0 {
		t.common.Log().Info("flows reset", "reason", "upstream ended", "sidecar", address.FromHop(hop).String(), "flows", len(list))
	}
	for _, f := range list {
		t.common.Counters().Counter("reset.ended").Inc(1)
		t.resetCaller(f.Key(), f.Acknowledged())
	}
}

func (t *Traffic) resetCaller(k landing.Key, acknowledged uint32) {
	t.link.SendBytes(platform.NewReset(k, acknowledged).Bytes(), platform.Caller(k, t.callers))
}
