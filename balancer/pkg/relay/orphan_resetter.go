package relay

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/absence"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/clock"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/directory"
	"github.com/crocuslanding/crocuslanding/platform"
)

const (
	// minReadInterval is the least time between two reads of the enrollments. Flows that are reported meanwhile share the
	// next read.
	minReadInterval = 100 * time.Millisecond
	// maxOrphanCandidates limits the flows that wait for a read of the enrollments.
	maxOrphanCandidates = 4096
	// maxCandidateAge is the time after which the result of a walk is too old for a reset, for instance because the balancer
	// was paused meanwhile. It is longer than a read of a slow platform takes.
	maxCandidateAge = 4 * time.Second
)

// OrphanResetter resets orphaned flows, which no reachable sidecar holds. Its candidates are the flows for which a walk,
// a search that asks one sidecar after another, has found no holder. That is not enough for a reset, since the balancer
// may not know all sidecars. But a sidecar enrolls at the platform before it accepts its first flow. OrphanResetter
// therefore reads the enrollments after the walk has ended. When they show the same sidecars as before, the flow is
// reset.
//
// A walk leaves out the sidecars that are unreachable together with their zones. A flow that one of them may hold is reset
// too, if these sidecars are still unreachable.
type OrphanResetter struct {
	telemetry  common.Telemetry
	control    *ControlThread
	store      *platform.StoreClient
	forwarder  *Forwarder
	candidates <-chan orphanCandidate
	stopper    common.ContextStopper
}

// NewOrphanResetter returns an OrphanResetter for the flows from the channel candidates. It is not started.
func NewOrphanResetter(telemetry common.Telemetry, control *ControlThread, store *platform.StoreClient, forwarder *Forwarder, candidates <-chan orphanCandidate) *OrphanResetter {
	return &OrphanResetter{telemetry: telemetry, control: control, store: store, forwarder: forwarder, candidates: candidates, stopper: common.NewContextStopper()}
}

// Start starts the goroutine that checks and resets flows.
func (r *OrphanResetter) Start() {
	r.stopper.Go(r.run)
}

// Stop cancels the read in progress and waits until the goroutine has ended.
func (r *OrphanResetter) Stop() {
	r.stopper.Stop()
}

func (r *OrphanResetter) run() {
	for {
		select {
		case <-r.stopper.C():
			return
		case candidate := <-r.candidates:
			r.resetOrphans(r.collectPending(candidate))
		}
		if !common.Sleep(r.stopper.Stopper, minReadInterval) {
			return
		}
	}
}

// collectPending returns the candidate first and all candidates that wait in the channel. Of two candidates for the same
// flow it returns the later one.
func (r *OrphanResetter) collectPending(first orphanCandidate) map[landing.FlowKey]orphanCandidate {
	pending := map[landing.FlowKey]orphanCandidate{first.key: first}
	for {
		select {
		case candidate := <-r.candidates:
			pending[candidate.key] = candidate
		default:
			return pending
		}
	}
}

// resetOrphans reads the enrollments and resets those of the pending flows that no reachable sidecar holds. It resets no
// flow when the read fails or shows another set of sidecars than the balancer knew before.
func (r *OrphanResetter) resetOrphans(pending map[landing.FlowKey]orphanCandidate) {
	snapshot := r.control.Snapshot()
	before := snapshot.directory.EnrollmentList()
	// The complete list is read, since a watch can miss changes when the platform drops its history of revisions.
	current, err := r.store.ReadEnrollments(r.stopper.Context(), before)
	if err != nil {
		r.telemetry.Log().Info("flows not reset", "reason", "platform cannot be read", "flows", len(pending), "error", err.Error())
		return
	}
	r.control.Post(landing.EnrollmentsReceived{}.WithEnrollmentList(current))
	r.control.AwaitPosted()
	now := clock.Now()
	latest := r.control.Snapshot().directory
	if reason := reasonAgainstProof(before, current, latest, now); reason != "" {
		r.telemetry.Counters().Counter("proofs_withheld").Inc(int64(len(pending)))
		r.telemetry.Log().Info("flows not reset", "reason", reason, "flows", len(pending))
		return
	}
	unreachable := absence.UnreachableSidecars(latest.Sidecars(), now)
	for _, candidate := range pending {
		// The walk must have covered the sidecars that are enrolled now, and those that it left out must still be
		// unreachable.
		if candidate.generation != snapshot.directory.Generation() || !isSubset(candidate.unreachable, unreachable) {
			continue
		}
		if now.Sub(candidate.foundAt) > maxCandidateAge {
			continue
		}
		r.telemetry.Counters().Counter("reset.nobody").Inc(1)
		// The key generation identifies the set of sidecars, and the key dark holds the number of unreachable ones.
		r.telemetry.Log().Info("flow reset", "flow", address.FormatFlow(candidate.key), "request", candidate.requestID, "reason", "nobody holds it", "generation", candidate.generation,
			"sidecars", before.EnrollmentsLen(), "dark", len(candidate.unreachable))
		r.forwarder.sendReset(candidate.key, candidate.lastAcknowledged)
	}
}

// reasonAgainstProof returns the reason why the list that was known when the read began, and the one that was read, do not
// show that the walk has covered all sidecars that run, or "" if they do.
func reasonAgainstProof(before, current landing.EnrollmentList, latest *directory.Directory, now time.Time) string {
	switch {
	case before.Era() != current.Era():
		return "the store has come back from an older copy"
	case !directory.SameSidecars(before, current):
		return "other sidecars have enrolled"
	case latest.HasUnlisted(now):
		return "a sidecar that is not enrolled runs"
	case latest.HasUnreadable(now):
		return "an enrollment cannot be read"
	case !latest.IsSettled(now):
		return "enrollments are not confirmed since the store came back"
	}
	return ""
}

// isSubset reports whether superset contains all of the addresses.
func isSubset(addresses, superset map[uint64]time.Time) bool {
	for sidecarAddress := range addresses {
		if _, found := superset[sidecarAddress]; !found {
			return false
		}
	}
	return true
}
