// Package entry makes the last decision before a new flow reaches an upstream: whether the sidecar
// admits it.
//
// Balancers learn of drains, zone exclusions and cold starts (the time after its start in which an
// upstream can process little) at different times, so a balancer with outdated state may send flows
// that must be refused. The sidecar next to the upstream checks every new flow against its own
// state.
package entry

import "github.com/crocuslanding/crocuslanding/core/gen/landing"

// Conditions are the facts about a new flow and its upstream on which admission depends.
type Conditions struct {
	// IsForOtherService reports whether the balancer sent the flow for another service than that of
	// the sidecar.
	IsForOtherService bool
	// IsEnrolled reports whether the sidecar is enrolled in the platform (the service outside the
	// fleet that stores shared objects), so that every balancer can find the flows that the sidecar
	// holds.
	IsEnrolled bool
	// IsAllowedByRules reports whether the routing rules allow the flow to go to the service.
	IsAllowedByRules bool
	// IsZoneExcluded reports whether the availability zone of the sidecar is excluded.
	IsZoneExcluded bool
	// UpstreamPhase is the life cycle phase of the upstream.
	UpstreamPhase landing.Phase
	// IsInColdStart reports whether the upstream is in cold start.
	IsInColdStart bool
	// AdmissibleFlows is the number of new flows that the upstream accepts now. It is negative when
	// the upstream holds more flows than the rules allow.
	AdmissibleFlows int
}

// RefusalReason returns the reason to refuse the flow, or RefusalUnspecified when the flow is
// admitted.
func RefusalReason(c Conditions) landing.Refusal {
	switch {
	case c.IsForOtherService:
		return landing.RefusalForeign
	case !c.IsAllowedByRules:
		return landing.RefusalService
	case c.IsZoneExcluded:
		return landing.RefusalOut
	case c.UpstreamPhase == landing.PhaseDraining || c.UpstreamPhase == landing.PhaseLeft:
		return landing.RefusalLeaving
	case c.UpstreamPhase != landing.PhaseServing || !c.IsEnrolled:
		return landing.RefusalUnready
	case c.AdmissibleFlows <= 0 && c.IsInColdStart:
		return landing.RefusalCold
	case c.AdmissibleFlows <= 0:
		return landing.RefusalRoom
	}
	return landing.RefusalUnspecified
}
