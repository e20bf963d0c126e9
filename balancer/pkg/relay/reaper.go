package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/pace"
	"github.com/crocuslanding/crocuslanding/platform"
)

// inquireInterval is the time between two rounds of questions: several fit into the silence after which a sidecar
// is gone.
const inquireInterval = 500 * time.Millisecond

// Reaper asks for silent sidecars and removes the enrollments of those that are gone for good.
type Reaper struct {
	common  common.Telemetry
	keeper  *ControlThread
	store   *platform.StoreClient
	traffic *Forwarder
	job     common.ContextStopper
	// removed are the enrollments that this balancer has removed and that its roll still names.
	removed map[landing.Enrollment]bool
	// dark are the zones that were dark at the last look.
	dark map[string]bool
}

// NewReaper returns a reaper that is not started.
func NewReaper(c common.Telemetry, k *ControlThread, store *platform.StoreClient, t *Forwarder) *Reaper {
	return &Reaper{common: c, keeper: k, store: store, traffic: t, job: common.NewContextStopper(), removed: map[landing.Enrollment]bool{}}
}

// Start starts the reaper.
func (r *Reaper) Start() {
	r.job.Go(r.run)
}

// Stop ends all calls and waits for their end.
func (r *Reaper) Stop() {
	r.job.Stop()
}

func (r *Reaper) run() {
	ticker := time.NewTicker(inquireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.job.C():
			return
		case <-ticker.C:
		}
		s := r.keeper.Snapshot()
		r.inquire(s)
		r.watchZones(s)
		if len(r.abandoned()) > 0 && !r.reap() {
			return
		}
	}
}

// watchZones resets the flows of zones that have just gone dark.
func (r *Reaper) watchZones(s Snapshot) {
	neighbors := s.directory.Sidecars()
	dark := absence.UnreachableZones(neighbors, time.Now())
	for zone := range dark {
		if r.dark[zone] {
			continue
		}
		r.common.Log().Info("zone is dark", "zone", zone, "sidecars", len(neighbors))
		for _, n := range neighbors {
			if n.Enrollment().Zone() == zone {
				r.traffic.resetDark(n)
			}
		}
	}
	for zone := range r.dark {
		if !dark[zone] {
			r.common.Log().Info("zone is heard again", "zone", zone)
		}
	}
	r.dark = dark
}

// abandoned returns the sidecars whose enrollment is to be removed.
func (r *Reaper) abandoned() []landing.KnownSidecar {
	neighbors := r.keeper.Snapshot().directory.Sidecars()
	maps.DeleteFunc(r.removed, func(e landing.Enrollment, _ bool) bool {
		return !slices.ContainsFunc(neighbors, func(n landing.KnownSidecar) bool { return n.Enrollment() == e })
	})
	return slices.DeleteFunc(absence.RemovableSidecars(neighbors, time.Now()), func(n landing.KnownSidecar) bool {
		return r.removed[n.Enrollment()]
	})
}

func (r *Reaper) inquire(s Snapshot) {
	var local, remote []uint64
	for _, q := range absence.DueProbes(s.directory.Subscribed(), time.Now()) {
		for _, hop := range q.Proxies {
			r.traffic.link.Send(landing.IndirectProbe{}.WithSubjectAddress(q.Subject.Address()).WithBalancerAddress(r.traffic.link.LocalAddress()), hop)
		}
		if q.HasLocalProxy {
			local = append(local, q.Subject.Address())
		}
		if q.HasRemoteProxy {
			remote = append(remote, q.Subject.Address())
		}
	}
	if len(local)+len(remote) > 0 {
		r.keeper.Post(landing.ProbesSent{}.WithLocalSubjects(local...).WithRemoteSubjects(remote...))
	}
}

// reap removes the enrollments of sidecars that are still gone after a pause. It returns false when the reaper stops.
func (r *Reaper) reap() bool {
	if !common.Sleep(r.job.Stopper, pace.RemovalDelay(r.keeper.Snapshot().BalancerCount())) {
		return false
	}
	for _, n := range r.abandoned() {
		err := r.store.RemoveEnrollment(r.job.Context(), n.Enrollment())
		if err != nil && !trace.IsAlreadyExists(err) {
			r.common.Log().V(1).Info("enrollment cannot be removed", "sidecar", n.Enrollment().Instance(), "error", err.Error())
			return true
		}
		r.removed[n.Enrollment()] = true
		r.common.Log().Info("enrollment removed", "sidecar", n.Enrollment().Instance(), "inquiries", n.UnansweredLocalProbes(),
			"phase", n.LastStatus().UpstreamPhase().String(), "revision", n.Enrollment().Revision())
	}
	return true
}
