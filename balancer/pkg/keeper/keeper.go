// Package keeper is the control thread of a balancer. It owns all control state: it takes
// events in order and publishes an immutable snapshot.
package keeper

import (
	"sync/atomic"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/membership"
)

const (
	noticeBuffer = 256
	// taskBuffer holds every task that can be open at once: a write or read of roster and lease each, and spares.
	taskBuffer = 8
)

// ControlThread is the control thread.
type ControlThread struct {
	common   common.Telemetry
	thread   *common.ControlThread
	tasks    chan landing.MembershipTask
	snapshot atomic.Pointer[Snapshot]
}

// New returns a keeper that starts from this state. Start must be called.
func New(c common.Telemetry, w landing.MembershipState) *ControlThread {
	k := &ControlThread{
		common: c,
		thread: common.NewControlThread(noticeBuffer),
		tasks:  make(chan landing.MembershipTask, taskBuffer),
	}
	s := NewSnapshot(w)
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

// Tasks returns the channel of tasks that another goroutine must carry out.
func (k *ControlThread) Tasks() <-chan landing.MembershipTask {
	return k.tasks
}

// Post hands an event to the control thread. It waits while the thread is behind.
func (k *ControlThread) Post(n landing.BalancerEvent) {
	k.thread.Post(func() { k.handle(n) })
}

func (k *ControlThread) handle(n landing.BalancerEvent) {
	s := k.Snapshot()
	switch n := n.(type) {
	case landing.HeartbeatReceived:
		s = k.member(s, n)
	case landing.PeerStateReceived:
		s = k.member(s, n)
	case landing.RosterRead:
		s = k.member(s, n)
	case landing.RosterWriteEnded:
		s = k.member(s, n)
	case landing.Tick:
		s = k.member(s, n)
	case landing.LeaseRead:
		s = k.member(s, n)
	case landing.LeaseWriteEnded:
		s = k.member(s, n)
	case landing.ListsLoaded:
		s = k.adopt(s, n)
	case landing.ExclusionMarksReceived:
		s = k.mark(s, n)
	case landing.KeyringReceived:
		s = k.key(s, n)
	}
	k.snapshot.Store(&s)
}

// member hands an event to the decisions about the membership.
func (k *ControlThread) member(s Snapshot, h landing.MembershipEvent) Snapshot {
	w, tasks := membership.Handle(s.Membership(), h)
	s = s.WithMembership(w)
	for _, t := range tasks {
		s = k.carryOut(s, t)
	}
	return s
}

func (k *ControlThread) carryOut(s Snapshot, t landing.MembershipTask) Snapshot {
	switch t := t.(type) {
	case landing.PublishRoster:
		k.common.Log().Info("roster in force", "serial", t.Roster().Serial(), "targets", t.Roster().TargetsLen(), "balancers", t.Roster().MembersLen())
		return s.WithRoster(t.Roster())
	case landing.WriteRoster:
		k.tasks <- t
	case landing.ReadRoster:
		k.tasks <- t
	case landing.WriteLease:
		k.tasks <- t
	case landing.ReadLease:
		k.tasks <- t
	}
	return s
}

// adopt takes newer lists; older ones are refused, so that an accepted change never reverts.
func (k *ControlThread) adopt(s Snapshot, a landing.ListsLoaded) Snapshot {
	if a.Root().Serial() <= s.Root().Serial() {
		return s
	}
	k.common.Log().Info("lists in force", "serial", a.Root().Serial(), "author", a.Root().Author())
	return s.
		WithRoot(a.Root()).
		WithView(s.View().WithLists(a.Lists()))
}

func (k *ControlThread) mark(s Snapshot, m landing.ExclusionMarksReceived) Snapshot {
	present := s.View().Marks()
	merged := mark.Merge(present, m.Marks())
	if mark.Digest(merged) == mark.Digest(present) {
		return s
	}
	k.common.Log().Info("marks in force", "digest", mark.Digest(merged))
	return s.WithView(s.View().WithMarks(merged))
}

// key takes a newer keyring; an older one is refused.
func (k *ControlThread) key(s Snapshot, n landing.KeyringReceived) Snapshot {
	if n.Keyring().Serial() <= s.Keyring().Serial() {
		return s
	}
	k.common.Log().Info("keyring in force", "serial", n.Keyring().Serial(), "signing", n.Keyring().Signing())
	return s.WithKeyring(n.Keyring())
}
