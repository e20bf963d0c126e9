package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/pace"
	"github.com/crocuslanding/crocuslanding/platform"
)

// probeInterval is the interval between two rounds of indirect probes. A sidecar is removed only after several unanswered
// probes, so several rounds must fit into the silence after which a sidecar counts as gone.
const probeInterval = 500 * time.Millisecond

// Reaper probes silent sidecars through other sidecars, and removes the enrollments of those that are gone. It also
// resets flows in zones that have become unreachable.
type Reaper struct {
	telemetry common.Telemetry
	control   *ControlThread
	store     *platform.StoreClient
	forwarder *Forwarder
	stopper   common.ContextStopper
	// removed holds the enrollments that this balancer has removed but that its directory still contains.
	removed map[landing.Enrollment]bool
	// unreachable are the sidecars that were unreachable together with their zones in the previous round, by address, with
	// the time since which each was silent.
	unreachable map[uint64]time.Time
}

// NewReaper returns a reaper that is not started.
func NewReaper(telemetry common.Telemetry, control *ControlThread, store *platform.StoreClient, forwarder *Forwarder) *Reaper {
	return &Reaper{telemetry: telemetry, control: control, store: store, forwarder: forwarder, stopper: common.NewContextStopper(), removed: map[landing.Enrollment]bool{}}
}

// Start starts the goroutine that probes and removes sidecars.
func (r *Reaper) Start() {
	r.stopper.Go(r.run)
}

// Stop cancels the call in progress and waits until the goroutine has ended.
func (r *Reaper) Stop() {
	r.stopper.Stop()
}

func (r *Reaper) run() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.stopper.C():
			return
		case <-ticker.C:
		}
		s := r.control.Snapshot()
		r.sendProbes(s)
		r.handleUnreachable(s)
		if len(r.removableSidecars()) > 0 && !r.removeEnrollments() {
			return
		}
	}
}

// handleUnreachable resets those flows of sidecars that have become unreachable together with their zones since the
// previous round whose callers wait for an answer. It logs how many sidecars of each zone have become unreachable, and
// how many can be reached again.
func (r *Reaper) handleUnreachable(s Snapshot) {
	unreachable := absence.UnreachableSidecars(s.directory.Sidecars(), clock.Now())
	lost, regained := map[string]int{}, map[string]int{}
	for _, sidecar := range s.directory.Sidecars() {
		_, wasUnreachable := r.unreachable[sidecar.Address()]
		silentSince, isUnreachable := unreachable[sidecar.Address()]
		switch {
		case isUnreachable && !wasUnreachable:
			lost[sidecar.Enrollment().Zone()]++
			r.forwarder.resetUnanswered(sidecar.Address(), silentSince)
		case wasUnreachable && !isUnreachable:
			regained[sidecar.Enrollment().Zone()]++
		}
	}
	for zone, count := range lost {
		r.telemetry.Log().Info("zone is dark", "zone", zone, "sidecars", count)
	}
	for zone, count := range regained {
		r.telemetry.Log().Info("zone is heard again", "zone", zone, "sidecars", count)
	}
	r.unreachable = unreachable
}

// removableSidecars returns the sidecars whose enrollments this balancer must remove, without those that it has already
// removed. An enrollment that was read in an earlier era of the platform is left alone, since its revision may now be that
// of another state.
func (r *Reaper) removableSidecars() []landing.KnownSidecar {
	s := r.control.Snapshot()
	sidecars := s.directory.Sidecars()
	maps.DeleteFunc(r.removed, func(enrollment landing.Enrollment, _ bool) bool {
		return !slices.ContainsFunc(sidecars, func(sidecar landing.KnownSidecar) bool { return sidecar.Enrollment() == enrollment })
	})
	return slices.DeleteFunc(absence.RemovableSidecars(sidecars, clock.Now()), func(sidecar landing.KnownSidecar) bool {
		return r.removed[sidecar.Enrollment()] || sidecar.Enrollment().Era() < s.StoreEra()
	})
}

// sendProbes sends the due indirect probes of silent sidecars to their proxies, the sidecars that pass the probes on. It
// posts which sidecars were probed.
func (r *Reaper) sendProbes(s Snapshot) {
	var local, remote []uint64 // probed through a proxy in the sidecar's own zone, and in another zone
	for _, probe := range absence.DueProbes(s.directory.Subscribed(), s.directory.Unsubscribed(), r.forwarder.zone, clock.Now()) {
		for _, proxy := range probe.Proxies {
			r.forwarder.link.Send(landing.IndirectProbe{}.WithSubjectAddress(probe.Subject.Address()).WithBalancerAddress(r.forwarder.link.LocalAddress()), proxy)
		}
		if probe.HasLocalProxy {
			local = append(local, probe.Subject.Address())
		}
		if probe.HasRemoteProxy {
			remote = append(remote, probe.Subject.Address())
		}
	}
	if len(local)+len(remote) > 0 {
		r.control.Post(landing.ProbesSent{}.WithLocalSubjects(local...).WithRemoteSubjects(remote...))
	}
}

// removeEnrollments waits for a random delay, so that usually only one balancer makes the calls, and then removes the
// enrollments of the sidecars that are still gone. It returns false when the reaper stops during the delay.
func (r *Reaper) removeEnrollments() bool {
	if !common.Sleep(r.stopper.Stopper, pace.RemovalDelay(r.control.Snapshot().BalancerCount())) {
		return false
	}
	for _, sidecar := range r.removableSidecars() {
		err := r.store.RemoveEnrollment(r.stopper.Context(), sidecar.Enrollment())
		if err != nil && !trace.IsAlreadyExists(err) {
			r.telemetry.Log().V(1).Info("enrollment cannot be removed", "sidecar", sidecar.Enrollment().Instance(), "error", err.Error())
			return true
		}
		r.removed[sidecar.Enrollment()] = true
		r.telemetry.Log().Info("enrollment removed", "sidecar", sidecar.Enrollment().Instance(), "inquiries", sidecar.UnansweredLocalProbes(),
			"phase", sidecar.LastStatus().UpstreamPhase().String(), "revision", sidecar.Enrollment().Revision())
	}
	return true
}
