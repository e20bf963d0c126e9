package platform

import (
	"sync"

	"github.com/gravitational/trace"
)

// ErrOlderState is returned by all calls once the platform has shown an object in an older state than before: it has lost
// writes that it had acknowledged, and what it stores now must not be followed.
var ErrOlderState = trace.BadParameter("the platform has lost acknowledged writes")

// seenVersions holds the highest version of each object that the client has seen. Its methods may be called from several
// goroutines.
type seenVersions struct {
	// mu guards all fields.
	mu     sync.Mutex
	byName map[string]uint64
	// err is the first contradiction; nil before it.
	err error
}

// before returns the highest version of the object that has been seen, from which the response to a call that begins now must
// not go back. It returns an error if the platform has gone back before.
func (s *seenVersions) before(name string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name], s.err
}

// note records the version of the object in a response; 0 if it does not exist. Before is the version that had been seen when
// the call began. note returns an error if the platform has gone back.
func (s *seenVersions) note(name string, before, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < before && s.err == nil {
		s.err = trace.Wrap(ErrOlderState, "object %s has version %d after version %d", name, version, before)
	}
	if s.byName == nil {
		s.byName = map[string]uint64{}
	}
	s.byName[name] = max(s.byName[name], version)
	return s.err
}
