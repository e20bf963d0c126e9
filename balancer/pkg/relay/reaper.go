package relay

import (
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// inquireInterval is the time between two rounds of questions: several fit into the silence after which a sidecar
	// is gone.
	inquireInterval = 500 * time.Millisecond
	// reapPause spreads the balancers, so that usually one of them removes an enrollment.
	reapPause = 400 * time.Millisecond
)

// Reaper asks for silent sidecars and removes the enrollments of those that are gone for good.
type Reaper struct {
	common  common.Common
	keeper  *Keeper
	store   *platform.Store
	traffic *Traffic
	job     common.Job
}

// NewReaper returns a reaper that is not started.
func NewReaper(c common.Common, k *Keeper, store *platform.Store, t *Traffic) *Reaper {
	return &Reaper{common: c, keeper: k, store: store, traffic: t, job: common.NewJob()}
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
		if hasGone(s, time.Now()) && !r.reap() {
			return
		}
	}
}

func hasGone(s Snapshot, now time.Time) bool {
	for _, n := range s.directory.Neighbors() {
		if absence.IsGone(n, now) {
			return true
		}
	}
	return false
}

func (r *Reaper) inquire(s Snapshot) {
	var local []uint64
	for _, q := range absence.Questions(s.Followed(r.traffic.link.Home()), time.Now()) {
		for _, hop := range q.Proxies {
			r.traffic.link.Send(landing.Inquiry{}.WithSubject(q.Subject.Hop()).WithHome(r.traffic.link.Home()), hop)
		}
		if q.IsLocal {
			local = append(local, q.Subject.Hop())
		}
	}
	if len(local) > 0 {
		r.keeper.Post(landing.InquiryChange{}.WithSubjects(local...))
	}
}

// reap removes the enrollments of sidecars that are still gone after a pause. It returns false when the reaper stops.
func (r *Reaper) reap() bool {
	if !common.Pause(r.job.Done, rand.N(reapPause)) {
		return false
	}
	for _, n := range r.keeper.Snapshot().directory.Neighbors() {
		if !absence.IsGone(n, time.Now()) {
			continue
		}
		err := r.store.Remove(r.job.Context(), n.Enrollment())
		if err != nil && !trace.IsAlreadyExists(err) {
			r.common.Log().V(1).Info("enrollment cannot be removed", "sidecar", n.Enrollment().Instance(), "error", err.Error())
			return true
		}
		r.common.Log().Info("enrollment removed", "sidecar", n.Enrollment().Instance(), "inquiries", n.Inquiries(),
			"phase", n.Status().Phase().String(), "revision", n.Enrollment().Revision())
	}
	return true
}
