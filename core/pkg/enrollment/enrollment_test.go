package enrollment

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func ExampleConfirmation() {
	c := Confirmation{}.WithPlatformAnswer(start, 0)
	fmt.Println(c.IsValid(start.Add(time.Second)), c.IsValid(start.Add(3*time.Second)))
	// Output:
	// true false
}

// Guards against a sidecar that admits flows after its machine was suspended for 3.1 s, because
// subscriptions that had waited in its socket confirmed an enrollment that balancers had removed.
// Its flows were reset when their packets came through other balancers (deployment nosa-lb).
func TestWithSubscription_DoesNotRenewLapsedConfirmation(t *testing.T) {
	is := is.New(t)
	wokenAt := start.Add(3100 * time.Millisecond)
	c := Confirmation{}.WithPlatformAnswer(start, 0).WithSubscription(start, wokenAt)
	is.True(!c.IsValid(wokenAt))
	is.True(c.IsRenewalDue(wokenAt))
	c = c.WithSubscription(wokenAt, wokenAt) // of a balancer whose list is older than the removal
	is.True(!c.IsValid(wokenAt))
	is.True(c.WithPlatformAnswer(wokenAt, 0).IsValid(wokenAt))
}

// Guards against a fleet that admits no flow while the platform is down.
func TestWithSubscription_RenewsWhilePlatformFails(t *testing.T) {
	is := is.New(t)
	later := start.Add(time.Minute)
	c := Confirmation{}.WithPlatformAnswer(start, 0).WithPlatformFailure().WithSubscription(later, later)
	is.True(c.IsValid(later))
	is.True(c.IsRenewalDue(later)) // the platform must be asked again
	is.True(Confirmation{}.WithSubscription(later, later).IsValid(later))
}

// Guards against calls to the platform while subscriptions arrive as usual.
func TestIsRenewalDue_NotWhileSubscriptionsArrive(t *testing.T) {
	is := is.New(t)
	c := Confirmation{}.WithPlatformAnswer(start, 0)
	for i := range 100 {
		now := start.Add(time.Duration(i) * time.Second)
		c = c.WithSubscription(now.Add(-300*time.Millisecond), now)
		is.True(c.IsValid(now.Add(time.Second)))
		is.True(!c.IsRenewalDue(now.Add(time.Second)))
	}
}

// Guards against a sidecar that refuses new flows at each renewal because the confirmation lapses while the
// platform is being asked. Balancers of the previous version confirm nothing, so only the platform does.
func TestIsRenewalDue_EarlyEnoughForSlowPlatform(t *testing.T) {
	is := is.New(t)
	const callTime = 300 * time.Millisecond
	for offset := time.Duration(0); offset < CheckInterval; offset += 10 * time.Millisecond {
		now := start.Add(offset)
		c := Confirmation{}.WithPlatformAnswer(start, 0)
		for range 100 {
			if c.IsRenewalDue(now) {
				calledAt := now
				now = now.Add(callTime)
				is.True(c.IsValid(now))
				c = c.WithPlatformAnswer(calledAt, 0)
			}
			now = now.Add(CheckInterval)
		}
	}
}

// Guards against a pause of 2 s after one failed call, in which the confirmation lapses because no balancer
// renews it.
func TestIsRenewedByBalancers_NotAfterSingleFailure(t *testing.T) {
	is := is.New(t)
	failedAt := start.Add(1600 * time.Millisecond)
	c := Confirmation{}.WithPlatformAnswer(start, 0).WithPlatformFailure()
	is.True(c.IsValid(failedAt))
	is.True(!c.IsRenewedByBalancers(failedAt))
	is.True(c.WithSubscription(start.Add(time.Second), failedAt).IsRenewedByBalancers(failedAt))
	is.True(!Confirmation{}.IsRenewedByBalancers(failedAt))
	is.True(!c.WithPlatformAnswer(start, 0).IsRenewedByBalancers(start))
}

