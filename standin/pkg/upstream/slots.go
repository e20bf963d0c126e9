package upstream

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// slots limits the number of requests that run in parallel. The limit is lower during a cold start.
type slots struct {
	// mu guards all fields.
	mu sync.Mutex
	// The limit rises from coldLimit, at the time coldStartedAt, to warmLimit during the warm-up.
	warmLimit      uint32
	coldLimit      uint32
	warmupDuration time.Duration
	coldStartedAt  time.Time
	// running is the number of slots in use.
	running uint32
	// requested is the number of slots that were needed at the newest request: those in use and one for the request.
	requested uint32
	// maxExcess is the largest number by which requested has exceeded the limit.
	maxExcess uint32
}

func newSlots(s landing.UpstreamSettings, now time.Time) *slots {
	return &slots{warmLimit: s.Slots(), coldLimit: s.Cold(), warmupDuration: s.Warmup(), coldStartedAt: now}
}

// restartColdStart begins another cold start, with coldLimit as the limit at its beginning.
func (s *slots) restartColdStart(coldLimit uint32, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldLimit = coldLimit
	s.coldStartedAt = now
}

// acquire takes a slot. It returns false if all slots are in use; the request must then be shed, that is refused.
func (s *slots) acquire(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requested = s.running + 1
	limit := s.limit(now)
	if s.requested > limit {
		s.maxExcess = max(s.maxExcess, s.requested-limit)
		return false
	}
	s.running++
	return true
}

// release returns a slot that acquire has taken.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// limit returns the number of slots at this time, which increases linearly from coldLimit to warmLimit during the warm-up.
// The caller must hold mu.
func (s *slots) limit(now time.Time) uint32 {
	elapsed := now.Sub(s.coldStartedAt)
	if elapsed >= s.warmupDuration {
		return s.warmLimit
	}
	increase := float64(s.warmLimit-s.coldLimit) * float64(elapsed) / float64(s.warmupDuration)
	return s.coldLimit + uint32(increase)
}

// maxExcessRequests returns the largest number by which the slots in use and one for a new request exceeded the limit.
func (s *slots) maxExcessRequests() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxExcess
}
