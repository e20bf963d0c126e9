package store

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
)

func (s *PlatformSync) runTasks() {
	for {
		select {
		case <-s.done.C():
			return
		case t := <-s.keeper.Tasks():
			s.carryOut(t)
		}
	}
}

func (s *PlatformSync) carryOut(t landing.MembershipTask) {
	switch t := t.(type) {
	case landing.WriteRoster:
		s.write(t)
	case landing.ReadRoster:
		s.reread(object.RosterName(s.region), s.takeRoster, landing.RosterRead{})
	case landing.WriteLease:
		s.renew(t)
	case landing.ReadLease:
		s.reread(object.LeaseName(s.region), s.takeLease, landing.LeaseRead{})
	case landing.PublishRoster:
	}
}

func (s *PlatformSync) write(t landing.WriteRoster) {
	wrote := landing.RosterWriteEnded{}
	o, err := s.client.Put(s.ctx, object.RosterName(s.region), t.ExpectedVersion(), object.EncodeRoster(t.Roster()))
	if err == nil {
		wrote = wrote.WithConfirmed(true).WithRoster(t.Roster()).WithRosterVersion(o.Version())
	} else {
		s.common.Counters().Counter("retried.write").Inc(1)
	}
	s.keeper.Post(wrote.WithEndedAt(time.Now()))
}

func (s *PlatformSync) renew(t landing.WriteLease) {
	renewed := landing.LeaseWriteEnded{}
	o, err := s.client.Put(s.ctx, object.LeaseName(s.region), t.ExpectedVersion(), object.EncodeLease(t.Lease()))
	if err == nil {
		renewed = renewed.WithConfirmed(true).WithLease(t.Lease()).WithLeaseVersion(o.Version())
	} else {
		s.common.Counters().Counter("retried.write").Inc(1)
	}
	s.keeper.Post(renewed.WithEndedAt(time.Now()))
}

// reread reads an object until the platform answers, since a write whose answer was lost may have
// taken effect. Absent is posted when there is no such object.
func (s *PlatformSync) reread(name string, take func(platform.Object) error, absent landing.BalancerEvent) {
	for s.ctx.Err() == nil {
		o, err := s.client.Get(s.ctx, name)
		if trace.IsNotFound(err) {
			s.keeper.Post(absent)
			return
		}
		if err == nil && take(o) == nil {
			return
		}
		s.common.Counters().Counter("retried.read").Inc(1)
		s.pause(pauseAfterFailure)
	}
}
