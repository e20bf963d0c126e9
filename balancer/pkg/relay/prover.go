package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// provePause is the time between two reads for proofs at least.
	provePause = 100 * time.Millisecond
	// maxProofs bounds the flows that wait for a proof.
	maxProofs = 4096
)

// OrphanResetter resets flows that nobody holds. That every sidecar which this balancer knows has denied a flow is not
// enough, since it may not know all of them: a sidecar enrolls at the platform before it takes its first flow, so a
// read of the roll that begins after the walk and shows no other sidecar completes the proof.
type OrphanResetter struct {
	common   common.Telemetry
	keeper   *ControlThread
	store    *platform.StoreClient
	traffic  *Forwarder
	nobodies <-chan nobody
	job      common.ContextStopper
}

// NewOrphanResetter returns a prover that is not started.
func NewOrphanResetter(c common.Telemetry, k *ControlThread, store *platform.StoreClient, t *Forwarder, nobodies <-chan nobody) *OrphanResetter {
	return &OrphanResetter{common: c, keeper: k, store: store, traffic: t, nobodies: nobodies, job: common.NewContextStopper()}
}

// Start starts the prover.
func (p *OrphanResetter) Start() {
	p.job.Go(p.run)
}

// Stop ends all calls and waits for their end.
func (p *OrphanResetter) Stop() {
	p.job.Stop()
}

func (p *OrphanResetter) run() {
	for {
		select {
		case <-p.job.C():
			return
		case n := <-p.nobodies:
			p.prove(p.collect(n))
		}
		if !common.Sleep(p.job.Stopper, provePause) {
			return
		}
	}
}

// collect returns all flows that wait.
func (p *OrphanResetter) collect(first nobody) map[landing.FlowKey]nobody {
	list := map[landing.FlowKey]nobody{first.key: first}
	for {
		select {
		case n := <-p.nobodies:
			list[n.key] = n
		default:
			return list
		}
	}
}

func (p *OrphanResetter) prove(list map[landing.FlowKey]nobody) {
	snapshot := p.keeper.Snapshot()
	known := snapshot.directory.EnrollmentList()
	// The whole list is read, since a watch can miss what happened while the store drops its history.
	read, err := p.store.ReadEnrollments(p.job.Context())
	if err != nil {
		p.common.Log().Info("flows not reset", "reason", "platform cannot be read", "flows", len(list), "error", err.Error())
		return
	}
	p.keeper.Post(landing.EnrollmentsReceived{}.WithEnrollmentList(read))
	if !directory.SameSidecars(known, read) {
		p.common.Log().Info("flows not reset", "reason", "other sidecars have enrolled", "flows", len(list))
		return
	}
	dark := absence.UnreachableZones(p.keeper.Snapshot().directory.Sidecars(), time.Now())
	for _, n := range list {
		if n.roll != snapshot.directory.ChangedRevision() || !isWithin(n.dark, dark) {
			continue
		}
		p.common.Counters().Counter("reset.nobody").Inc(1)
		p.common.Log().Info("flow reset", "flow", address.FormatFlow(n.key), "request", n.request, "reason", "nobody holds it", "roll", n.roll,
			"sidecars", known.EnrollmentsLen(), "dark", len(n.dark))
		p.traffic.resetCaller(n.key, n.acknowledged)
	}
}

// isWithin says whether all zones that were dark during a walk still are.
func isWithin(before, now map[string]bool) bool {
	for zone := range before {
		if !now[zone] {
			return false
		}
	}
	return true
}
