package policy

import (
	"hash/fnv"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/position"
)

// RevisionsOfStatus returns the revisions that the sidecar advertises with the status.
func RevisionsOfStatus(s landing.SidecarStatus) landing.PolicyRevisions {
	return landing.PolicyRevisions{}.WithRules(s.RulesRevision()).WithRulesVersion(s.RulesVersion()).
		WithExclusions(s.ExclusionsChangedRevision()).WithEra(s.StoreEra()).
		WithExclusionsRead(s.ExclusionsReadRevision()).WithExclusionsHash(s.ExclusionsHash())
}

// StatusWithRevisions returns the status with the revisions that the process advertises and the exclusions that it retains.
func StatusWithRevisions(s landing.SidecarStatus, p Policy) landing.SidecarStatus {
	r := p.AdvertisedRevisions()
	return s.WithRulesRevision(r.Rules()).WithRulesVersion(r.RulesVersion()).
		WithExclusionsChangedRevision(r.Exclusions()).WithStoreEra(r.Era()).
		WithExclusionsReadRevision(r.ExclusionsRead()).WithExclusionsHash(r.ExclusionsHash()).
		WithRetainedZones(p.retained...).WithStoreTimeMillis(p.statedMillis())
}

// RevisionsOfSubscription returns the revisions that the balancer advertises with the subscription.
func RevisionsOfSubscription(s landing.StatusSubscription) landing.PolicyRevisions {
	return landing.PolicyRevisions{}.WithRules(s.RulesRevision()).WithRulesVersion(s.RulesVersion()).
		WithExclusions(s.ExclusionsChangedRevision()).WithEra(s.StoreEra()).
		WithExclusionsRead(s.ExclusionsReadRevision()).WithExclusionsHash(s.ExclusionsHash())
}

// SubscriptionWithRevisions returns the subscription with the revisions that the process advertises and the exclusions that
// it retains.
func SubscriptionWithRevisions(s landing.StatusSubscription, p Policy) landing.StatusSubscription {
	r := p.AdvertisedRevisions()
	return s.WithRulesRevision(r.Rules()).WithRulesVersion(r.RulesVersion()).
		WithExclusionsChangedRevision(r.Exclusions()).WithStoreEra(r.Era()).
		WithExclusionsReadRevision(r.ExclusionsRead()).WithExclusionsHash(r.ExclusionsHash()).
		WithRetainedZones(p.retained...).WithStoreTimeMillis(p.statedMillis())
}

// WithStatusStatements returns the policy after a sidecar has stated the store time and the exclusions that it retains.
func WithStatusStatements(p Policy, s landing.SidecarStatus) Policy {
	return p.WithStoreTimeHeard(s.StoreEra(), time.Duration(s.StoreTimeMillis())*storeTimeUnit).WithZonesStated(s.StoreEra(), s.RetainedZones())
}

// statedMillis returns the store time as other processes are told; 0 on a platform without eras, where nothing is retained.
func (p Policy) statedMillis() uint32 {
	if p.exclusions.Era() == 0 {
		return 0
	}
	return uint32(p.StoreTime() / storeTimeUnit)
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

// AreSame reports whether the rules and exclusions with the revisions a have last changed as those with b have.
func AreSame(a, b landing.PolicyRevisions) bool {
	return a.WithExclusionsRead(b.ExclusionsRead()) == b
}

// normalized returns the revisions that another process has advertised, without what it has stated of its zones. If
// these differ from the zones in force, its exclusions count as changed at the revision up to which they are confirmed
// to be current: the first list that a process reads does not show when zones were removed from it.
func (p Policy) normalized(seen landing.PolicyRevisions) landing.PolicyRevisions {
	isStated := seen.ExclusionsHash() != 0 && seen.Era() == p.exclusions.Era()
	if isStated && seen.ExclusionsHash() != p.exclusionsHash {
		seen = seen.WithExclusions(seen.ExclusionsRead())
	}
	return seen.WithExclusionsRead(0).WithExclusionsHash(0)
}

// hashOf returns a hash of the names of the excluded zones, which is not 0.
func hashOf(e landing.ZoneExclusions) uint32 {
	h := fnv.New32a()
	for _, zone := range e.Zones() {
		_, _ = h.Write(append([]byte(zone), 0))
	}
	return max(h.Sum32(), 1)
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
