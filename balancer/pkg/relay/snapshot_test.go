package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
)

// Guards against a rank and a number of balancers that come from different sidecars, which may have different subscribers.
func TestBalancerRank_OfSidecarWithMostSubscribers(t *testing.T) {
	is := is.New(t)
	s := NewSnapshot(1, 0)
	rank, count := s.BalancerRank()
	is.Equal(rank, 0)
	is.Equal(count, 1)
	reports := map[string][2]uint32{"127.0.1.1:7000": {4, 7}, "127.0.1.2:7000": {6, 12}, "127.0.1.3:7000": {9, 10}}
	var enrollments []landing.Enrollment
	for fleetAddress := range reports {
		enrollments = append(enrollments, landing.Enrollment{}.WithInstance(fleetAddress).WithService("desk").WithZone("a").WithFleetAddress(fleetAddress))
	}
	d := directory.New(1, 0).WithEnrollmentList(landing.EnrollmentList{}.WithRevision(1).WithEnrollments(enrollments...), now)
	for _, sidecar := range d.Sidecars() {
		report := reports[sidecar.Enrollment().FleetAddress()]
		status := landing.SidecarStatus{}.WithInstance(sidecar.Enrollment().Instance()).WithIncarnation(1).WithSequenceNumber(1).
			WithSubscriberRank(report[0]).WithSubscriberCount(report[1])
		d = d.WithStatuses(landing.ReceivedStatus{}.WithStatus(status).WithSourceAddress(sidecar.Address()).WithReceivedAt(now))
	}
	rank, count = s.WithDirectory(d).BalancerRank()
	is.Equal(rank, 6)
	is.Equal(count, 12)
}
