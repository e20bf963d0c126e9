// Package policy holds what the operators have put in force, as far as one process knows, and decides whether the
// process is behind and from where it reads what it lacks.
//
// It answers the load of a change in a large fleet. If every process read the platform at each change, calls would
// grow with the fleet and all come in the same second. So a few watches bring the change, everybody shows the revisions
// that it has along with what it sends anyway, and who is behind asks the cheapest source first.
package policy

import (
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
)

// Policy is the rules and exclusions in force, and the newest revisions that others have shown. It is immutable; the zero
// value knows nothing.
type Policy struct {
	rules      *rules.Index
	exclusions landing.ZoneExclusions
	wanted     landing.PolicyRevisions
}

// Rules returns the index over the rules; nil when there are none.
func (p Policy) Rules() *rules.Index {
	return p.rules
}

// Exclusions returns the zones that are taken out.
func (p Policy) Exclusions() landing.ZoneExclusions {
	return p.exclusions
}

// IsExcluded says whether a zone is taken out.
func (p Policy) IsExcluded(zone string) bool {
	return slices.Contains(p.exclusions.Zones(), zone)
}

// IsComplete says whether both rules and exclusions have been read.
func (p Policy) IsComplete() bool {
	return p.rules != nil && p.exclusions.Revision() > 0
}

// WithRules returns a copy with newer rules in force. Older ones are refused, so that an accepted change never reverts.
func (p Policy) WithRules(r landing.RoutingRules) Policy {
	if rules.IsNewer(r, p.rules.Rules()) {
		p.rules = rules.New(r)
	}
	return p
}

// WithExclusions returns a copy with newer exclusions in force. Older ones are refused.
func (p Policy) WithExclusions(e landing.ZoneExclusions) Policy {
	if e.Revision() > p.exclusions.Revision() {
		p.exclusions = e
	}
	return p
}

// KnownRevisions returns the revisions up to which the process knows the operators' objects.
func (p Policy) KnownRevisions() landing.PolicyRevisions {
	return landing.PolicyRevisions{}.
		WithRules(p.rules.Rules().Revision()).
		WithExclusions(p.exclusions.Revision())
}

// AdvertisedRevisions returns the revisions that the process shows to others: of its rules, and of the last change of its exclusions.
func (p Policy) AdvertisedRevisions() landing.PolicyRevisions {
	return p.KnownRevisions().WithExclusions(p.exclusions.ChangedRevision())
}

// WantedRevisions returns the newest revisions that others have shown.
func (p Policy) WantedRevisions() landing.PolicyRevisions {
	return p.wanted
}

// WithRevisionsSeen returns a copy that knows of revisions that another process has shown.
func (p Policy) WithRevisionsSeen(shown landing.PolicyRevisions) Policy {
	p.wanted = landing.PolicyRevisions{}.
		WithRules(max(p.wanted.Rules(), shown.Rules())).
		WithExclusions(max(p.wanted.Exclusions(), shown.Exclusions()))
	return p
}

// WithConsistentRead returns a copy after a read of the platform's present state that began when before was wanted. What was
// wanted and is not there does not exist: it came from a process outside the fleet, and is not looked for again.
func (p Policy) WithConsistentRead(before landing.PolicyRevisions) Policy {
	if p.wanted == before {
		p.wanted = landing.PolicyRevisions{}
	}
	return p
}

// IsBehind says whether others have shown newer revisions than the process knows.
func (p Policy) IsBehind() bool {
	return p.IsOlderThan(p.wanted)
}

// IsOlderThan says whether these revisions are newer than those that the process knows.
func (p Policy) IsOlderThan(shown landing.PolicyRevisions) bool {
	known := p.KnownRevisions()
	return shown.Rules() > known.Rules() || shown.Exclusions() > known.Exclusions()
}

// ReadSources returns from where a process reads in turn, until it is no longer behind. The platform's copy costs a tenth of
// a call and may be seconds old; a peer that has shown the newer revisions has them; the platform itself comes last.
func ReadSources() []landing.ReadSource {
	return []landing.ReadSource{landing.StaleRead{}, landing.PeerRead{}, landing.ConsistentRead{}}
}

// NewRevisions returns the revisions that stand in a datagram.
func NewRevisions(rulesRevision, exclusionsChanged uint64) landing.PolicyRevisions {
	return landing.PolicyRevisions{}.WithRules(rulesRevision).WithExclusions(exclusionsChanged)
}
