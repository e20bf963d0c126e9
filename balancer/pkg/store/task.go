package store

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
)

func (s *Store) runTasks() {
	for {
		select {
		case <-s.done.C():
			return
		case t := <-s.keeper.Tasks():
			s.carryOut(t)
		}
	}
}

func (s *Store) carryOut(t landing.Task) {
	switch t := t.(type) {
	case landing.Write:
		s.write(t)
	case landing.Reread:
		s.reread(object.Roster(s.region), s.takeRoster, landing.Read{})
	case landing.Renew:
		s.renew(t)
	case landing.Recheck:
		s.reread(object.Lease(s.region), s.takeLease, landing.Leased{})
	case landing.Publish:
	}
}

func (s *Store) write(t landing.Write) {
	wrote := landing.Wrote{}
	o, err := s.client.Put(s.ctx, object.Roster(s.region), t.Version(), object.EncodeRoster(t.Roster()))
	if err == nil {
		wrote = wrote.WithConfirmed(true).WithRoster(t.Roster()).WithVersion(o.Version())
	} else {
		s.common.Counters().Counter("retried.write").Inc(1)
	}
	s.keeper.Post(wrote.WithNow(time.Now()))
}

func (s *Store) renew(t landing.Renew) {
	renewed := landing.Renewed{}
	o, err := s.client.Put(s.ctx, object.Lease(s.region), t.Version(), object.EncodeLease(t.Lease()))
	if err == nil {
		renewed = renewed.WithConfirmed(true).WithLease(t.Lease()).WithVersion(o.Version())
	} else {
		s.common.Counters().Counter("retried.write").Inc(1)
	}
	s.keeper.Post(renewed.WithNow(time.Now()))
}

// reread reads an object until the platform answers, since a write whose answer was lost may have
// taken effect. Absent is posted when there is no such object.
func (s *Store) reread(name string, take func(platform.Object) error, absent landing.Notice) {
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
