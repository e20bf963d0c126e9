// Package directory holds what a balancer knows about the sidecars: their enrollments (entries in
// the platform, the service outside the fleet that stores shared objects), their last statuses and
// their answers to probes. A balancer subscribes to only some of the sidecars; these send it their
// statuses.
package directory

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/subset"
)

// Directory is the state of all enrolled sidecars. It is immutable.
type Directory struct {
	// balancerAddress is the address of the balancer that the directory belongs to.
	balancerAddress uint64
	// retention is the time for which sidecars are kept that the platform may have lost.
	retention time.Duration
	// storeTime is the time for which the platform has answered.
	storeTime   time.Duration
	enrollments landing.EnrollmentList
	// eraListedAt is the time of the first enrollment list of the platform's era.
	eraListedAt time.Time
	// generation is the number of changes of the set of sidecars that the balancer has seen, and
	// changedAt the time of the last one.
	generation uint64
	changedAt  time.Time
	// sidecars are ordered by instance name.
	sidecars []landing.KnownSidecar
	// indexByAddress and indexesByService are indexes into sidecars.
	indexByAddress   map[uint64]int
	indexesByService map[string][]int
	// subscribed holds the addresses of the sidecars whose statuses the balancer subscribes to.
	subscribed map[uint64]bool
	// lastStatusAt is the time of arrival of the last status of any sidecar.
	lastStatusAt time.Time
	// unlisted holds the time of arrival of the last status of each sidecar that runs but is not
	// enrolled according to the list, by address.
	unlisted map[uint64]time.Time
	// unreadableSince holds the time at which each entry that cannot be read was first seen, by name.
	unreadableSince map[string]time.Time
}

const (
	// interruptionTime is the time without any status after which the balancer counts as having been
	// cut off or paused: four status intervals.
	interruptionTime = time.Second
	// unlistedValidity is the time for which a status shows that a sidecar runs that is not in the
	// list. A sidecar whose enrollment was removed while it was suspended enrolls again within a
	// second, and the list follows within the same time.
	unlistedValidity = 3 * time.Second
	// maxUnlisted limits the memory for sidecars that are not in the list.
	maxUnlisted = 1024
	// unreadableTimeout is the time for which an entry that cannot be read may belong to a sidecar that
	// runs. Balancers do not confirm such an enrollment, so its sidecar replaces the entry after 2 s.
	unreadableTimeout = 10 * time.Second
	// listDelay is the store time within which the list follows the confirmation of an enrollment. A watch of
	// enrollments waits 4 s at most while sidecars are retained.
	listDelay = 5 * time.Second
)

// New returns a directory without sidecars for the balancer at this address. Sidecars that the platform may
// have lost are kept while it answers for the given time.
func New(balancerAddress uint64, retention time.Duration) *Directory {
	return &Directory{balancerAddress: balancerAddress, retention: retention}
}

// EnrollmentList returns the enrollment list that the directory was made from.
func (d *Directory) EnrollmentList() landing.EnrollmentList {
	return d.enrollments
}

// Sidecars returns all sidecars, ordered by instance name. The slice must not be changed.
func (d *Directory) Sidecars() []landing.KnownSidecar {
	return d.sidecars
}

// WithEnrollmentList returns a directory of the sidecars in the list. It keeps what is known about
// sidecars whose enrollment is unchanged; all other sidecars in the list count as discovered now.
// Enrollments without a valid IPv4 address and port are left out.
//
// A list of a later era of the platform may lack enrollments that the platform has lost and that are written
// again. Sidecars that are known and not in such a list are retained for some time, or until they are listed.
func (d *Directory) WithEnrollmentList(list landing.EnrollmentList, now time.Time) *Directory {
	sidecars := make([]landing.KnownSidecar, 0, list.EnrollmentsLen())
	isTaken := map[uint64]bool{}
	isListed := map[string]bool{}
	for i := range list.EnrollmentsLen() {
		enrollment := list.EnrollmentsAt(i)
		fleetAddress, err := netip.ParseAddrPort(enrollment.FleetAddress())
		if err != nil || !fleetAddress.Addr().Is4() {
			continue
		}
		sidecar := d.knownSidecar(enrollment, address.PackAddrPort(fleetAddress), now)
		sidecars = append(sidecars, sidecar)
		isTaken[sidecar.Address()], isListed[enrollment.Instance()] = true, true
	}
	for _, s := range d.retainedAfter(list) {
		if !isTaken[s.Address()] && !isListed[s.Enrollment().Instance()] {
			sidecars = append(sidecars, s)
		}
	}
	next := d.withSidecars(sidecars, now)
	next.enrollments = list
	if d.eraListedAt.IsZero() || list.Era() != d.enrollments.Era() {
		next.eraListedAt = now
	}
	next.unreadableSince = map[string]time.Time{}
	for _, name := range list.Unreadable() {
		next.unreadableSince[name] = now
		if since, isKnown := d.unreadableSince[name]; isKnown {
			next.unreadableSince[name] = since
		}
	}
	return next
}

