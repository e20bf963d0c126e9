package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/lease"
)

const (
	seedCount = 150
	// recoverySteps is the number of steps after the end of all failures in which the rosters must recover.
	recoverySteps = 300
)

// firstFault runs one simulation with random failures for each seed, ends all failures, and returns the
// first fault that remains after recoverySteps. It returns an empty string when there is none.
func firstFault(handle handleFunc) string {
	for seed := range uint64(seedCount) {
		s := newSimulation(seed, handle)
		for range 5 {
			s.startSidecar()
		}
		s.run(300, true) // with random failures
		s.repairAll()
		s.run(recoverySteps, false) // without new failures
		if fault := s.findFault(); fault != "" {
			return fmt.Sprintf("seed %d: %s", seed, fault)
		}
	}
	return ""
}

func TestHandle_RosterConvergesAfterFailures(t *testing.T) {
	is := is.New(t)
	is.Equal(firstFault(Handle), "")
}

// Checks that the simulation detects a balancer that adopts an older roster from another balancer.
func TestSimulation_DetectsRevertedRoster(t *testing.T) {
	is := is.New(t)
	faultyHandle := func(s landing.MembershipState, e landing.MembershipEvent) (landing.MembershipState, []landing.MembershipTask) {
		if read, isRead := e.(landing.RosterRead); isRead && read.FromPeer() {
			return s.WithRegionState(s.RegionState().WithRoster(read.Roster())), nil
		}
		return Handle(s, e)
	}
	is.True(firstFault(faultyHandle) != "")
}

// Checks that the simulation detects a roster that keeps stopped targets, because the balancers never
// report silent targets as left.
func TestSimulation_DetectsDeadTargetInRoster(t *testing.T) {
	is := is.New(t)
	faultyHandle := func(s landing.MembershipState, e landing.MembershipEvent) (landing.MembershipState, []landing.MembershipTask) {
		// With a last change of the homes in the far future, reportSilentTargets reports nothing.
		next, tasks := Handle(s.WithHomesLastChanged(time.Unix(1<<40, 0)), e)
		return next, tasks
	}
	is.True(firstFault(faultyHandle) != "")
}

// A lease holder that resumes after its lease has expired may still write the roster. Its write must
// expect the roster version from before the pause, so that the platform rejects it.
func TestHandle_WriteOfPausedHolderFails(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, Handle)
	s.startSidecar()
	s.run(100, false)
	var holder *balancer
	for _, b := range s.balancers {
		if lease.IsHeldBy(b.state.RegionState().Lease(), b.state.Self()) {
			holder = b
		}
	}
	holder.isPaused = true
	versionSeen := holder.state.RosterVersion()
	for lease.IsHeldBy(s.lease, holder.state.Self()) {
		s.run(1, false)
	}
	s.run(1, false)
	currentVersion := s.rosterVersion

	holder.isPaused = false
	s.startSidecar()
	s.handleEvent(holder, landing.HeartbeatReceived{}.WithTarget(s.sidecars["desk-002"]).WithReceivedAt(s.now))
	is.Equal(len(holder.pendingTasks), 1)
	write, isWrite := holder.pendingTasks[0].(landing.WriteRoster)
	is.True(isWrite)
	holder.pendingTasks = nil
	is.Equal(write.ExpectedVersion(), versionSeen)
	is.True(write.ExpectedVersion() < currentVersion)
	s.writeRoster(holder, write)
	is.Equal(s.rosterVersion, currentVersion)
	s.run(recoverySteps, false)
	is.Equal(s.findFault(), "")
}

func ExampleHandle() {
	now := time.Unix(1000, 0)
	self := landing.Balancer{}.WithInstance("balancer-1").WithIncarnation(1)
	s := New(self, "khomas", 4*time.Second)
	_, tasks := Handle(s, landing.Tick{}.WithNow(now))
	fmt.Printf("%T\n", tasks[0])
	// Output: landing.WriteLease
}

// countWronglyLeft pauses and resumes one balancer after another, and counts how often, at the end of a
// step, the roster shows a target as left although its sidecar sends heartbeats.
func countWronglyLeft(seed uint64) int {
	s := newSimulation(seed, Handle)
	for range 12 {
		s.startSidecar()
	}
	s.run(100, false)
	wronglyLeft := 0
	for i := range 300 {
		// Each of the three balancers in turn is paused for 47 of 100 steps.
		s.balancers[i/100].isPaused = i%100 < 47
		s.run(1, false)
		for _, t := range s.roster.Targets() {
			if t.Phase() == landing.PhaseLeft {
				wronglyLeft++
			}
		}
	}
	return wronglyLeft
}

func TestHandle_LiveTargetNeverLeavesDuringBalancerFailures(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		is.Equal(countWronglyLeft(seed), 0)
	}
}
