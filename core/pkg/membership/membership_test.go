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
	worlds     = 150
	quietSteps = 300
)

// firstFault runs worlds with failures and returns the first fault that is left after a quiet time.
func firstFault(h handler) string {
	for seed := range uint64(worlds) {
		w := newWorld(seed, h)
		for range 5 {
			w.startSidecar()
		}
		w.run(300, true)
		w.heal()
		w.run(quietSteps, false)
		if fault := w.fault(); fault != "" {
			return fmt.Sprintf("seed %d: %s", seed, fault)
		}
	}
	return ""
}

func TestRosterConvergesAfterFailuresAndNeverReverts(t *testing.T) {
	is := is.New(t)
	is.Equal(firstFault(Handle), "")
}

func TestRosterRevertsWhenOlderOnesAreTaken(t *testing.T) {
	is := is.New(t)
	mutant := func(w landing.MembershipState, h landing.MembershipEvent) (landing.MembershipState, []landing.MembershipTask) {
		if r, isRead := h.(landing.RosterRead); isRead && r.FromPeer() {
			return w.WithRegionState(w.RegionState().WithRoster(r.Roster())), nil
		}
		return Handle(w, h)
	}
	is.True(firstFault(mutant) != "")
}

func TestDeadTargetStaysWhenSilenceIsNotReported(t *testing.T) {
	is := is.New(t)
	mutant := func(w landing.MembershipState, h landing.MembershipEvent) (landing.MembershipState, []landing.MembershipTask) {
		next, tasks := Handle(w.WithHomesLastChanged(time.Unix(1<<40, 0)), h)
		return next, tasks
	}
	is.True(firstFault(mutant) != "")
}

func TestHolderThatWakesUpWritesOnlyOverTheVersionItKnew(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, Handle)
	w.startSidecar()
	w.run(100, false)
	var holder *member
	for _, m := range w.balancers {
		if lease.IsHeldBy(m.watch.RegionState().Lease(), m.watch.Self()) {
			holder = m
		}
	}
	holder.frozen = true
	known := holder.watch.RosterVersion()
	for lease.IsHeldBy(w.lease, holder.watch.Self()) {
		w.run(1, false)
	}
	w.run(1, false)
	version := w.version

	holder.frozen = false
	w.startSidecar()
	w.post(holder, landing.HeartbeatReceived{}.WithTarget(w.sidecars["desk-002"]).WithReceivedAt(w.now))
	is.Equal(len(holder.tasks), 1)
	write, isWrite := holder.tasks[0].(landing.WriteRoster)
	is.True(isWrite)
	holder.tasks = nil
	is.Equal(write.ExpectedVersion(), known)
	is.True(write.ExpectedVersion() < version)
	w.write(holder, write)
	is.Equal(w.version, version)
	w.run(quietSteps, false)
	is.Equal(w.fault(), "")
}

func ExampleHandle() {
	now := time.Unix(1000, 0)
	self := landing.Balancer{}.WithInstance("balancer-1").WithIncarnation(1)
	w := New(self, "khomas", 4*time.Second)
	_, tasks := Handle(w, landing.Tick{}.WithNow(now))
	fmt.Printf("%T\n", tasks[0])
	// Output: landing.WriteLease
}

// leftByMistake returns the number of steps at which a target that sends heartbeats is shown as gone,
// while one balancer after another dies and comes back.
func leftByMistake(seed uint64) int {
	w := newWorld(seed, Handle)
	for range 12 {
		w.startSidecar()
	}
	w.run(100, false)
	mistakes := 0
	for i := range 300 {
		w.balancers[i/100].frozen = i%100 < 47
		w.run(1, false)
		for _, t := range w.object.Targets() {
			if t.Phase() == landing.PhaseLeft {
				mistakes++
			}
		}
	}
	return mistakes
}

func TestLivingTargetIsNeverShownAsGoneWhileBalancersComeAndGo(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		is.Equal(leftByMistake(seed), 0)
	}
}