// knownSidecar returns what is known about the sidecar with this enrollment.
func (d *Directory) knownSidecar(enrollment landing.Enrollment, sidecarAddress uint64, now time.Time) landing.KnownSidecar {
	before, found := d.Find(sidecarAddress)
	if found && isSameProcess(before, enrollment) {
		return before.WithEnrollment(enrollment).WithRetainedUntil(0)
	}
	return landing.KnownSidecar{}.WithEnrollment(enrollment).WithAddress(sidecarAddress).WithDiscoveredAt(now)
}

// withSidecars returns a directory with these sidecars instead.
func (d *Directory) withSidecars(sidecars []landing.KnownSidecar, now time.Time) *Directory {
	next := *d
	slices.SortStableFunc(sidecars, func(a, b landing.KnownSidecar) int {
		return cmp.Compare(a.Enrollment().Instance(), b.Enrollment().Instance())
	})
	next.sidecars = sidecars
	next.indexByAddress, next.indexesByService = map[uint64]int{}, map[string][]int{}
	for i, s := range sidecars {
		service := s.Enrollment().Service()
		next.indexByAddress[s.Address()] = i
		next.indexesByService[service] = append(next.indexesByService[service], i)
	}
	next.subscribe()
	isUnchanged := slices.EqualFunc(sidecars, d.sidecars, func(a, b landing.KnownSidecar) bool { return isSameSidecar(a.Enrollment(), b.Enrollment()) })
	if !isUnchanged || d.changedAt.IsZero() {
		next.generation++
		next.changedAt = now
	}
	return &next
}

// subscribe selects the sidecars whose statuses the balancer subscribes to. The time of the last
// status is cleared for all other sidecars: when the balancer ends a subscription, the sidecar is
// not silent although its statuses are missing. Probes from before do not count either, since its
// further statuses would show whether it is alive.
func (d *Directory) subscribe() {
	d.subscribed = map[uint64]bool{}
	for _, s := range subset.Pick(d.sidecars, d.balancerAddress) {
		d.subscribed[s.Address()] = true
	}
	for i, s := range d.sidecars {
		if d.subscribed[s.Address()] || s.LastStatusAt().IsZero() {
			continue
		}
		d.sidecars[i] = s.WithLastStatusAt(time.Time{}).WithUnansweredLocalProbes(0).WithUnansweredRemoteProbes(0)
	}
}

// Subscribed returns the sidecars whose statuses the balancer subscribes to.
func (d *Directory) Subscribed() []landing.KnownSidecar {
	return slices.DeleteFunc(slices.Clone(d.sidecars), func(s landing.KnownSidecar) bool { return !d.subscribed[s.Address()] })
}

// Unsubscribed returns the sidecars whose statuses the balancer does not subscribe to.
func (d *Directory) Unsubscribed() []landing.KnownSidecar {
	return slices.DeleteFunc(slices.Clone(d.sidecars), func(s landing.KnownSidecar) bool { return d.subscribed[s.Address()] })
}

// Generation returns the number of changes of the set of sidecars that this process has seen. While it stays
// the same, an index into Sidecars denotes the same sidecar.
func (d *Directory) Generation() uint64 {
	return d.generation
}

// ChangedAt returns the time at which this process last saw the set of sidecars change.
func (d *Directory) ChangedAt() time.Time {
	return d.changedAt
}

// WithStatuses returns a directory with newer statuses. It ignores a status that is not newer than
// the known one, and a status that names another instance than the one enrolled at its source
// address. Statuses of sidecars that are not enrolled are remembered for HasUnlisted.
//
// When no status of any sidecar has arrived for interruptionTime before, the balancer was cut off or
// paused. The silence of every sidecar then counts from now on, since the statuses of some sidecars
// arrive before those of others.
func (d *Directory) WithStatuses(received ...landing.ReceivedStatus) *Directory {
	next := *d
	next.sidecars = slices.Clone(d.sidecars)
	heardZones := map[string]bool{}
	for _, r := range received {
		next.noteArrival(r.ReceivedAt())
		before, found := next.Find(r.SourceAddress())
		if !found {
			next.noteUnlisted(r)
		}
		if !found || before.Enrollment().Instance() != r.Status().Instance() || !isNewer(r.Status(), before.LastStatus()) {
			continue
		}
		after := d.prolonged(before.WithLastStatus(r.Status()).WithUnansweredLocalProbes(0).WithUnansweredRemoteProbes(0))
		if d.subscribed[r.SourceAddress()] {
			after = after.WithLastStatusAt(r.ReceivedAt())
			heardZones[before.Enrollment().Zone()] = true
		}
		next.sidecars[d.indexByAddress[r.SourceAddress()]] = after
	}
	next.forgetProbes(heardZones)
	return &next
}

// forgetProbes resets the numbers of unanswered probes of the unsubscribed sidecars in these zones, in a
// directory that is being made. These sidecars are probed only while their zone is silent, and probes
// from an earlier silence say nothing about the next one.
func (d *Directory) forgetProbes(zones map[string]bool) {
	for i, s := range d.sidecars {
		if s.UnansweredRemoteProbes() > 0 && !d.subscribed[s.Address()] && zones[s.Enrollment().Zone()] {
			d.sidecars[i] = s.WithUnansweredRemoteProbes(0)
		}
	}
}

