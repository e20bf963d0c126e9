// Package keeper implements the control thread of a balancer. The control thread owns all control state. It handles
// events one after another and publishes the resulting state as an immutable snapshot.
//
// The control state consists of the lists that operators edit (services, customers and plans), the roster of the region
// (its targets, that is upstreams, and its balancers), the exclusion marks that take zones or upstreams out of service,
// the keyring, and the state from which the roster is decided. The root of the lists names the chunks that they consist
// of.
package keeper

import (
	"sync/atomic"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/membership"
)

const (
	// eventBuffer is the number of events that can wait before Post blocks.
	eventBuffer = 256
	// taskBuffer exceeds the number of tasks that can be pending at once, which is one read or write of the roster and one
	// of the lease. The control thread therefore never blocks on a full channel.
	taskBuffer = 8
)

// ControlThread is the only thread that changes the control state of a balancer. Other goroutines send it events and
// read the snapshots that it publishes. Its exported methods may be called from several goroutines.
type ControlThread struct {
	telemetry common.Telemetry
	thread    *common.ControlThread
	tasks     chan landing.MembershipTask
	snapshot  atomic.Pointer[Snapshot]
}

// New returns a control thread with the initial membership state. The thread handles no events before Start is called.
func New(telemetry common.Telemetry, initial landing.MembershipState) *ControlThread {
	control := &ControlThread{
		telemetry: telemetry,
		thread:    common.NewControlThread(eventBuffer),
		tasks:     make(chan landing.MembershipTask, taskBuffer),
	}
	s := NewSnapshot(initial)
	control.snapshot.Store(&s)
	return control
}

// Start starts the thread.
func (c *ControlThread) Start() {
	c.thread.Start()
}

// Stop stops the thread and waits until it has ended. Events that have not been handled are dropped.
func (c *ControlThread) Stop() {
	c.thread.Stop()
}

// Snapshot returns the newest snapshot.
func (c *ControlThread) Snapshot() Snapshot {
	return *c.snapshot.Load()
}

// Tasks returns the channel of reads and writes that another goroutine must perform at the platform. The result of each
// task must be posted as an event.
func (c *ControlThread) Tasks() <-chan landing.MembershipTask {
	return c.tasks
}

// Post queues an event for the control thread. It blocks while the queue is full.
func (c *ControlThread) Post(event landing.BalancerEvent) {
	c.thread.Post(func() { c.handle(event) })
}

// handle applies an event to the current snapshot and publishes the result.
func (c *ControlThread) handle(event landing.BalancerEvent) {
	s := c.Snapshot()
	switch event := event.(type) {
	case landing.HeartbeatReceived:
		s = c.handleMembership(s, event)
	case landing.PeerStateReceived:
		s = c.handleMembership(s, event)
	case landing.RosterRead:
		s = c.handleMembership(s, event)
	case landing.RosterWriteEnded:
		s = c.handleMembership(s, event)
	case landing.Tick:
		s = c.handleMembership(s, event)
	case landing.LeaseRead:
		s = c.handleMembership(s, event)
	case landing.LeaseWriteEnded:
		s = c.handleMembership(s, event)
	case landing.ListsLoaded:
		s = c.applyLists(s, event)
	case landing.ExclusionMarksReceived:
		s = c.mergeMarks(s, event)
	case landing.KeyringReceived:
		s = c.applyKeyring(s, event)
	}
	c.snapshot.Store(&s)
}

// handleMembership applies an event to the membership state and runs the tasks that result.
func (c *ControlThread) handleMembership(s Snapshot, event landing.MembershipEvent) Snapshot {
	state, tasks := membership.Handle(s.Membership(), event)
	s = s.WithMembership(state)
	for _, task := range tasks {
		s = c.runTask(s, task)
	}
	return s
}

// runTask puts a new roster in force, or queues a read or write for the goroutine that calls the platform.
func (c *ControlThread) runTask(s Snapshot, task landing.MembershipTask) Snapshot {
	switch task := task.(type) {
	case landing.PublishRoster:
		c.telemetry.Log().Info("roster in force", "serial", task.Roster().Serial(), "targets", task.Roster().TargetsLen(), "balancers", task.Roster().MembersLen())
		return s.WithRoster(task.Roster())
	case landing.WriteRoster:
		c.tasks <- task
	case landing.ReadRoster:
		c.tasks <- task
	case landing.WriteLease:
		c.tasks <- task
	case landing.ReadLease:
		c.tasks <- task
	}
	return s
}

// applyLists puts newer lists in force. Lists whose root has the same or a lower serial number are ignored, so that an
// accepted change is never reverted by a source that lags.
func (c *ControlThread) applyLists(s Snapshot, loaded landing.ListsLoaded) Snapshot {
	if loaded.Root().Serial() <= s.Root().Serial() {
		return s
	}
	c.telemetry.Log().Info("lists in force", "serial", loaded.Root().Serial(), "author", loaded.Root().Author())
	return s.
		WithRoot(loaded.Root()).
		WithView(s.View().WithLists(loaded.Lists()))
}

// mergeMarks merges exclusion marks from the platform or a peer into those in force.
func (c *ControlThread) mergeMarks(s Snapshot, received landing.ExclusionMarksReceived) Snapshot {
	current := s.View().Marks()
	merged := mark.Merge(current, received.Marks())
	if mark.Digest(merged) == mark.Digest(current) {
		return s
	}
	c.telemetry.Log().Info("marks in force", "digest", mark.Digest(merged))
	return s.WithView(s.View().WithMarks(merged))
}

// applyKeyring puts a newer keyring in force. A keyring with the same or a lower serial number is ignored.
func (c *ControlThread) applyKeyring(s Snapshot, received landing.KeyringReceived) Snapshot {
	if received.Keyring().Serial() <= s.Keyring().Serial() {
		return s
	}
	c.telemetry.Log().Info("keyring in force", "serial", received.Keyring().Serial(), "signing", received.Keyring().Signing())
	return s.WithKeyring(received.Keyring())
}
