// Package policy holds the routing rules and zone exclusions (together the policy) that a process
// has in force. It decides whether the process is behind, that is has older ones than other
// processes, and from which sources it reads what it lacks. The objects are stored in the platform,
// a service outside the fleet (all balancers and sidecars). A revision is the value of the
// platform's counter that orders changes.
//
// If every process of a large fleet read from the platform after each change, the number of calls
// would grow with the fleet, and all of them would come in the same second. Instead, a few watches
// (calls to the platform that wait for a change) receive the change, and every process advertises
// its revisions in the datagrams that it sends anyway. A process that is behind reads from the
// cheapest source first.
package policy

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/position"
	"github.com/crocuslanding/crocuslanding/core/pkg/rules"
)

// Policy holds the rules and exclusions in force and the newest revisions that other processes have
// advertised. It is immutable. The zero value has neither rules nor exclusions, and retains none.
type Policy struct {
	// retention is the time for which exclusions are kept that the platform may have lost.
	retention  time.Duration
	rules      *rules.Index
	exclusions landing.ZoneExclusions
	// exclusionsHash is the hash of the excluded zones; 0 when none have been read.
	exclusionsHash uint32
	// retained are zones whose exclusions were in force in an earlier era of the platform, here or at another process, and
	// have not been in a list of the later one, in alphabetical order.
	retained []string
	// listed are the zones that were in a list of the era of the exclusions.
	listed []string
	// answered is the time for which the platform has answered this process in the era of the exclusions, and heard the
	// longest that other processes have stated.
	answered, heard time.Duration
	// wantedRevisions are the newest revisions that other processes have advertised.
	wantedRevisions landing.PolicyRevisions
}

// New returns a policy without rules and exclusions. Exclusions that the platform may have lost are kept
// while it answers for the given time.
func New(retention time.Duration) Policy {
	return Policy{retention: retention}
}

// Rules returns the index of the rules, or nil when no rules have been read.
func (p Policy) Rules() *rules.Index {
	return p.rules
}

// Exclusions returns the availability zones that operators have taken out of service, as the platform
// lists them.
func (p Policy) Exclusions() landing.ZoneExclusions {
	return p.exclusions
}

// IsExcluded reports whether operators have taken the zone out of service. An exclusion that was in force
// before the platform came back from an older copy stays in force while it may be written again.
func (p Policy) IsExcluded(zone string) bool {
	return slices.Contains(p.exclusions.Zones(), zone) || slices.Contains(p.retained, zone)
}

// IsComplete reports whether both rules and exclusions have been read.
func (p Policy) IsComplete() bool {
	return p.rules != nil && p.exclusions.Revision() > 0
}

// WithRules returns a copy with these rules in force. Rules that are not newer than those in force
// are ignored, so that an outdated read never reverts a change.
func (p Policy) WithRules(newer landing.RoutingRules) Policy {
	if rules.IsNewer(newer, p.rules.Rules()) {
		p.rules = rules.New(newer)
	}
	return p
}

// WithExclusions returns a copy with these exclusions in force. Exclusions that are not newer than
// those in force are ignored. In a later era of the platform, those that were in force before are
// retained for some time.
func (p Policy) WithExclusions(newer landing.ZoneExclusions) Policy {
	if !position.IsLater(position.OfExclusions(newer), position.OfExclusions(p.exclusions)) {
		return p
	}
	p.retained = p.retainedAfter(newer)
	if newer.Era() != p.exclusions.Era() {
		p.answered, p.heard, p.listed = 0, 0, nil
	}
	p.listed = sortedNames(slices.Concat(p.listed, newer.Zones()))
	p.exclusions = newer.WithChangedRevision(p.lastChange(newer))
	p.exclusionsHash = hashOf(p.exclusions)
	return p
}

// lastChange returns the revision at which newer exclusions have changed last, as far as the process can tell. A list
// that was read shows when the zones in it were added, and not when others were removed.
func (p Policy) lastChange(newer landing.ZoneExclusions) uint64 {
	before := p.exclusions
	isFirstOfEra := before.Revision() == 0 || newer.Era() > before.Era()
	isMissed := newer.ChangedRevision() <= before.Revision() && !slices.Equal(newer.Zones(), before.Zones())
	switch {
	case isFirstOfEra:
		return newer.ChangedRevision()
	case isMissed:
		return newer.Revision()
	}
	return max(newer.ChangedRevision(), before.ChangedRevision())
}