// noteArrival records the arrival of a status in a directory that is being made. After an interruption
// all sidecars count as discovered now, and earlier probes as not sent.
func (d *Directory) noteArrival(now time.Time) {
	if !d.lastStatusAt.IsZero() && now.Sub(d.lastStatusAt) > interruptionTime {
		for i, s := range d.sidecars {
			d.sidecars[i] = s.WithDiscoveredAt(now).WithUnansweredLocalProbes(0).WithUnansweredRemoteProbes(0)
		}
	}
	if now.After(d.lastStatusAt) {
		d.lastStatusAt = now
	}
}

// noteUnlisted records the status of a sidecar that is not enrolled in a directory that is being made. A
// sidecar whose upstream has left holds no flows.
func (d *Directory) noteUnlisted(r landing.ReceivedStatus) {
	unlisted := maps.Clone(d.unlisted)
	if r.Status().UpstreamPhase() == landing.PhaseLeft {
		delete(unlisted, r.SourceAddress())
		d.unlisted = unlisted
		return
	}
	maps.DeleteFunc(unlisted, func(_ uint64, at time.Time) bool { return r.ReceivedAt().Sub(at) > unlistedValidity })
	if unlisted == nil {
		unlisted = map[uint64]time.Time{}
	}
	if len(unlisted) < maxUnlisted {
		unlisted[r.SourceAddress()] = r.ReceivedAt()
	}
	d.unlisted = unlisted
}

// HasUnlisted reports whether a sidecar runs that is not enrolled. It may hold flows that no enrolled
// sidecar holds: its enrollment was removed while it was suspended or unreachable.
func (d *Directory) HasUnlisted(now time.Time) bool {
	for sidecarAddress, at := range d.unlisted {
		if _, isListed := d.indexByAddress[sidecarAddress]; !isListed && now.Sub(at) <= unlistedValidity {
			return true
		}
	}
	return false
}

// WithProbeAck returns a directory in which the sidecar at the address subject has answered a probe
// through the sidecar at the address proxy.
func (d *Directory) WithProbeAck(subject, proxy uint64, now time.Time) *Directory {
	before, found := d.Find(subject)
	if !found {
		return d
	}
	return d.withSidecar(before.WithLastProbeAckAt(now).WithProbeAckProxy(proxy).WithUnansweredLocalProbes(0).WithUnansweredRemoteProbes(0))
}

// WithProbesSent returns a directory that counts one more unanswered probe of each sidecar at the
// given addresses: the sidecars at the addresses local were probed through a sidecar in their own
// zone, those at remote through a sidecar in another zone.
func (d *Directory) WithProbesSent(local, remote []uint64) *Directory {
	for _, sidecarAddress := range local {
		if before, found := d.Find(sidecarAddress); found {
			d = d.withSidecar(before.WithUnansweredLocalProbes(before.UnansweredLocalProbes() + 1))
		}
	}
	for _, sidecarAddress := range remote {
		if before, found := d.Find(sidecarAddress); found {
			d = d.withSidecar(before.WithUnansweredRemoteProbes(before.UnansweredRemoteProbes() + 1))
		}
	}
	return d
}

// withSidecar returns a directory in which s replaces the sidecar at the same address.
func (d *Directory) withSidecar(s landing.KnownSidecar) *Directory {
	next := *d
	next.sidecars = slices.Clone(d.sidecars)
	next.sidecars[d.indexByAddress[s.Address()]] = s
	return &next
}

// OfService returns the sidecars of a service, ordered by instance name.
func (d *Directory) OfService(service string) []landing.KnownSidecar {
	sidecars := make([]landing.KnownSidecar, 0, len(d.indexesByService[service]))
	for _, i := range d.indexesByService[service] {
		sidecars = append(sidecars, d.sidecars[i])
	}
	return sidecars
}

// Find returns the sidecar at this address and whether one is enrolled there.
func (d *Directory) Find(sidecarAddress uint64) (landing.KnownSidecar, bool) {
	i, found := d.indexByAddress[sidecarAddress]
	if !found {
		return landing.KnownSidecar{}, false
	}
	return d.sidecars[i], true
}

// isNewer reports whether a was sent after b: by a later incarnation (process) of the sidecar, or
// by the same one with a higher sequence number.
func isNewer(a, b landing.SidecarStatus) bool {
	if a.Incarnation() != b.Incarnation() {
		return a.Incarnation() > b.Incarnation()
	}
	return a.SequenceNumber() > b.SequenceNumber()
}

// SameSidecars reports whether two lists contain the same sidecars at the same addresses. Positions
// are not compared.
func SameSidecars(a, b landing.EnrollmentList) bool {
	return slices.EqualFunc(a.Enrollments(), b.Enrollments(), isSameSidecar)
}

// isSameSidecar reports whether two enrollments are equal except for their positions.
func isSameSidecar(a, b landing.Enrollment) bool {
	return a.WithEra(0).WithRevision(0) == b.WithEra(0).WithRevision(0)
}
