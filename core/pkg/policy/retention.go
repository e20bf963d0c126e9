package policy

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// retainedZone is an availability zone that was out of service in an earlier era of the platform and is not in the list of
// the later one.
type retainedZone struct {
	name string
	// until is the store time until which the exclusion may be written again.
	until time.Duration
}

// WithStoreTime returns a copy after the platform has answered for this time. Operators can repeat a lost exclusion only
// while it does, so the time for which it does not answer, or for which the process is suspended, does not count.
func (p Policy) WithStoreTime(d time.Duration) Policy {
	p.storeTime += d
	return p
}

// RetainedZones returns the zones that stay out of service although the list does not contain them, in alphabetical order.
func (p Policy) RetainedZones() []string {
	names := make([]string, 0, len(p.retained))
	for _, z := range p.retained {
		names = append(names, z.name)
	}
	return names
}

// HasExpired reports whether an exclusion is retained whose time is over.
func (p Policy) HasExpired() bool {
	return slices.ContainsFunc(p.retained, func(z retainedZone) bool { return p.storeTime > z.until })
}

// WithoutExpired returns a copy without the retained exclusions whose time is over.
func (p Policy) WithoutExpired() Policy {
	p.retained = slices.DeleteFunc(slices.Clone(p.retained), func(z retainedZone) bool { return p.storeTime > z.until })
	return p
}

// retainedAfter returns the retained zones after the exclusions have been replaced by newer ones. When these are of a later
// era, all exclusions that were in force are retained for the retention time, unless the newer ones contain them.
func (p Policy) retainedAfter(newer landing.ZoneExclusions) []retainedZone {
	retained := p.retained
	if newer.Era() > p.exclusions.Era() && p.exclusions.Revision() > 0 {
		names := slices.Concat(p.exclusions.Zones(), p.RetainedZones())
		slices.Sort(names)
		retained = nil
		for _, name := range slices.Compact(names) {
			retained = append(retained, retainedZone{name: name, until: p.storeTime + p.retention})
		}
	}
	return slices.DeleteFunc(slices.Clone(retained), func(z retainedZone) bool { return slices.Contains(newer.Zones(), z.name) })
}
