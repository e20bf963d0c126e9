package policy

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// storeTimeUnit is the unit in which processes state the store time.
const storeTimeUnit = time.Millisecond

// StoreTime returns the time for which the platform has answered in the era of the exclusions: the longest that this process
// or another one has counted, up to a little more than the retention. Operators can repeat a lost exclusion only in this time,
// so a time in which the platform does not answer, or in which a process is suspended, does not count.
func (p Policy) StoreTime() time.Duration {
	return min(max(p.answered, p.heard), p.retention+storeTimeUnit)
}

// WithAnswered returns a copy after the platform has answered this process for a further time in the era of the exclusions.
func (p Policy) WithAnswered(d time.Duration) Policy {
	p.answered += d
	return p
}

// WithStoreTimeHeard returns a copy after another process has stated the store time of an era. That of another era than that
// of the exclusions is ignored.
func (p Policy) WithStoreTimeHeard(era uint64, t time.Duration) Policy {
	if era == p.exclusions.Era() {
		p.heard = max(p.heard, t)
	}
	return p
}

// RetainedZones returns the zones that stay out of service although the list does not contain them, in alphabetical order.
func (p Policy) RetainedZones() []string {
	return slices.Clone(p.retained)
}

// isRetentionOver reports whether operators have had the time to write lost exclusions again. A process that lacks newer
// exclusions cannot tell yet, since these may contain the zones again.
func (p Policy) isRetentionOver() bool {
	return p.StoreTime() > p.retention && !p.LacksExclusions()
}

// HasExpired reports whether exclusions are retained whose time is over.
func (p Policy) HasExpired() bool {
	return p.isRetentionOver() && len(p.retained) > 0
}

// WithoutExpired returns a copy without the retained exclusions whose time is over.
func (p Policy) WithoutExpired() Policy {
	if p.isRetentionOver() {
		p.retained = nil
	}
	return p
}

// WithZonesStated returns a copy after another process has stated that it retains the exclusions of these zones in an era. A
// process that has started since the platform came back does not know them otherwise. It retains them too, but for those that
// its own lists of the era have contained. Statements of another era than that of the exclusions are ignored.
func (p Policy) WithZonesStated(era uint64, zones []string) Policy {
	if len(zones) == 0 || era != p.exclusions.Era() || p.StoreTime() > p.retention {
		return p
	}
	retained := slices.Concat(p.retained, zones)
	p.retained = sortedNames(slices.DeleteFunc(retained, func(name string) bool { return slices.Contains(p.listed, name) }))
	return p
}

// retainedAfter returns the retained zones after the exclusions have been replaced by newer ones. When these are of a later
// era, all exclusions that were in force are retained, unless the newer ones contain them.
func (p Policy) retainedAfter(newer landing.ZoneExclusions) []string {
	retained := p.retained
	if newer.Era() > p.exclusions.Era() && p.exclusions.Revision() > 0 {
		retained = sortedNames(slices.Concat(p.exclusions.Zones(), p.retained))
	}
	return slices.DeleteFunc(slices.Clone(retained), func(name string) bool { return slices.Contains(newer.Zones(), name) })
}

// sortedNames returns the names in alphabetical order, each once.
func sortedNames(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}
