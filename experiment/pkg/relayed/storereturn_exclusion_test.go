package relayed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// isServedElsewhere reports whether an upstream outside the zone a has answered the probe.
func isServedElsewhere(p probe) bool { return p.isServed() && !p.isServedInZoneA() }

// Guards against flows that are opened in a zone that was taken out of service: the store has lost the exclusion, and the
// operator writes it again only when the processes are in touch. A balancer may be restarted meanwhile.
func TestLostExclusionStaysInForce(t *testing.T) {
	t.Parallel()
	for name, restarts := range map[string]bool{"all processes run": false, "a balancer is restarted": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 3, 4)
			p := startProber(t, f)
			copied := f.Store().Copy()
			loseWrites(t, f)
			f.Store().Put("evacuations", "a", map[string]any{})
			ackedAt := time.Now()
			sleepUntil(ackedAt.Add(exclusionTimeLimit))
			f.Store().SetUnavailable(true)
			time.Sleep(storeAway)
			f.Store().Return(copied)
			f.Store().SetUnavailable(false)
			returnedAt := time.Now()
			if restarts {
				p.restartBalancer(t, 2)
			}
			sleepUntil(returnedAt.Add(lateRewriteDelay))
			f.Store().RepeatOperatorWrites()
			sleepUntil(time.Now().Add(maxStretch - lateRewriteDelay))
			p.checkInForce(t, probe.isServedInZoneA, isServedElsewhere, ackedAt.Add(exclusionTimeLimit))
		})
	}
}

// Guards against flows that are opened in a zone that was taken out of service: the store has lost the exclusion, and a balancer
// and the sidecars of the zone start before the operator has written it again.
func TestLostExclusionIsInForceAtStartedProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 3, 4)
	p := startProber(t, f)
	copied := f.Store().Copy()
	loseWrites(t, f)
	f.Store().Put("evacuations", "a", map[string]any{})
	time.Sleep(exclusionTimeLimit)
	f.Store().Return(copied)
	time.Sleep(time.Second)
	p.restartBalancer(t, 2)
	for _, i := range []int{0, 2} {
		f.StopSidecar(i)
		is.NoErr(f.StartSidecar(i))
	}
	inTouchAt := time.Now().Add(inTouchAfter)
	sleepUntil(inTouchAt.Add(time.Second))
	f.Store().RepeatOperatorWrites()
	sleepUntil(time.Now().Add(time.Second))
	p.checkInForce(t, probe.isServedInZoneA, isServedElsewhere, inTouchAt)
}

// Guards against flows that are opened in a zone that was taken out of service: the store has lost the exclusion, and does not
// answer for longer than a lost exclusion is kept before the operator can write it again.
func TestLostExclusionStaysInForceWhileStoreDoesNotAnswer(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 4)
	p := startProber(t, f)
	copied := f.Store().Copy()
	loseWrites(t, f)
	f.Store().Put("evacuations", "a", map[string]any{})
	ackedAt := time.Now()
	sleepUntil(ackedAt.Add(exclusionTimeLimit))
	f.Store().Return(copied)
	time.Sleep(time.Second)
	f.Store().SetUnavailable(true)
	time.Sleep(maxStretch)
	f.Store().SetUnavailable(false)
	time.Sleep(2 * time.Second)
	f.Store().RepeatOperatorWrites()
	sleepUntil(time.Now().Add(time.Second))
	p.checkInForce(t, probe.isServedInZoneA, isServedElsewhere, ackedAt.Add(exclusionTimeLimit))
}

// Guards against flows that are opened in a zone that was taken out of service, since the store has come back from an older
// copy and the revision of the exclusion is lower than before (review/13).
func TestExclusionAfterStoreCameBackIsInForce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 4)
	p := startProber(t, f)
	copied := f.Store().Copy()
	loseWrites(t, f)
	returnedAt := drill(f, copied, 0)
	f.Store().Put("evacuations", "a", map[string]any{})
	ackedAt := time.Now()
	deadline := latest(ackedAt.Add(exclusionTimeLimit), returnedAt.Add(inTouchAfter))
	sleepUntil(deadline.Add(time.Second))
	p.checkInForce(t, probe.isServedInZoneA, isServedElsewhere, deadline)
}

