package directory

import (
	"slices"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// WithStoreTime returns a directory after the platform has answered for this time. A sidecar can enroll again only while
// it does, so the time for which it does not answer, or for which the balancer is suspended, does not count.
func (d *Directory) WithStoreTime(t time.Duration) *Directory {
	next := *d
	next.storeTime += t
	return &next
}

// retainedAfter returns the sidecars that are retained after the list: those that already are and, in a later
// era, all others for the retention time.
func (d *Directory) retainedAfter(list landing.EnrollmentList) []landing.KnownSidecar {
	isLaterEra := list.Era() > d.enrollments.Era()
	var retained []landing.KnownSidecar
	for _, s := range d.sidecars {
		switch {
		case isLaterEra:
			retained = append(retained, s.WithRetainedUntil(d.storeTime+d.retention))
		case isRetained(s):
			retained = append(retained, s)
		}
	}
	return retained
}

// isRetained reports whether the enrollment list does not contain the sidecar.
func isRetained(s landing.KnownSidecar) bool {
	return s.RetainedUntil() > 0
}

// RetainedCount returns the number of sidecars that are known and not in the enrollment list.
func (d *Directory) RetainedCount() int {
	count := 0
	for _, s := range d.sidecars {
		if isRetained(s) {
			count++
		}
	}
	return count
}

// HasExpired reports whether a sidecar is retained whose time is over.
func (d *Directory) HasExpired() bool {
	return slices.ContainsFunc(d.sidecars, d.isExpired)
}

func (d *Directory) isExpired(s landing.KnownSidecar) bool {
	return isRetained(s) && d.storeTime > s.RetainedUntil()
}

// prolonged returns a retained sidecar whose status has arrived. While it has yet to have its enrollment confirmed in the era of
// the list, it is kept for longer: the platform may turn it away while it serves others.
func (d *Directory) prolonged(s landing.KnownSidecar) landing.KnownSidecar {
	if !isRetained(s) || !d.hasYetToEnroll(s) {
		return s
	}
	return s.WithRetainedUntil(max(s.RetainedUntil(), d.storeTime+listDelay))
}

// hasYetToEnroll reports whether the sidecar says that its enrollment is not confirmed in the era of the list. Sidecars of the
// previous version state no era.
func (d *Directory) hasYetToEnroll(s landing.KnownSidecar) bool {
	return s.LastStatus().StoreEra() > 0 && s.LastStatus().SettledEra() < d.enrollments.Era()
}

// WithoutExpired returns a directory without the retained sidecars whose time is over.
func (d *Directory) WithoutExpired(now time.Time) *Directory {
	return d.withSidecars(slices.DeleteFunc(slices.Clone(d.sidecars), d.isExpired), now)
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
