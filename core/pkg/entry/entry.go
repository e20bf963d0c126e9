// Package entry is the last gate in front of an upstream: it decides whether a new flow may go to it.
//
// It stands beside the upstream because balancers learn of drains, exclusions and cold starts unevenly. Whatever
// an old view sends, nothing passes here that the sidecar knows to be refused.
package entry

import "github.com/crocuslanding/crocuslanding/core/gen/landing"

// Conditions is the state of the gate for one new flow.
type Conditions struct {
	// IsForeign says that the flow is meant for another service.
	IsForOtherService bool
	// IsEnrolled says that the sidecar is known to the platform, so that every balancer can find its flows.
	IsEnrolled bool
	// IsAllowed says that the rules let the flow go to the service.
	IsAllowedByRules bool
	// IsExcluded says that the availability zone is taken out.
	IsZoneExcluded bool
	// Phase is the phase of the upstream.
	UpstreamPhase landing.Phase
	// IsCold says that the upstream is in cold start.
	IsInColdStart bool
	// Room is the number of flows that the upstream may still take.
	AdmissibleFlows int
}

// RefusalReason returns the reason to refuse the flow; RefusalUnspecified when it may pass.
func RefusalReason(d Conditions) landing.Refusal {
	switch {
	case d.IsForOtherService:
		return landing.RefusalForeign
	case !d.IsAllowedByRules:
		return landing.RefusalService
	case d.IsZoneExcluded:
		return landing.RefusalOut
	case d.UpstreamPhase == landing.PhaseDraining || d.UpstreamPhase == landing.PhaseLeft:
		return landing.RefusalLeaving
	case d.UpstreamPhase != landing.PhaseServing || !d.IsEnrolled:
		return landing.RefusalUnready
	case d.AdmissibleFlows <= 0 && d.IsInColdStart:
		return landing.RefusalCold
	case d.AdmissibleFlows <= 0:
		return landing.RefusalRoom
	}
	return landing.RefusalUnspecified
}
