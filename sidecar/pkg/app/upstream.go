package app

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/weight"
)

const (
	// leaveTime is the time in which callers on open connections still get one answer
	// after the upstream has said that it leaves.
	leaveTime = 2 * time.Second
	// weighInterval is the time between two looks at the speed of the upstream.
	weighInterval = time.Second
)

// take takes an announcement of the upstream.
func (sc *Sidecar) take(a landing.UpstreamAnnouncement) {
	sc.keeper.Post(landing.AnnouncementReceived{}.WithAnnouncement(a))
	switch a.State() {
	case landing.ConditionStarted:
		sc.gate.Note(landing.UpstreamStarted{}.WithObservedAt(time.Now()))
	case landing.ConditionLeaving:
		sc.requests.CloseSoon()
		sc.done.Go(sc.leave)
	case landing.ConditionUnspecified:
	}
}

// leave stops admitting requests once callers on open connections had time for one more.
func (sc *Sidecar) leave() {
	timer := time.NewTimer(leaveTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		sc.gate.Note(landing.UpstreamLeaving{})
	case <-sc.done.C():
	}
}

// weigh measures the speed of the upstream again and again.
func (sc *Sidecar) weigh() {
	ticker := time.NewTicker(weighInterval)
	defer ticker.Stop()
	for {
		select {
		case <-sc.done.C():
			return
		case <-ticker.C:
			a := sc.gate.AdmissionState()
			sc.keeper.Post(landing.WeightMeasured{}.WithRequestsPerSecond(weight.FromLatency(a.Slots(), a.LongTermLatency())))
		}
	}
}
