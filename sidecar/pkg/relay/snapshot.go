package relay

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/presence"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
)

// homeTime is the time for which a balancer that has greeted gets statuses: three greetings.
const homeTime = 3 * time.Second

// Snapshot is the control state that traffic reads. It is immutable.
type Snapshot struct {
	rules      *rules.View
	exclusions landing.Exclusions
	presence   landing.Presence
	homes      []home
	enrolled   time.Time
	isStopping bool
	sidecars   int
	wanted     revisions
}

// revisions are the newest ones that other processes have shown.
type revisions struct {
	rules      uint64
	exclusions uint64
}

// home is a balancer that wants statuses.
type home struct {
	hop     uint64
	greeted time.Time
}

// WithRules returns a copy with other rules in force.
func (s Snapshot) WithRules(r landing.Rules) Snapshot {
	s.rules = rules.New(r)
	return s
}

// WithExclusions returns a copy with other exclusions in force.
func (s Snapshot) WithExclusions(e landing.Exclusions) Snapshot {
	s.exclusions = e
	return s
}

// WithPresence returns a copy with another presence of the upstream.
func (s Snapshot) WithPresence(p landing.Presence) Snapshot {
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

// WithHome returns a copy in which the balancer at this address has greeted now. Those that have not for a while
// are left out.
func (s Snapshot) WithHome(hop uint64, now time.Time) Snapshot {
	s.homes = slices.DeleteFunc(slices.Clone(s.homes), func(h home) bool {
		return h.hop == hop || now.Sub(h.greeted) > homeTime
	})
	s.homes = append(s.homes, home{hop: hop, greeted: now})
	return s
}

// WithWanted returns a copy that knows of these revisions of rules and of the last change of exclusions.
func (s Snapshot) WithWanted(rulesRevision, exclusionsChanged uint64) Snapshot {
	s.wanted = revisions{
		rules:      max(s.wanted.rules, rulesRevision),
		exclusions: max(s.wanted.exclusions, exclusionsChanged),
	}
	return s
}

// IsBehind says whether other processes have shown newer rules or exclusions.
func (s Snapshot) IsBehind() bool {
	return s.wanted.rules > s.rules.Rules().Revision() || s.wanted.exclusions > s.exclusions.Revision()
}

// IsGreeted says whether any balancer has greeted in the last while.
func (s Snapshot) IsGreeted(now time.Time) bool {
	return slices.ContainsFunc(s.homes, func(h home) bool { return now.Sub(h.greeted) <= homeTime })
}

// IsExcluded says whether a zone is taken out.
func (s Snapshot) IsExcluded(zone string) bool {
	return slices.Contains(s.exclusions.Zones(), zone)
}

// Phase returns the phase of the upstream at this time, with this interval between heartbeats.
func (s Snapshot) Phase(now time.Time, interval time.Duration) landing.Phase {
	if s.isStopping {
		return landing.PhaseUnspecified
	}
	return presence.PhaseAt(s.presence, now, interval)
}

// Unknown returns the stage of a flow that is not in the table.
func (s Snapshot) Unknown() landing.Stage {
	if s.presence.Witnessed() || s.presence.Phase() == landing.PhaseLeft {
		return landing.Absent{}
	}
	return landing.Unsure{}
}

// Homes returns the addresses of the balancers that greeted last.
func (s Snapshot) Homes() []uint64 {
	hops := make([]uint64, 0, len(s.homes))
	for _, h := range s.homes {
		hops = append(hops, h.hop)
	}
	return hops
}

// Picture returns what another process may take over. A sidecar knows no other sidecars.
func (s Snapshot) Picture() landing.Picture {
	return landing.Picture{}.WithRules(s.rules.Rules()).WithExclusions(s.exclusions)
}