// Guards against a balancer that starts after the platform has come back, and takes a list for complete in which only
// those sidecars are that have already learned of the later era.
func TestSettledEra_RisesWhenOthersKnowOfLaterEra(t *testing.T) {
	is := is.New(t)
	c := Confirmation{}.WithPlatformAnswer(start, 4)
	is.Equal(c.SettledEra(start), uint64(4))
	c = c.WithPlatformAnswer(start.Add(time.Second), 5)
	is.Equal(c.SettledEra(start.Add(time.Second)), uint64(4))
	c = c.WithPlatformAnswer(start.Add(2*time.Second), 5)
	is.Equal(c.SettledEra(start.Add(5*time.Second)), uint64(5))
}

// Guards against the same in a large fleet, whose sidecars have their enrollments confirmed over a longer time.
func TestSettledEra_WaitsForRenewalsOfWholeFleet(t *testing.T) {
	is := is.New(t)
	c := Confirmation{}.WithRenewalSpread(10*time.Second).WithPlatformAnswer(start, 4).WithPlatformAnswer(start, 5)
	is.Equal(c.SettledEra(start.Add(settleTime+10*time.Second-1)), uint64(4))
	is.Equal(c.SettledEra(start.Add(settleTime+10*time.Second)), uint64(5))
}

// Balancers remove the enrollment 2.5 s after the last sign of life, which is at the earliest the last
// status that one of them has acknowledged. Whatever the order and delay of messages, the sidecar does
// not rely on its enrollment at that time.
func TestIsValid_EndsBeforeRemoval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const removedAfter = 2500 * time.Millisecond
		now, lastStatusAt := start, start
		c := Confirmation{}.WithPlatformAnswer(start, 0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				lastStatusAt = now
			case 1:
				c = c.WithSubscription(lastStatusAt, now) // delayed since the status was sent
			case 2:
				c = c.WithPlatformAnswer(lastStatusAt, 0)
			}
			if c.IsValid(now) && now.Sub(lastStatusAt) >= removedAfter {
				t.Fatalf("the sidecar relies on its enrollment %s after its last status", now.Sub(lastStatusAt))
			}
		}
	})
}

// Guards against a sidecar whose enrollment is lost and not written again, and against one that refuses new flows meanwhile.
func TestWithStatedEra_MakesRenewalDueAfterDelay(t *testing.T) {
	is := is.New(t)
	renewAt := start.Add(time.Second)
	c := Confirmation{}.WithPlatformAnswer(start, 1).WithStatedEra(2, renewAt)
	is.True(!c.IsOfLatestEra())
	is.True(!c.IsRenewalDue(renewAt.Add(-1)))
	is.True(c.IsValid(renewAt))
	is.True(c.IsRenewalDue(renewAt))
	c = c.WithPlatformAnswer(renewAt, 2)
	is.True(c.IsOfLatestEra())
	is.True(!c.IsRenewalDue(renewAt))
	is.Equal(c.Era(), uint64(2))
}

// Guards against a renewal that is put off by each balancer that states the same era, and against one because of a balancer that
// has not learned of the return yet.
func TestWithStatedEra_OnlyFirstStatementCounts(t *testing.T) {
	is := is.New(t)
	renewAt := start.Add(time.Second)
	c := Confirmation{}.WithPlatformAnswer(start, 2)
	is.Equal(c.WithStatedEra(1, renewAt), c)
	is.Equal(c.WithStatedEra(2, renewAt), c)
	c = c.WithStatedEra(3, renewAt)
	is.Equal(c.WithStatedEra(3, renewAt.Add(time.Second)), c)
}

// Guards against a sidecar that calls the platform every 100 ms because one process has stated an era that does not exist.
func TestWithPlatformAnswer_ForgetsEraThatIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	c := Confirmation{}.WithPlatformAnswer(start, 1).WithStatedEra(9, start).WithPlatformAnswer(start, 1)
	is.True(c.IsOfLatestEra())
	is.True(!c.IsRenewalDue(start))
}

// Guards against an enrollment that stays unconfirmed because a response from before the return came after the era was stated.
func TestWithStatedEra_CountsAgainAfterLateResponse(t *testing.T) {
	is := is.New(t)
	c := Confirmation{}.WithPlatformAnswer(start, 1).WithStatedEra(2, start).WithPlatformAnswer(start, 1).WithStatedEra(2, start)
	is.True(!c.IsRenewalDue(start.Add(minEraRenewalInterval - 1))) // no call to the platform for each message of a process that is wrong
	is.True(c.IsRenewalDue(start.Add(minEraRenewalInterval)))
}
