// Package directory keeps what a balancer knows of the sidecars: who is enrolled at the platform, and their last status.
package directory

import (
	"net/netip"
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/subset"
)

// Directory is the list of enrolled sidecars. It is immutable.
type Directory struct {
	home      uint64
	roll      landing.EnrollmentList
	changed   uint64
	changedAt time.Time
	neighbors []landing.KnownSidecar
	byHop     map[uint64]int
	byService map[string][]int
	followed  map[uint64]bool
}

// New returns a directory without sidecars, of the balancer at this address.
func New(home uint64) *Directory {
	return &Directory{home: home}
}

// EnrollmentList returns the roll from which the directory was made.
func (d *Directory) EnrollmentList() landing.EnrollmentList {
	return d.roll
}

// Sidecars returns all sidecars, ordered by instance. The list must not be changed.
func (d *Directory) Sidecars() []landing.KnownSidecar {
	return d.neighbors
}

// WithEnrollmentList returns a directory of the sidecars of r, learned now. What is known of those whose enrollment is the same is
// kept.
func (d *Directory) WithEnrollmentList(r landing.EnrollmentList, now time.Time) *Directory {
	next := &Directory{
		home:      d.home,
		roll:      r,
		changed:   d.changed,
		changedAt: d.changedAt,
		byHop:     map[uint64]int{},
		byService: map[string][]int{},
	}
	for i := range r.EnrollmentsLen() {
		e := r.EnrollmentsAt(i)
		fleet, err := netip.ParseAddrPort(e.FleetAddress())
		if err != nil || !fleet.Addr().Is4() {
			continue
		}
		n := landing.KnownSidecar{}.WithEnrollment(e).WithAddress(address.PackAddrPort(fleet)).WithDiscoveredAt(now)
		// A sidecar that has enrolled again is another process, of which an old status says nothing.
		if before, found := d.Find(n.Address()); found && before.Enrollment() == e {
			n = before
		}
		next.byHop[n.Address()] = len(next.neighbors)
		next.byService[e.Service()] = append(next.byService[e.Service()], len(next.neighbors))
		next.neighbors = append(next.neighbors, n)
	}
	next.follow()
	if !SameSidecars(r, d.roll) || d.changedAt.IsZero() {
		next.changed = r.Revision()
		next.changedAt = now
	}
	return next
}

// follow picks the sidecars that the balancer follows. One that it followed before sends it no more statuses: it is not
// silent, nothing is known of it.
func (d *Directory) follow() {
	d.followed = map[uint64]bool{}
	for _, n := range subset.Pick(d.neighbors, d.home) {
		d.followed[n.Address()] = true
	}
	for i, n := range d.neighbors {
		if !d.followed[n.Address()] {
			d.neighbors[i] = n.WithLastStatusAt(time.Time{})
		}
	}
}

// Subscribed returns the sidecars that the balancer follows closely.
func (d *Directory) Subscribed() []landing.KnownSidecar {
	return slices.DeleteFunc(slices.Clone(d.neighbors), func(n landing.KnownSidecar) bool { return !d.followed[n.Address()] })
}

// ChangedRevision returns the revision at which this process last saw other sidecars than before. Indexes into Neighbors hold
// while it stays the same.
func (d *Directory) ChangedRevision() uint64 {
	return d.changed
}

// ChangedAt returns the time of that.
func (d *Directory) ChangedAt() time.Time {
	return d.changedAt
}

// WithStatuses returns a directory with newer statuses. Those of others than the sidecars at their addresses and older
// ones change nothing.
func (d *Directory) WithStatuses(arrivals ...landing.ReceivedStatus) *Directory {
	next := *d
	next.neighbors = slices.Clone(d.neighbors)
	for _, a := range arrivals {
		before, found := next.Find(a.SourceAddress())
		if !found || before.Enrollment().Instance() != a.Status().Instance() || !isNewer(a.Status(), before.LastStatus()) {
			continue
		}
		after := before.WithLastStatus(a.Status()).WithUnansweredLocalProbes(0).WithUnansweredRemoteProbes(0)
		if d.followed[a.SourceAddress()] {
			after = after.WithLastStatusAt(a.ReceivedAt())
		}
		next.neighbors[d.byHop[a.SourceAddress()]] = after
	}
	return &next
}

// WithProbeAck returns a directory in which the sidecar at the address proxy has vouched for the one at hop.
func (d *Directory) WithProbeAck(hop, proxy uint64, now time.Time) *Directory {
	before, found := d.Find(hop)
	if !found {
		return d
	}
	return d.with(before.WithLastProbeAckAt(now).WithProbeAckProxy(proxy).WithUnansweredLocalProbes(0).WithUnansweredRemoteProbes(0))
}

// WithProbesSent returns a directory that counts one more inquiry in the own zone of each sidecar at the local addresses,
// and in other zones of each at the remote ones.
func (d *Directory) WithProbesSent(local, remote []uint64) *Directory {
	for _, hop := range local {
		if before, found := d.Find(hop); found {
			d = d.with(before.WithUnansweredLocalProbes(before.UnansweredLocalProbes() + 1))
		}
	}
	for _, hop := range remote {
		if before, found := d.Find(hop); found {
			d = d.with(before.WithUnansweredRemoteProbes(before.UnansweredRemoteProbes() + 1))
		}
	}
	return d
}

func (d *Directory) with(n landing.KnownSidecar) *Directory {
	next := *d
	next.neighbors = slices.Clone(d.neighbors)
	next.neighbors[d.byHop[n.Address()]] = n
	return &next
}

// OfService returns the sidecars of a service, ordered by instance.
func (d *Directory) OfService(service string) []landing.KnownSidecar {
	list := make([]landing.KnownSidecar, 0, len(d.byService[service]))
	for _, i := range d.byService[service] {
		list = append(list, d.neighbors[i])
	}
	return list
}

// Find returns the sidecar at this address.
func (d *Directory) Find(hop uint64) (landing.KnownSidecar, bool) {
	i, found := d.byHop[hop]
	if !found {
		return landing.KnownSidecar{}, false
	}
	return d.neighbors[i], true
}

func isNewer(a, b landing.SidecarStatus) bool {
	if a.Incarnation() != b.Incarnation() {
		return a.Incarnation() > b.Incarnation()
	}
	return a.SequenceNumber() > b.SequenceNumber()
}

// SameSidecars says whether two rolls name the same sidecars at the same addresses.
func SameSidecars(a, b landing.EnrollmentList) bool {
	if a.EnrollmentsLen() != b.EnrollmentsLen() {
		return false
	}
	for i := range a.EnrollmentsLen() {
		if a.EnrollmentsAt(i).WithRevision(0) != b.EnrollmentsAt(i).WithRevision(0) {
			return false
		}
	}
	return true
}