// KnownRevisions returns the revision of the rules in force and the revision up to which the
// exclusions are known to be current.
func (p Policy) KnownRevisions() landing.PolicyRevisions {
	return landing.PolicyRevisions{}.
		WithRules(p.rules.Rules().Revision()).
		WithRulesVersion(p.rules.Rules().Version()).
		WithExclusions(p.exclusions.Revision()).
		WithEra(p.exclusions.Era())
}

// AdvertisedRevisions returns the revisions that the process advertises to others: the revision of
// its rules, the one at which its exclusions last changed and the one up to which they are current.
func (p Policy) AdvertisedRevisions() landing.PolicyRevisions {
	return p.KnownRevisions().WithExclusions(p.exclusions.ChangedRevision()).
		WithExclusionsRead(p.exclusions.Revision()).WithExclusionsHash(p.exclusionsHash)
}

// WantedRevisions returns the newest revisions that other processes have advertised.
func (p Policy) WantedRevisions() landing.PolicyRevisions {
	return p.wantedRevisions
}

// WithRevisionsSeen returns a copy that takes account of the revisions that another process has
// advertised.
func (p Policy) WithRevisionsSeen(seen landing.PolicyRevisions) Policy {
	p.wantedRevisions = Newest(p.wantedRevisions, p.normalized(seen))
	return p
}

// WithConsistentRead returns a copy after a read of the platform's current state. WantedAtStart are
// the wanted revisions when that read began. Those that the read did not find do not exist: a
// process outside the fleet has advertised them. The wanted revisions are therefore cleared, unless
// they have changed since the read began.
func (p Policy) WithConsistentRead(wantedAtStart landing.PolicyRevisions) Policy {
	if p.wantedRevisions == wantedAtStart {
		p.wantedRevisions = landing.PolicyRevisions{}
	}
	return p
}

// LearnsOfNewer reports whether the next policy wants a newer revision than p that it does not have.
func (p Policy) LearnsOfNewer(next Policy) bool {
	return p.wantedRevisions != next.wantedRevisions && next.IsBehind()
}

// IsBehind reports whether other processes have advertised newer revisions than this process has.
func (p Policy) IsBehind() bool {
	return p.IsOlderThan(p.wantedRevisions)
}

// IsOlderThan reports whether any of the given revisions is newer than the corresponding one of
// this process.
func (p Policy) IsOlderThan(other landing.PolicyRevisions) bool {
	known, other := p.KnownRevisions(), p.normalized(other)
	return AreRulesNewer(other, known) || AreExclusionsNewer(other, known)
}

// LacksRules reports whether other processes have advertised newer rules.
func (p Policy) LacksRules() bool {
	return AreRulesNewer(p.wantedRevisions, p.KnownRevisions())
}

// LacksExclusions reports whether other processes have advertised newer exclusions.
func (p Policy) LacksExclusions() bool {
	return AreExclusionsNewer(p.wantedRevisions, p.KnownRevisions())
}

// ReadSources returns the sources from which a process reads, one after the other, until it is no
// longer behind. A stale read from the platform costs a tenth of a consistent one and may be
// seconds old. A peer that has advertised the newer revisions has the objects. A consistent read,
// which returns the platform's current state, is the most expensive and comes last.
func ReadSources() []landing.ReadSource {
	return []landing.ReadSource{landing.StaleRead{}, landing.PeerRead{}, landing.ConsistentRead{}}
}

// SourceLabel returns the name of the source in logs and counters, or "" for nil.
func SourceLabel(source landing.ReadSource) string {
	switch source.(type) {
	case landing.StaleRead:
		return "copy"
	case landing.PeerRead:
		return "peer"
	case landing.ConsistentRead:
		return "original"
	case landing.WatchRead:
		return "watch"
	}
	return ""
}
