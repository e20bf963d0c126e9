package relay

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
)

// homeTime is the time for which a balancer that has greeted gets statuses: three greetings.
const homeTime = 3 * time.Second

// Snapshot is the control state that traffic reads. It is immutable.
type Snapshot struct {
	policy     policy.Policy
	presence   landing.UpstreamState
	homes      []home
	enrolled   time.Time
	isStopping bool
	sidecars   int
}

// home is a balancer that wants statuses.
type home struct {
	hop     uint64
	greeted time.Time
	shown   landing.PolicyRevisions
}

// WithPolicy returns a copy with another policy in force.
func (s Snapshot) WithPolicy(p policy.Policy) Snapshot {
	s.policy = p
	return s
}

// WithPresence returns a copy with another presence of the upstream.
func (s Snapshot) WithPresence(p landing.UpstreamState) Snapshot {
	s.presence = p
	return s
}

// WithEnrolled returns a copy in which the platform was last known to hold the sidecar's enrollment at this time.
func (s Snapshot) WithEnrolled(now time.Time) Snapshot {
	s.enrolled = now
	return s
}

// WithSidecars returns a copy that knows the number of enrolled sidecars.
func (s Snapshot) WithSidecars(n int) Snapshot {
	s.sidecars = n
	return s
}

// IsEnrolled says whether every balancer can know of the sidecar. A sidecar that was cut off from everybody may have
// been removed in the meantime.
func (s Snapshot) IsEnrolled(now time.Time) bool {
	return !s.enrolled.IsZero() && now.Sub(s.enrolled) <= homeTime
}

// WithStopping returns a copy that takes no new flow.
func (s Snapshot) WithStopping() Snapshot {
	s.isStopping = true
	return s
}

// WithHome returns a copy in which a balancer has greeted now. Those that have not for a while are left out.
func (s Snapshot) WithHome(g landing.StatusSubscription, now time.Time) Snapshot {
	s.homes = slices.DeleteFunc(slices.Clone(s.homes), func(h home) bool {
		return h.hop == g.BalancerAddress() || now.Sub(h.greeted) > homeTime
	})
	s.homes = append(s.homes, home{hop: g.BalancerAddress(), greeted: now, shown: policy.NewRevisions(g.RulesRevision(), g.ExclusionsChangedRevision())})
	return s
}

// IsGreeted says whether any balancer has greeted in the last while.
func (s Snapshot) IsGreeted(now time.Time) bool {
	return slices.ContainsFunc(s.homes, func(h home) bool { return now.Sub(h.greeted) <= homeTime })
}

// Phase returns the phase of the upstream at this time, with this interval between heartbeats.
func (s Snapshot) Phase(now time.Time, interval time.Duration) landing.Phase {
	if s.isStopping {
		return landing.PhaseUnspecified
	}
	return presence.PhaseAt(s.presence, now, interval)
}

// Unknown returns the stage of a flow that is not in the table.
func (s Snapshot) Unknown() landing.FlowState {
	if s.presence.AllFlowsSeen() || s.presence.Phase() == landing.PhaseLeft {
		return landing.FlowAbsent{}
	}
	return landing.FlowUnknown{}
}

// Ahead returns the addresses of the balancers that have shown newer revisions, or else of all that greeted last.
func (s Snapshot) Ahead() []uint64 {
	var ahead, all []uint64
	for _, h := range s.homes {
		all = append(all, h.hop)
		if s.policy.IsOlderThan(h.shown) {
			ahead = append(ahead, h.hop)
		}
	}
	if len(ahead) > 0 {
		return ahead
	}
	return all
}

// Picture returns what another process may take over. A sidecar knows no other sidecars.
func (s Snapshot) Picture() landing.PlatformSnapshot {
	return landing.PlatformSnapshot{}.WithRules(s.policy.Rules().Rules()).WithExclusions(s.policy.Exclusions())
}
