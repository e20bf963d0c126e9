// Package keeper contains the control thread of a sidecar, which owns all control state. It handles
// events one after another and publishes an immutable snapshot after each.
//
// The control state consists of the target that the sidecar announces, and of what balancers send:
// the lists that operators edit (services, customers and plans), the exclusion marks that take zones or
// upstreams out of service, the keyring, the balancers of the region and the weights of the service's
// targets. A target is an upstream as the roster of the region lists it. The root of the lists names the
// chunks that they consist of.
package keeper

import (
	"sync/atomic"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/weight"
)

// eventBuffer is the number of posted events that may wait for the control thread.
const eventBuffer = 64

// ControlThread owns the control state of a sidecar.
type ControlThread struct {
	telemetry     common.Telemetry
	thread        *common.ControlThread
	snapshot      atomic.Pointer[Snapshot]
	targetChanged chan struct{}
}

// New returns the control thread of the sidecar that announces this target. Start must be called.
func New(c common.Telemetry, target landing.Target) *ControlThread {
	t := &ControlThread{
		telemetry:     c,
		thread:        common.NewControlThread(eventBuffer),
		targetChanged: make(chan struct{}, 1),
	}
	s := NewSnapshot(target)
	t.snapshot.Store(&s)
	return t
}

// Start starts the control thread.
func (t *ControlThread) Start() {
	t.thread.Start()
}

// Stop stops the control thread and waits for its end.
func (t *ControlThread) Stop() {
	t.thread.Stop()
}

// Snapshot returns the latest snapshot.
func (t *ControlThread) Snapshot() Snapshot {
	return *t.snapshot.Load()
}

// TargetChanged returns a channel that receives a value when the target has changed and must be announced
// to the home balancer.
func (t *ControlThread) TargetChanged() <-chan struct{} {
	return t.targetChanged
}

// Post passes an event to the control thread. It blocks while too many events wait.
func (t *ControlThread) Post(e landing.SidecarEvent) {
	t.thread.Post(func() { t.handle(e) })
}

func (t *ControlThread) handle(e landing.SidecarEvent) {
	s := t.Snapshot()
	targetBefore := s.Target()
	switch e := e.(type) {
	case landing.HeartbeatAnswered:
		s = t.applyUpdate(s, e.Update())
	case landing.ListsLoaded:
		s = t.applyLists(s, e)
	case landing.AnnouncementReceived:
		s = t.applyAnnouncement(s, e.Announcement())
	case landing.StopRequested:
		s = withPhase(s, landing.PhaseDraining)
	case landing.WeightMeasured:
		s = withWeight(s, e.RequestsPerSecond())
	}
	t.snapshot.Store(&s)
	if s.Target() != targetBefore {
		t.notifyTargetChanged()
	}
}

func (t *ControlThread) notifyTargetChanged() {
	select {
	case t.targetChanged <- struct{}{}:
	default:
	}
}

// applyUpdate applies the control state that a balancer sent in response to a heartbeat.
func (t *ControlThread) applyUpdate(s Snapshot, u landing.StateUpdate) Snapshot {
	if u.BalancersLen() > 0 {
		s = s.WithBalancers(u.Balancers())
	}
	if u.TargetWeightsLen() > 0 {
		s = s.WithWeights(u.TargetWeights(), int(u.WeightIndex()))
	}
	s = s.WithRosterSerial(max(s.RosterSerial(), u.Digest().Roster()))
	// The roster lists the target as left although the sidecar is running. A higher change number corrects that.
	if u.ChangeToExceed() >= s.Target().Change() && u.ChangeToExceed() > 0 {
		s = s.WithTarget(s.Target().WithChange(u.ChangeToExceed() + 1))
	}
	s = t.applyKeyring(s, u.Keyring())
	merged := mark.Merge(s.Marks(), u.Marks())
	if mark.Digest(merged) != mark.Digest(s.Marks()) {
		s = s.WithMarks(merged)
		t.telemetry.Log().Info("marks in force", "digest", mark.Digest(merged), "out", s.IsExcluded())
	}
	return s
}

// applyLists puts newer lists in force. Lists with the same or a lower serial number are ignored.
func (t *ControlThread) applyLists(s Snapshot, loaded landing.ListsLoaded) Snapshot {
	if loaded.Root().Serial() <= s.Root().Serial() {
		return s
	}
	t.telemetry.Log().Info("lists in force", "serial", loaded.Root().Serial())
	return s.WithLists(loaded.Root(), loaded.Lists())
}

// applyAnnouncement sets the phase of the target that corresponds to the state that the upstream announced.
func (t *ControlThread) applyAnnouncement(s Snapshot, a landing.UpstreamAnnouncement) Snapshot {
	t.telemetry.Log().Info("upstream announced", "upstream", a.Instance(), "state", a.State().String())
	switch a.State() {
	case landing.ConditionStarted:
		return withPhase(s, landing.PhaseServing)
	case landing.ConditionLeaving:
		return withPhase(s, landing.PhaseDraining)
	case landing.ConditionUnspecified:
		return s
	}
	return s
}

// withPhase returns a copy with this phase of the target. A different phase raises the target's change number.
func withPhase(s Snapshot, p landing.Phase) Snapshot {
	t := s.Target()
	if t.Phase() == p {
		return s
	}
	return s.WithTarget(t.WithPhase(p).WithChange(t.Change() + 1))
}

// withWeight returns a copy with this weight of the target and a higher change number. A small difference is
// ignored, so that the roster does not change with each measurement.
func withWeight(s Snapshot, requestsPerSecond uint32) Snapshot {
	t := s.Target()
	if !weight.IsSignificantChange(t.Weight(), requestsPerSecond) {
		return s
	}
	return s.WithTarget(t.WithWeight(requestsPerSecond).WithChange(t.Change() + 1))
}

// applyKeyring puts a newer keyring in force. A keyring with the same or a lower serial number is ignored.
func (t *ControlThread) applyKeyring(s Snapshot, keyring landing.Keyring) Snapshot {
	if keyring.Serial() <= s.Keyring().Serial() {
		return s
	}
	t.telemetry.Log().Info("keyring in force", "serial", keyring.Serial(), "signing", keyring.Signing())
	return s.WithKeyring(keyring)
}
