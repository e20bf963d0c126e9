package store

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
)

// runTasks performs the tasks of the control thread, one after another.
func (s *PlatformSync) runTasks() {
	for {
		select {
		case <-s.stopper.C():
			return
		case task := <-s.control.Tasks():
			s.runTask(task)
		}
	}
}

func (s *PlatformSync) runTask(task landing.MembershipTask) {
	switch task := task.(type) {
	case landing.WriteRoster:
		s.writeRoster(task)
	case landing.ReadRoster:
		s.reread(object.RosterName(s.region), s.postRoster, landing.RosterRead{})
	case landing.WriteLease:
		s.writeLease(task)
	case landing.ReadLease:
		s.reread(object.LeaseName(s.region), s.postLease, landing.LeaseRead{})
	case landing.PublishRoster:
	}
}

// writeRoster writes the roster on the condition that its version at the platform is the expected one, and posts the
// result.
func (s *PlatformSync) writeRoster(task landing.WriteRoster) {
	result := landing.RosterWriteEnded{}
	o, err := s.client.Put(s.ctx, object.RosterName(s.region), task.ExpectedVersion(), object.EncodeRoster(task.Roster()))
	if err == nil {
		result = result.WithConfirmed(true).WithRoster(task.Roster()).WithRosterVersion(o.Version())
	} else {
		s.telemetry.Counters().Counter("retried.write").Inc(1)
	}
	s.control.Post(result.WithEndedAt(time.Now()))
}

// writeLease writes the lease on the condition that its version at the platform is the expected one, and posts the
// result.
func (s *PlatformSync) writeLease(task landing.WriteLease) {
	result := landing.LeaseWriteEnded{}
	o, err := s.client.Put(s.ctx, object.LeaseName(s.region), task.ExpectedVersion(), object.EncodeLease(task.Lease()))
	if err == nil {
		result = result.WithConfirmed(true).WithLease(task.Lease()).WithLeaseVersion(o.Version())
	} else {
		s.telemetry.Counters().Counter("retried.write").Inc(1)
	}
	s.control.Post(result.WithEndedAt(time.Now()))
}

// reread reads an object after a write that was not confirmed, until the platform answers. The write may have taken
// effect although its response was lost. When the object does not exist, reread posts the event absent.
func (s *PlatformSync) reread(name string, handle func(platform.Object) error, absent landing.BalancerEvent) {
	for s.ctx.Err() == nil {
		o, err := s.client.Get(s.ctx, name)
		if trace.IsNotFound(err) {
			s.control.Post(absent)
			return
		}
		if err == nil && handle(o) == nil || s.client.Err() != nil {
			return
		}
		s.telemetry.Counters().Counter("retried.read").Inc(1)
		s.pause(pauseAfterFailure)
	}
}
