package relay

import (
	"testing"
	"time"

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

// Guards against lost exclusions that are given up early, since calls at the same time count twice or a suspension counts, and
// late, since the response to one of two calls is lost.
func TestWithAnsweredCall_CountsEachMomentOnce(t *testing.T) {
	is := is.New(t)
	exclusions := landing.ZoneExclusions{}.WithEra(2).WithRevision(80)
	s := NewSnapshot(1, time.Minute)
	s = s.WithPolicy(s.policy.WithExclusions(exclusions))
	s = s.WithAnsweredCall(2*time.Second, 2, now)
	is.Equal(s.policy.StoreTime(), 2*time.Second)
	s = s.WithAnsweredCall(2*time.Second, 2, now.Add(time.Second))
	is.Equal(s.policy.StoreTime(), 3*time.Second)
	s = s.WithAnsweredCall(2*time.Second, 2, now.Add(20*time.Second))
	is.Equal(s.policy.StoreTime(), 5*time.Second)
	is.Equal(s.WithAnsweredCall(2*time.Second, 3, now.Add(30*time.Second)).policy.StoreTime(), 5*time.Second) // of another era
}
