package policy

import (
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/position"
)

// RevisionsOfStatus returns the revisions that the sidecar advertises with the status.
func RevisionsOfStatus(s landing.SidecarStatus) landing.PolicyRevisions {
	return landing.PolicyRevisions{}.WithRules(s.RulesRevision()).WithRulesVersion(s.RulesVersion()).
		WithExclusions(s.ExclusionsChangedRevision()).WithEra(s.StoreEra())
}

// RevisionsOfSubscription returns the revisions that the balancer advertises with the subscription.
func RevisionsOfSubscription(s landing.StatusSubscription) landing.PolicyRevisions {
	return landing.PolicyRevisions{}.WithRules(s.RulesRevision()).WithRulesVersion(s.RulesVersion()).
		WithExclusions(s.ExclusionsChangedRevision()).WithEra(s.StoreEra())
}

// RevisionsOfPacket returns the newest revisions of the processes that have forwarded the packet.
func RevisionsOfPacket(p landing.ForwardedPacket) landing.PolicyRevisions {
	return landing.PolicyRevisions{}.WithRules(p.RulesRevision()).WithRulesVersion(p.RulesVersion()).
		WithExclusions(p.ExclusionsChangedRevision()).WithEra(p.StoreEra())
}

// PacketWithRevisions returns the packet with the given revisions.
func PacketWithRevisions(p landing.ForwardedPacket, r landing.PolicyRevisions) landing.ForwardedPacket {
	return p.WithRulesRevision(r.Rules()).WithRulesVersion(r.RulesVersion()).
		WithExclusionsChangedRevision(r.Exclusions()).WithStoreEra(r.Era())
}

// AreRulesNewer reports whether the rules with the revisions a are newer than those with b. A process of
// the previous version states no version of its rules, which then count by their revision.
func AreRulesNewer(a, b landing.PolicyRevisions) bool {
	if a.RulesVersion() == 0 {
		return a.Rules() > b.Rules()
	}
	return a.RulesVersion() > b.RulesVersion()
}

// AreExclusionsNewer reports whether the exclusions with the revisions a are newer than those with b. A
// process of the previous version states no era, and its exclusions count by their revision.
func AreExclusionsNewer(a, b landing.PolicyRevisions) bool {
	if a.Era() == 0 {
		return a.Exclusions() > b.Exclusions()
	}
	return position.IsLater(position.New(a.Era(), a.Exclusions()), position.New(b.Era(), b.Exclusions()))
}

// Newest returns the newer revisions of the rules and the newer ones of the exclusions. Those of a process
// of the previous version replace none that are stated with a version or an era.
func Newest(a, b landing.PolicyRevisions) landing.PolicyRevisions {
	if mayReplace := b.RulesVersion() > 0 || a.RulesVersion() == 0; mayReplace && AreRulesNewer(b, a) {
		a = a.WithRules(b.Rules()).WithRulesVersion(b.RulesVersion())
	}
	if mayReplace := b.Era() > 0 || a.Era() == 0; mayReplace && AreExclusionsNewer(b, a) {
		a = a.WithExclusions(b.Exclusions()).WithEra(b.Era())
	}
	return a
}
