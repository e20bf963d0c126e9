package app

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/weight"
)

const (
	// leaveTime is the time in which callers on open connections still get one answer
	// after the upstream has said that it leaves.
	leaveGrace = 2 * time.Second
	// weighInterval is the time between two looks at the speed of the upstream.
	weightInterval = time.Second
)

// take takes an announcement of the upstream.
func (sc *Sidecar) handleAnnouncement(a landing.UpstreamAnnouncement) {
	sc.control.Post(landing.AnnouncementReceived{}.WithAnnouncement(a))
	switch a.State() {
	case landing.ConditionStarted:
		sc.gate.HandleEvent(landing.UpstreamStarted{}.WithObservedAt(time.Now()))
	case landing.ConditionLeaving:
		sc.requests.CloseAfterNextResponse()
		sc.stopper.Go(sc.stopAdmittingAfterGrace)
	case landing.ConditionUnspecified:
	}
}

// leave stops admitting requests once callers on open connections had time for one more.
func (sc *Sidecar) stopAdmittingAfterGrace() {
	timer := time.NewTimer(leaveGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
		sc.gate.HandleEvent(landing.UpstreamLeaving{})
	case <-sc.stopper.C():
	}
}

// weigh measures the speed of the upstream again and again.
func (sc *Sidecar) measureWeight() {
	ticker := time.NewTicker(weightInterval)
	defer ticker.Stop()
	for {
		select {
		case <-sc.stopper.C():
			return
		case <-ticker.C:
			a := sc.gate.AdmissionState()
			sc.control.Post(landing.WeightMeasured{}.WithRequestsPerSecond(weight.FromLatency(a.Slots(), a.LongTermLatency())))
		}
	}
}
