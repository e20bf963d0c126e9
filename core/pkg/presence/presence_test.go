package presence

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const interval = 770 * time.Millisecond

var start = time.Unix(1000, 0)

func beat(id string, born time.Duration, sequence uint64) landing.UpstreamHeartbeat {
	return landing.UpstreamHeartbeat{}.WithIncarnation(id).WithStartedAt(start.Add(born)).WithSequenceNumber(sequence).WithSlots(8)
}

// after returns the presence after a heartbeat that arrives at this time.
func after(p landing.UpstreamState, b landing.UpstreamHeartbeat, at time.Duration) landing.UpstreamState {
	return Handle(p, landing.UpstreamHeartbeatReceived{}.WithHeartbeat(b).WithReceivedAt(start.Add(at)))
}

func ExampleHandle() {
	p := Handle(landing.UpstreamState{}, landing.UpstreamHeartbeatReceived{}.WithHeartbeat(beat("i-1", 0, 1)).WithReceivedAt(start))
	fmt.Println(p.Incarnation(), p.Phase(), p.AllFlowsSeen())
	fmt.Println(PhaseAt(p, start.Add(time.Minute), interval))
	// Output:
	// i-1 serving true
	// unspecified
}

func TestLateHeartbeatOfAnEndedIncarnationChangesNothing(t *testing.T) {
	is := is.New(t)
	p := after(landing.UpstreamState{}, beat("old", 0, 1), 0)
	p = after(p, beat("new", time.Second, 1), time.Second)
	for i := range uint64(5) {
		p = after(p, beat("old", 0, 2+i), time.Second+time.Duration(i)*time.Millisecond)
		is.Equal(p.Incarnation(), "new")
	}
}

func TestLateHeartbeatDoesNotTakeBackThatTheUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	p := after(landing.UpstreamState{}, beat("a", 0, 4).WithLeaving(true), 0)
	p = after(p, beat("a", 0, 3), time.Millisecond)
	is.Equal(p.Phase(), landing.PhaseDraining)
}

// The time of day of an instance can be set back between two starts of its upstream.
func TestNewIncarnationWithAnEarlierBirthIsBelievedOnceTheOtherIsSilent(t *testing.T) {
	is := is.New(t)
	p := after(landing.UpstreamState{}, beat("a", time.Hour, 1), 0)
	for i := range uint64(6) {
		p = after(p, beat("b", 0, 1+i), time.Duration(1+i)*interval)
	}
	is.Equal(p.Incarnation(), "b")
}

func TestSameIdentifierWithAnotherBirthIsAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	before := after(landing.UpstreamState{}, beat("a", 0, 900), 0)
	p := after(before, beat("a", time.Second, 1), 2*time.Second)
	is.True(IsNewIncarnation(before.WithIncarnation("a"), p) || p.LastHeartbeatNumber() == 1)
	is.Equal(p.LastHeartbeatNumber(), uint64(1))
	is.True(p.AllFlowsSeen())
}

// A sidecar that starts beside a living upstream has not seen its flows.
func TestUpstreamFromBeforeTheSidecarIsNotWitnessed(t *testing.T) {
	is := is.New(t)
	is.True(!after(landing.UpstreamState{}, beat("a", 0, 20), 0).AllFlowsSeen())
}

func TestUpstreamThatSaysItEndsKeepsItsFlowsUntilItsSocketIsClosed(t *testing.T) {
	is := is.New(t)
	p := after(landing.UpstreamState{}, beat("a", 0, 1), 0)
	p = Handle(p, landing.UpstreamStopAnnounced{}.WithIncarnation("a"))
	is.Equal(p.Phase(), landing.PhaseDraining)
	is.Equal(Handle(p, landing.UpstreamSocketClosed{}).Phase(), landing.PhaseLeft)
}

// The upstreams of a zone may have become cold shortly before the zone is put back, and their last heartbeat may be
// from before that.
func TestUpstreamOfAZoneThatIsPutBackIsColdUntilAHeartbeatSaysOtherwise(t *testing.T) {
	is := is.New(t)
	p := after(landing.UpstreamState{}, beat("a", 0, 1), 0)
	now := start.Add(time.Second)
	p = Handle(p, landing.ZoneRestored{}.WithRestoredAt(now).WithAssumedColdStart(2*time.Second))
	is.True(IsInColdStart(p, now))
	is.True(!IsInColdStart(after(p, beat("a", 0, 2), time.Second), now))
}

// A sidecar that has just started may hear a late heartbeat of an incarnation that ended before the present one began.
func TestOnlyALaterBirthProvesThatAnIncarnationHasEnded(t *testing.T) {
	is := is.New(t)
	is.True(HasIncarnationEnded(1000, 2000))
	is.True(!HasIncarnationEnded(2000, 1000))
	is.True(!HasIncarnationEnded(0, 2000))
	is.True(!HasIncarnationEnded(1000, 0))
}

// An upstream crashes and starts again within milliseconds; the next flow is opened at the new incarnation while the
// sidecar still believes in the old one.
func TestFlowIsAnIncarnationsOnlyBetweenItsHeartbeats(t *testing.T) {
	is := is.New(t)
	p := after(landing.UpstreamState{}, beat("a", 0, 1), 0)
	opened := start.Add(300 * time.Millisecond)
	is.True(!OwnsFlow(p, opened))
	is.True(OwnsFlow(after(p, beat("a", 0, 2), interval), opened))
	is.True(!OwnsFlow(after(p, beat("b", time.Second, 1), interval), opened))
}
