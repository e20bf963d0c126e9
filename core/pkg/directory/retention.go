package directory

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// retainedAfter returns the sidecars that are retained after the list: those that already are and, in a later
// era, all others until the given time.
func (d *Directory) retainedAfter(list landing.EnrollmentList, until time.Time) []landing.KnownSidecar {
	isLaterEra := list.Era() > d.enrollments.Era()
	var retained []landing.KnownSidecar
	for _, s := range d.sidecars {
		switch {
		case isLaterEra:
			retained = append(retained, s.WithRetainedUntil(until))
		case isRetained(s):
			retained = append(retained, s)
		}
	}
	return retained
}

// isRetained reports whether the enrollment list does not contain the sidecar.
func isRetained(s landing.KnownSidecar) bool {
	return !s.RetainedUntil().IsZero()
}

// HasExpired reports whether a sidecar is retained whose time is over.
func (d *Directory) HasExpired(now time.Time) bool {
	return slices.ContainsFunc(d.sidecars, func(s landing.KnownSidecar) bool { return isRetained(s) && now.After(s.RetainedUntil()) })
}

// WithoutExpired returns a directory without the retained sidecars whose time is over.
func (d *Directory) WithoutExpired(now time.Time) *Directory {
	return d.withSidecars(slices.DeleteFunc(slices.Clone(d.sidecars), func(s landing.KnownSidecar) bool {
		return isRetained(s) && now.After(s.RetainedUntil())
	}), now)
}

// isSameProcess reports whether the enrollment is that of the known process of the sidecar. A sidecar that has
// enrolled again is a new process, to which a status from before does not apply. In a later era of the
// platform, a running sidecar has its enrollment written again, which then has another revision.
func isSameProcess(known landing.KnownSidecar, enrollment landing.Enrollment) bool {
	if known.Enrollment().Era() == enrollment.Era() {
		return known.Enrollment() == enrollment
	}
	return isSameSidecar(known.Enrollment(), enrollment) && known.LastStatus().UpstreamPhase() != landing.PhaseLeft
}