// Guards against zones that stay out of service after they were put back, since the store has come back from an older copy.
func TestExclusionRemovedAroundReturnOfStoreEnds(t *testing.T) {
	t.Parallel()
	for name, remove := range map[string]func(*testing.T, *Fleet, func()) (removedAt, returnedAt time.Time){
		"in the lost seconds": func(t *testing.T, f *Fleet, exclude func()) (time.Time, time.Time) {
			exclude()
			copied := f.Store().Copy()
			loseWrites(t, f)
			f.Store().Delete("evacuations", "a")
			returnedAt := drill(f, copied, rewriteDelay)
			return time.Now(), returnedAt
		},
		"after the return": func(t *testing.T, f *Fleet, exclude func()) (time.Time, time.Time) {
			copied := f.Store().Copy()
			loseWrites(t, f)
			exclude()
			returnedAt := drill(f, copied, rewriteDelay)
			time.Sleep(inTouchAfter)
			f.Store().Delete("evacuations", "a")
			return time.Now(), returnedAt
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 3, 4)
			p := startProber(t, f)
			removedAt, returnedAt := remove(t, f, func() {
				f.Store().Put("evacuations", "a", map[string]any{})
				time.Sleep(exclusionTimeLimit)
			})
			time.Sleep(time.Until(latest(removedAt.Add(exclusionTimeLimit), returnedAt.Add(inTouchAfter))))
			checkZoneAServes(t, p)
		})
	}
}

// Guards against zones that stay out of service because the balancers have missed that they were put back: all connections to
// the store fall silent, the removal of the exclusion is lost, and the operator has nothing to write again.
func TestExclusionWhoseRemovalWasMissedEnds(t *testing.T) {
	t.Parallel()
	f := startFleetWith(t, Config{Balancers: 3, Sidecars: 4, HasStoreProxy: true})
	p := startProber(t, f)
	copied := f.Store().Copy()
	loseWrites(t, f)
	f.Store().Put("evacuations", "a", map[string]any{})
	time.Sleep(exclusionTimeLimit)
	f.SilenceStore()
	f.Store().SetUnavailable(true)
	f.Store().Delete("evacuations", "a")
	time.Sleep(storeAway)
	f.Store().Return(copied)
	f.Store().SetUnavailable(false)
	time.Sleep(maxStretch + exclusionTimeLimit)
	checkZoneAServes(t, p)
}

// Guards against a zone that stays out of service at sidecars: it is put back while all balancers start, and their first
// lists do not show that there was a change.
func TestZonePutBackDuringStartOfBalancersServes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 3, 4)
	f.Store().Put("evacuations", "a", map[string]any{})
	time.Sleep(exclusionTimeLimit)
	for i := range f.balancers {
		f.StopBalancer(i)
	}
	f.Store().Delete("evacuations", "a")
	for i := range f.balancers {
		is.NoErr(f.StartBalancer(i))
	}
	time.Sleep(exclusionTimeLimit)
	checkZoneAServes(t, startProber(t, f))
}

// checkZoneAServes fails the test unless flows are opened in the zone a through each balancer within a second. An upstream
// that has just been put back into service gets few flows at first.
func checkZoneAServes(t *testing.T, p *prober) {
	t.Helper()
	start := time.Now()
	time.Sleep(coldStart + time.Second)
	serves := map[int]bool{}
	for _, probe := range p.since(start) {
		serves[probe.balancer] = serves[probe.balancer] || probe.isServedInZoneA()
	}
	for i := range p.fleet.balancers {
		if !serves[i] {
			t.Errorf("balancer %d opens no flow in the zone", i)
		}
	}
}

// Guards against an exclusion that is in force nowhere: a sidecar that starts just after the return of the store reads a stale
// copy from before it, with the era of after it, and the balancers take over its revision, which is higher than all later ones.
func TestExclusionIsInForceDespiteSidecarWithStaleCopy(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 3, 4)
	p := startProber(t, f)
	copied := f.Store().Copy()
	loseWrites(t, f)
	f.Store().Put("evacuations", "c", map[string]any{}) // a zone without upstreams
	time.Sleep(time.Second)
	f.Store().SetStaleReads(5 * time.Second)
	f.Store().Return(copied)
	f.Store().RepeatOperatorWrites()
	returnedAt := time.Now()
	is.NoErr(f.AddSidecar())
	time.Sleep(inTouchAfter)
	f.Store().Put("evacuations", "a", map[string]any{})
	ackedAt := time.Now()
	deadline := latest(ackedAt.Add(exclusionTimeLimit), returnedAt.Add(inTouchAfter))
	sleepUntil(deadline.Add(time.Second))
	p.checkInForce(t, probe.isServedInZoneA, isServedElsewhere, deadline)
}
