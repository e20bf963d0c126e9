// Package entry is the last gate in front of an upstream: it decides whether a new flow may go to it.
//
// It stands beside the upstream because balancers learn of drains, exclusions and cold starts unevenly. Whatever
// an old view sends, nothing passes here that the sidecar knows to be refused.
package entry

import "github.com/crocuslanding/crocuslanding/core/gen/landing"

// Door is the state of the gate for one new flow.
type Door struct {
	// IsForeign says that the flow is meant for another service.
	IsForeign bool
	// IsEnrolled says that the sidecar is known to the platform, so that every balancer can find its flows.
	IsEnrolled bool
	// IsAllowed says that the rules let the flow go to the service.
	IsAllowed bool
	// IsExcluded says that the availability zone is taken out.
	IsExcluded bool
	// Phase is the phase of the upstream.
	Phase landing.Phase
	// IsCold says that the upstream is in cold start.
	IsCold bool
	// Room is the number of flows that the upstream may still take.
	Room int
}

// Refuse returns the reason to refuse the flow; RefusalUnspecified when it may pass.
func Refuse(d Door) landing.Refusal {
	switch {
	case d.IsForeign:
		return landing.RefusalForeign
	case !d.IsAllowed:
		return landing.RefusalService
	case d.IsExcluded:
		return landing.RefusalOut
	case d.Phase == landing.PhaseDraining || d.Phase == landing.PhaseLeft:
		return landing.RefusalLeaving
	case d.Phase != landing.PhaseServing || !d.IsEnrolled:
		return landing.RefusalUnready
	case d.Room <= 0 && d.IsCold:
		return landing.RefusalCold
	case d.Room <= 0:
		return landing.RefusalRoom
	}
	return landing.RefusalUnspecified
}
