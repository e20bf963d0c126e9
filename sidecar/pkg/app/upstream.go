package app

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/weight"
)

const (
	// leaveGrace is the time after the upstream's announcement that it shuts down in which callers on open
	// connections can still get one response.
	leaveGrace = 2 * time.Second
	// weightInterval is the interval between two computations of the target's weight.
	weightInterval = time.Second
)

// handleAnnouncement handles an announcement of the upstream.
func (sc *Sidecar) handleAnnouncement(a landing.UpstreamAnnouncement) {
	sc.controlThread.Post(landing.AnnouncementReceived{}.WithAnnouncement(a))
	switch a.State() {
	case landing.ConditionStarted:
		sc.gate.HandleEvent(landing.UpstreamStarted{}.WithObservedAt(time.Now()))
	case landing.ConditionLeaving:
		sc.requests.CloseAfterNextResponse()
		sc.stopper.Go(sc.stopAdmittingAfterGrace)
	case landing.ConditionUnspecified:
	}
}

// stopAdmittingAfterGrace stops the admission of requests after leaveGrace.
func (sc *Sidecar) stopAdmittingAfterGrace() {
	timer := time.NewTimer(leaveGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
		sc.gate.HandleEvent(landing.UpstreamLeaving{})
	case <-sc.stopper.C():
	}
}

// measureWeight periodically computes the weight of the target from the upstream's slots and latency, and
// posts it to the control thread, until the sidecar stops. The weight is the capacity of the upstream in
// requests per second.
func (sc *Sidecar) measureWeight() {
	ticker := time.NewTicker(weightInterval)
	defer ticker.Stop()
	for {
		select {
		case <-sc.stopper.C():
			return
		case <-ticker.C:
			a := sc.gate.AdmissionState()
			sc.controlThread.Post(landing.WeightMeasured{}.WithRequestsPerSecond(weight.FromLatency(a.Slots(), a.LongTermLatency())))
		}
	}
}
