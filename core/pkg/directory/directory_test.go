package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
)

var (
	now  = time.Unix(1000, 0)
	a    = landing.Enrollment{}.WithInstance("a").WithService("s").WithZone("z").WithFleet("10.0.0.1:7000")
	b    = a.WithInstance("b").WithFleet("10.0.0.2:7000")
	hopA = uint64(10)<<40 | 1<<16 | 7000
	roll = landing.Roll{}.WithRevision(5).WithEnrollments(a, b)
)

func ExampleDirectory() {
	d := New().WithRoll(roll, now)
	n, found := d.Find(hopA)
	fmt.Println(n.Enrollment().Instance(), found, address.FromHop(n.Hop()))
	// Output: a true 10.0.0.1:7000
}

func status(incarnation, sequence uint64) landing.Status {
	return landing.Status{}.WithInstance("a").WithIncarnation(incarnation).WithSequence(sequence).WithPhase(landing.PhaseServing)
}

func arrival(s landing.Status) landing.Arrival {
	return landing.Arrival{}.WithStatus(s).WithSource(hopA).WithNow(now)
}

func TestStatusesThatCrossOnTheirWayDoNotGoBack(t *testing.T) {
	is := is.New(t)
	d := New().WithRoll(roll, now).WithStatuses(arrival(status(2, 7)))
	for _, old := range []landing.Status{status(2, 6), status(1, 900)} {
		n, _ := d.WithStatuses(arrival(old)).Find(hopA)
		is.Equal(n.Status().Sequence(), uint64(7))
	}
	n, _ := d.WithStatuses(arrival(status(3, 1))).Find(hopA)
	is.Equal(n.Status().Incarnation(), uint64(3))
}

// An address that is used again belongs to another sidecar, of which nothing is known.
func TestAddressThatIsUsedAgainStartsAnew(t *testing.T) {
	is := is.New(t)
	d := New().WithRoll(roll, now).WithStatuses(arrival(status(1, 7)))
	d = d.WithRoll(landing.Roll{}.WithRevision(6).WithEnrollments(a.WithInstance("c")), now)
	n, _ := d.Find(hopA)
	is.Equal(n.Status().Sequence(), uint64(0))
	n, _ = d.WithStatuses(arrival(status(1, 8))).Find(hopA)
	is.Equal(n.Status().Sequence(), uint64(0))
}

func TestOnlyOtherSidecarsCountAsAChange(t *testing.T) {
	is := is.New(t)
	d := New().WithRoll(roll, now)
	is.Equal(d.Changed(), uint64(5))
	d = d.WithRoll(roll.WithRevision(9), now)
	is.Equal(d.Changed(), uint64(5))
	is.Equal(d.WithRoll(landing.Roll{}.WithRevision(10).WithEnrollments(a), now).Changed(), uint64(10))
}

// Soak, seed 126: a sidecar said that it left, started again and enrolled again; its old word was taken for the new
// process's, its enrollment removed, and the flows of its living upstream reset.
func TestSidecarThatEnrollsAgainIsNotTheOneThatLeft(t *testing.T) {
	is := is.New(t)
	left := arrival(status(1, 9).WithPhase(landing.PhaseLeft))
	d := New().WithRoll(landing.Roll{}.WithRevision(5).WithEnrollments(a.WithRevision(4)), now).WithStatuses(left)
	d = d.WithRoll(landing.Roll{}.WithRevision(8).WithEnrollments(a.WithRevision(8)), now)
	n, found := d.Find(hopA)
	is.True(found)
	is.True(n.Status().Phase() != landing.PhaseLeft)
}
