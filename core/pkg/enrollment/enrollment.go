// Package enrollment decides whether a sidecar may rely on its enrollment, the object by which
// balancers find it. The object is stored at the platform, the service outside the fleet that stores
// shared objects. A sidecar whose enrollment has been removed must not admit flows: balancers reset a
// flow that no enrolled sidecar holds.
//
// Balancers remove the enrollment of a sidecar that has been silent for 2.5 s, for instance because
// its machine was suspended. So a confirmation of the enrollment works like a lease. It is valid for
// 2 s from a time that is certainly before its arrival: the start of the call to the platform, or the
// sending of the status that a balancer acknowledges. A message that was delayed or waited in a socket
// therefore does not extend the validity.
//
// The list of a balancer can be older than the removal of the enrollment. So once the confirmation
// has lapsed, only the platform can confirm the enrollment again. While the platform does not answer,
// balancers can, since a removal needs the platform too.
//
// The platform can come back from an older copy of itself, without enrollments that it has lost. It then
// begins a new era. A sidecar that learns of a later era has its enrollment confirmed by the platform,
// which writes it again if it is missing. It goes on admitting flows meanwhile, and tells balancers that its
// enrollment is not confirmed.
package enrollment

import "time"

const (
	// Validity is the time for which a confirmation is valid. It is shorter than the silence of 2.5 s
	// after which balancers remove an enrollment (package absence).
	Validity = 2 * time.Second
	// renewAfter is the age of the last confirmation from which the platform is asked to confirm the
	// enrollment. In normal operation balancers confirm it earlier: they renew their subscriptions
	// every second and acknowledge a status that is up to 250 ms old.
	renewAfter = 1500 * time.Millisecond
	// CheckInterval is the interval between two checks whether the platform must confirm the
	// enrollment. It leaves 400 ms of the validity for the call to the platform.
	CheckInterval = 100 * time.Millisecond
	// minEraRenewalInterval is the least time between two calls to the platform because of a later era.
	minEraRenewalInterval = time.Second
	// settleTime is the time within which all other sidecars learn of a later era. The balancers that
	// know them retry a failed call to the platform within 1.8 s, and then renew their subscriptions
	// within a second.
	settleTime = 3 * time.Second
)

// Confirmation is what a sidecar knows of its enrollment. It is immutable. The zero value is that of
// a sidecar that has just started.
type Confirmation struct {
	// confirmedAt is the latest time at which the enrollment is known to have existed; the zero time
	// before the first confirmation.
	confirmedAt time.Time
	// isPlatformAnswering reports whether the last call to the platform has been answered.
	isPlatformAnswering bool
	// answeredAt is the time at which the last answered call was sent.
	answeredAt time.Time
	// era is the era in which the platform has confirmed the enrollment last, and latestEra the latest
	// one that the platform or another process has stated.
	era       uint64
	latestEra uint64
	// previousEra is the era before that, and settledAt the time until which other sidecars may not know
	// of the later one.
	previousEra uint64
	settledAt   time.Time
	// renewAt is the time from which the platform is asked because of the latest era, and spread the time over which
	// the sidecars of the fleet do so.
	renewAt time.Time
	spread  time.Duration
}

// WithPlatformAnswer returns the confirmation after the platform has confirmed the enrollment in this
// era, in response to a call that was sent at calledAt. A later era that another process has stated is
// forgotten: the process is wrong, or states the era again.
func (c Confirmation) WithPlatformAnswer(calledAt time.Time, era uint64) Confirmation {
	c.isPlatformAnswering, c.answeredAt = true, calledAt
	if c.era > 0 && era > c.era {
		c.previousEra, c.settledAt = c.era, calledAt.Add(settleTime+c.spread)
	}
	c.era, c.latestEra = era, era
	return c.withConfirmedAt(calledAt)
}

// WithRenewalSpread returns the confirmation with the time over which the sidecars of the fleet have their
// enrollments confirmed in a later era.
func (c Confirmation) WithRenewalSpread(d time.Duration) Confirmation {
	c.spread = d
	return c
}

// WithStatedEra returns the confirmation after another process has stated an era of the platform. If it
// is later than all eras before, the platform is asked from the time renewAt on, but not sooner than
// minEraRenewalInterval after its last answer: a process that is wrong may state its era again and again.
func (c Confirmation) WithStatedEra(era uint64, renewAt time.Time) Confirmation {
	if era > c.latestEra {
		c.latestEra, c.renewAt = era, laterOf(renewAt, c.answeredAt.Add(minEraRenewalInterval))
	}
	return c
}

// Era returns the era in which the platform has confirmed the enrollment last; 0 before that.
func (c Confirmation) Era() uint64 {
	return c.era
}

// SettledEra returns the latest era in which the platform has confirmed the enrollment, and in which the
// enrollments of all other sidecars are written again or known to be missing. A sidecar that has started in the
// latest era cannot tell the difference.
func (c Confirmation) SettledEra(now time.Time) uint64 {
	if now.Before(c.settledAt) {
		return c.previousEra
	}
	return c.era
}

// IsOfLatestEra reports whether the platform has confirmed the enrollment in the latest era that the
// sidecar knows. Otherwise balancers may read a list without it.
func (c Confirmation) IsOfLatestEra() bool {
	return c.era == c.latestEra
}

// WithPlatformFailure returns the confirmation after a call to the platform has failed.
func (c Confirmation) WithPlatformFailure() Confirmation {
	c.isPlatformAnswering = false
	return c
}

// WithSubscription returns the confirmation after a balancer that has the sidecar in its list has
// acknowledged a status that the sidecar sent at sentAt. It does not renew a confirmation that has
// lapsed while the platform answers.
func (c Confirmation) WithSubscription(sentAt, now time.Time) Confirmation {
	if c.isPlatformAnswering && !c.IsValid(now) {
		return c
	}
	return c.withConfirmedAt(sentAt)
}

// IsValid reports whether the sidecar may rely on its enrollment.
func (c Confirmation) IsValid(now time.Time) bool {
	return c.HasBeenConfirmed() && now.Sub(c.confirmedAt) <= Validity
}

// IsRenewalDue reports whether the platform must be asked to confirm the enrollment.
func (c Confirmation) IsRenewalDue(now time.Time) bool {
	isEraDue := !c.IsOfLatestEra() && !now.Before(c.renewAt)
	return !c.isPlatformAnswering || isEraDue || now.Sub(c.confirmedAt) > renewAfter
}

// Age returns the time since the enrollment was last known to exist; false when it was not confirmed since the
// sidecar started.
func (c Confirmation) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(c.confirmedAt), c.HasBeenConfirmed()
}

// IsRenewedByBalancers reports whether balancers renew the confirmation while the platform does not
// answer. A confirmation older than renewAfter is not being renewed, and lapses soon unless the
// platform answers.
func (c Confirmation) IsRenewedByBalancers(now time.Time) bool {
	return !c.isPlatformAnswering && now.Sub(c.confirmedAt) <= renewAfter
}

// HasBeenConfirmed reports whether the enrollment was confirmed since the sidecar started.
func (c Confirmation) HasBeenConfirmed() bool {
	return !c.confirmedAt.IsZero()
}

func (c Confirmation) withConfirmedAt(t time.Time) Confirmation {
	if t.After(c.confirmedAt) {
		c.confirmedAt = t
	}
	return c
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
