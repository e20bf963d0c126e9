package directory

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// HasUnreadable reports whether the enrollment list has an entry that cannot be read and that may be the one of
// a sidecar that runs.
func (d *Directory) HasUnreadable(now time.Time) bool {
	for _, since := range d.unreadableSince {
		if now.Sub(since) <= unreadableTimeout {
			return true
		}
	}
	return false
}

// IsSettled reports whether the list is not likely to lack sidecars that have not enrolled again in its era.
// It may lack some while a sidecar that can be heard says that its own enrollment, or those of others, are not
// confirmed in this era, for at most the time for which lost sidecars are retained. It also may while another
// balancer knows sidecars that are not enrolled, which this one does not know if it has started since, and while a
// sidecar has not been heard that will soon be.
func (d *Directory) IsSettled(now time.Time) bool {
	eraAge := now.Sub(d.eraListedAt)
	return !slices.ContainsFunc(d.sidecars, func(s landing.KnownSidecar) bool {
		return d.isYetToBeHeard(s) && eraAge <= interruptionTime || d.statesEarlierEra(s, now) && eraAge <= d.retention || d.statesUnlisted(s, now)
	})
}

// isYetToBeHeard reports whether the balancer subscribes to the sidecar and has no status of it. A platform without
// eras loses no enrollments.
func (d *Directory) isYetToBeHeard(s landing.KnownSidecar) bool {
	return d.enrollments.Era() > 0 && d.subscribed[s.Address()] && s.LastStatusAt().IsZero()
}

// statesEarlierEra reports whether the sidecar can be heard and says that enrollments are confirmed in an earlier era
// only. A sidecar that has just started states none: the platform has not confirmed its enrollment yet, and it knows
// nothing of others. Sidecars of the previous version state none either.
func (d *Directory) statesEarlierEra(s landing.KnownSidecar, now time.Time) bool {
	stated := s.LastStatus().SettledEra()
	return isHeard(s, now) && stated > 0 && stated < d.enrollments.Era()
}

// KnowsUnlisted reports whether sidecars run that are not enrolled, or are retained since they may.
func (d *Directory) KnowsUnlisted(now time.Time) bool {
	return d.HasUnlisted(now) || d.RetainedCount() > 0
}

// statesUnlisted reports whether the sidecar can be heard and says that a balancer knows sidecars that the list lacks.
func (d *Directory) statesUnlisted(s landing.KnownSidecar, now time.Time) bool {
	return isHeard(s, now) && s.LastStatus().KnowsUnlisted()
}

// isHeard reports whether the statuses of a sidecar to which the balancer subscribes arrive.
func isHeard(s landing.KnownSidecar, now time.Time) bool {
	return !s.LastStatusAt().IsZero() && now.Sub(s.LastStatusAt()) <= interruptionTime
}

// ConfirmsEnrollment reports whether the balancer confirms the enrollment of the sidecar, so that the sidecar relies on it.
// It does not if the entry in the list cannot be read: another writer has overwritten it, and the sidecar replaces it. Nor
// does it if the list lacks the enrollment, unless the sidecar still has to have it confirmed in the era of the list, which
// sidecars do one after the other. Sidecars of the previous version state no era and enroll again as soon as they are not
// confirmed.
func (d *Directory) ConfirmsEnrollment(s landing.KnownSidecar) bool {
	_, isUnreadable := d.unreadableSince[s.Enrollment().Instance()]
	return !isUnreadable && (!isRetained(s) || d.hasYetToEnroll(s))
}
