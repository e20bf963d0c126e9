package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/subset"
)

var (
	now  = time.Unix(1000, 0)
	a    = landing.Enrollment{}.WithInstance("a").WithService("s").WithZone("z").WithFleetAddress("10.0.0.1:7000")
	b    = a.WithInstance("b").WithFleetAddress("10.0.0.2:7000")
	hopA = uint64(10)<<40 | 1<<16 | 7000
	roll = landing.EnrollmentList{}.WithRevision(5).WithEnrollments(a, b)
)

func ExampleDirectory() {
	d := New(1).WithEnrollmentList(roll, now)
	n, found := d.Find(hopA)
	fmt.Println(n.Enrollment().Instance(), found, address.UnpackAddrPort(n.Address()))
	// Output: a true 10.0.0.1:7000
}

func status(incarnation, sequence uint64) landing.SidecarStatus {
	return landing.SidecarStatus{}.WithInstance("a").WithIncarnation(incarnation).WithSequenceNumber(sequence).WithUpstreamPhase(landing.PhaseServing)
}

func arrival(s landing.SidecarStatus) landing.ReceivedStatus {
	return landing.ReceivedStatus{}.WithStatus(s).WithSourceAddress(hopA).WithReceivedAt(now)
}

func TestStatusesThatCrossOnTheirWayDoNotGoBack(t *testing.T) {
	is := is.New(t)
	d := New(1).WithEnrollmentList(roll, now).WithStatuses(arrival(status(2, 7)))
	for _, old := range []landing.SidecarStatus{status(2, 6), status(1, 900)} {
		n, _ := d.WithStatuses(arrival(old)).Find(hopA)
		is.Equal(n.LastStatus().SequenceNumber(), uint64(7))
	}
	n, _ := d.WithStatuses(arrival(status(3, 1))).Find(hopA)
	is.Equal(n.LastStatus().Incarnation(), uint64(3))
}

// An address that is used again belongs to another sidecar, of which nothing is known.
func TestAddressThatIsUsedAgainStartsAnew(t *testing.T) {
	is := is.New(t)
	d := New(1).WithEnrollmentList(roll, now).WithStatuses(arrival(status(1, 7)))
	d = d.WithEnrollmentList(landing.EnrollmentList{}.WithRevision(6).WithEnrollments(a.WithInstance("c")), now)
	n, _ := d.Find(hopA)
	is.Equal(n.LastStatus().SequenceNumber(), uint64(0))
	n, _ = d.WithStatuses(arrival(status(1, 8))).Find(hopA)
	is.Equal(n.LastStatus().SequenceNumber(), uint64(0))
}

func TestOnlyOtherSidecarsCountAsAChange(t *testing.T) {
	is := is.New(t)
	d := New(1).WithEnrollmentList(roll, now)
	is.Equal(d.ChangedRevision(), uint64(5))
	d = d.WithEnrollmentList(roll.WithRevision(9), now)
	is.Equal(d.ChangedRevision(), uint64(5))
	is.Equal(d.WithEnrollmentList(landing.EnrollmentList{}.WithRevision(10).WithEnrollments(a), now).ChangedRevision(), uint64(10))
}

// Soak, seed 126: a sidecar said that it left, started again and enrolled again; its old word was taken for the new
// process's, its enrollment removed, and the flows of its living upstream reset.
func TestSidecarThatEnrollsAgainIsNotTheOneThatLeft(t *testing.T) {
	is := is.New(t)
	left := arrival(status(1, 9).WithUpstreamPhase(landing.PhaseLeft))
	d := New(1).WithEnrollmentList(landing.EnrollmentList{}.WithRevision(5).WithEnrollments(a.WithRevision(4)), now).WithStatuses(left)
	d = d.WithEnrollmentList(landing.EnrollmentList{}.WithRevision(8).WithEnrollments(a.WithRevision(8)), now)
	n, found := d.Find(hopA)
	is.True(found)
	is.True(n.LastStatus().UpstreamPhase() != landing.PhaseLeft)
}

// With 36 sidecars of a service a balancer follows 24. Those that it had followed while fewer were enrolled counted as
// silent ever after, so walks asked them among those of a lost zone, and packets of their open flows ended there
// (skrecik-lb-grown with zone-lost, seed 77: FLOW broken 35 times).
func TestSidecarThatIsNotFollowedAnyMoreIsNotSilent(t *testing.T) {
	is := is.New(t)
	enrolled := func(n int, revision uint64) landing.EnrollmentList {
		r := landing.EnrollmentList{}.WithRevision(revision)
		list := make([]landing.Enrollment, 0, n)
		for i := range n {
			name := fmt.Sprintf("s%02d", i)
			list = append(list, a.WithInstance(name).WithFleetAddress(fmt.Sprintf("10.0.1.%d:7000", i+1)))
		}
		return r.WithEnrollments(list...)
	}
	hears := func(d *Directory, sequence uint64) *Directory {
		for _, n := range d.Sidecars() {
			s := landing.SidecarStatus{}.WithInstance(n.Enrollment().Instance()).WithSequenceNumber(sequence).WithUpstreamPhase(landing.PhaseServing)
			d = d.WithStatuses(landing.ReceivedStatus{}.WithStatus(s).WithSourceAddress(n.Address()).WithReceivedAt(now))
		}
		return d
	}
	d := hears(New(1).WithEnrollmentList(enrolled(subset.MaxPerService, 1), now), 1)
	is.Equal(len(d.Subscribed()), subset.MaxPerService)
	d = d.WithEnrollmentList(enrolled(subset.MaxPerService+12, 2), now)
	is.Equal(len(d.Subscribed()), subset.MaxPerService)
	d = hears(d, 2) // statuses of before the change are still under way
	unknown := 0
	for _, n := range d.Sidecars() {
		if n.LastStatusAt().IsZero() {
			unknown++
		}
	}
	is.Equal(unknown, 12)
}
