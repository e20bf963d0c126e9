package platform

import (
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// ErrOlderState is returned for a response that shows an object in an older state than a response before. The response is not
// followed. A platform that goes on like this has lost writes that it had acknowledged.
var ErrOlderState = trace.ConnectionProblem(nil, "the platform shows an older state than before")

// confirmTime is the time after which older states count as lost writes, if there was no other response in between. A platform
// that fails may send single responses that are garbage.
const confirmTime = 5 * time.Second

// seenVersions holds the highest version of each object that the client has seen. Its methods may be called from several
// goroutines.
type seenVersions struct {
	// mu guards all fields.
	mu     sync.Mutex
	byName map[string]uint64
	// olderSince holds the time of the first of the last responses that have shown an older state, by name of the object.
	olderSince map[string]time.Time
	// err is the reason why the platform is not followed any more; nil before that.
	err error
}

func newSeenVersions() *seenVersions {
	return &seenVersions{byName: map[string]uint64{}, olderSince: map[string]time.Time{}}
}

// before returns the highest version of the object that has been seen, from which the response to a call that begins now must
// not go back. It returns an error if the platform is not followed any more.
func (s *seenVersions) before(name string) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name], s.err
}

// note records the version of the object in a response that came now; 0 if it does not exist. Before is the version that had
// been seen when the call began. note returns an error if the response shows an older state.
func (s *seenVersions) note(name string, before, version uint64, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byName[name] = max(s.byName[name], version)
	if version >= before {
		delete(s.olderSince, name)
		return s.err
	}
	err := trace.Wrap(ErrOlderState, "object %s has version %d after version %d", name, version, before)
	since, isRepeated := s.olderSince[name]
	switch {
	case !isRepeated:
		s.olderSince[name] = now
	case now.Sub(since) >= confirmTime && s.err == nil:
		s.err = err
	}
	return err
}
