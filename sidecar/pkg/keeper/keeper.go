// Package keeper is the control thread of a sidecar. It owns all control state: it takes
// events in order and publishes an immutable snapshot.
package keeper

import (
	"sync/atomic"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/weight"
)

const signalBuffer = 64

// ControlThread is the control thread.
type ControlThread struct {
	common   common.Telemetry
	thread   *common.ControlThread
	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{}
}

// New returns a keeper for this target.
func New(c common.Telemetry, t landing.Target) *ControlThread {
	k := &ControlThread{
		common:  c,
		thread:  common.NewControlThread(signalBuffer),
		changed: make(chan struct{}, 1),
	}
	s := NewSnapshot(t)
	k.snapshot.Store(&s)
	return k
}

// Start starts the control thread.
func (k *ControlThread) Start() {
	k.thread.Start()
}

// Stop stops the control thread and waits for its end.
func (k *ControlThread) Stop() {
	k.thread.Stop()
}

// Snapshot returns the newest snapshot.
func (k *ControlThread) Snapshot() Snapshot {
	return *k.snapshot.Load()
}

// Changed returns a channel that receives when the target has changed and must be announced.
func (k *ControlThread) Changed() <-chan struct{} {
	return k.changed
}

// Post hands an event to the control thread. It waits while the thread is behind.
func (k *ControlThread) Post(s landing.SidecarEvent) {
	k.thread.Post(func() { k.handle(s) })
}

func (k *ControlThread) handle(signal landing.SidecarEvent) {
	s := k.Snapshot()
	before := s.Target()
	switch signal := signal.(type) {
	case landing.HeartbeatAnswered:
		s = k.answer(s, signal.Update())
	case landing.ListsLoaded:
		s = k.adopt(s, signal)
	case landing.AnnouncementReceived:
		s = k.announce(s, signal.Announcement())
	case landing.StopRequested:
		s = withPhase(s, landing.PhaseDraining)
	case landing.WeightMeasured:
		s = withWeight(s, signal.RequestsPerSecond())
	}
	k.snapshot.Store(&s)
	if s.Target() != before {
		k.noteChange()
	}
}

func (k *ControlThread) noteChange() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *ControlThread) answer(s Snapshot, n landing.StateUpdate) Snapshot {
	if n.BalancersLen() > 0 {
		s = s.WithBalancers(n.Balancers())
	}
	if n.TargetWeightsLen() > 0 {
		s = s.WithWeights(n.TargetWeights(), int(n.WeightIndex()))
	}
	s = s.WithRosterSerial(max(s.RosterSerial(), n.Digest().Roster()))
	if n.ChangeToExceed() >= s.Target().Change() && n.ChangeToExceed() > 0 {
		s = s.WithTarget(s.Target().WithChange(n.ChangeToExceed() + 1))
	}
	s = k.key(s, n.Keyring())
	merged := mark.Merge(s.Marks(), n.Marks())
	if mark.Digest(merged) != mark.Digest(s.Marks()) {
		s = s.WithMarks(merged)
		k.common.Log().Info("marks in force", "digest", mark.Digest(merged), "out", s.IsExcluded())
	}
	return s
}

func (k *ControlThread) adopt(s Snapshot, a landing.ListsLoaded) Snapshot {
	if a.Root().Serial() <= s.Root().Serial() {
		return s
	}
	k.common.Log().Info("lists in force", "serial", a.Root().Serial())
	return s.WithLists(a.Root(), a.Lists())
}

func (k *ControlThread) announce(s Snapshot, a landing.UpstreamAnnouncement) Snapshot {
	k.common.Log().Info("upstream announced", "upstream", a.Instance(), "state", a.State().String())
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

func withPhase(s Snapshot, p landing.Phase) Snapshot {
	t := s.Target()
	if t.Phase() == p {
		return s
	}
	return s.WithTarget(t.WithPhase(p).WithChange(t.Change() + 1))
}

// withWeight announces another weight only when it differs much, so that rosters stay the same.
func withWeight(s Snapshot, measured uint32) Snapshot {
	t := s.Target()
	if !weight.IsSignificantChange(t.Weight(), measured) {
		return s
	}
	return s.WithTarget(t.WithWeight(measured).WithChange(t.Change() + 1))
}

// key takes a newer keyring; an older one is refused.
func (k *ControlThread) key(s Snapshot, r landing.Keyring) Snapshot {
	if r.Serial() <= s.Keyring().Serial() {
		return s
	}
	k.common.Log().Info("keyring in force", "serial", r.Serial(), "signing", r.Signing())
	return s.WithKeyring(r)
}
