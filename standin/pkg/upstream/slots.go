package upstream

import (
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// slots limits the requests that run at once. In cold start there are few.
type slots struct {
	mu      sync.Mutex
	warm    uint32
	cold    uint32
	warmup  time.Duration
	start   time.Time
	running uint32
	arrived uint32
	excess  uint32
}

func newSlots(s landing.UpstreamSettings, now time.Time) *slots {
	return &slots{warm: s.Slots(), cold: s.Cold(), warmup: s.Warmup(), start: now}
}

// fallBack begins another cold start.
func (s *slots) fallBack(cold uint32, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = cold
	s.start = now
}

// enter takes a slot; false means that the request is shed.
func (s *slots) enter(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived = s.running + 1
	limit := s.limit(now)
	if s.arrived > limit {
		s.excess = max(s.excess, s.arrived-limit)
		return false
	}
	s.running++
	return true
}

func (s *slots) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// limit grows evenly from cold to warm during the warm-up.
func (s *slots) limit(now time.Time) uint32 {
	passed := now.Sub(s.start)
	if passed >= s.warmup {
		return s.warm
	}
	gain := float64(s.warm-s.cold) * float64(passed) / float64(s.warmup)
	return s.cold + uint32(gain)
}

func (s *slots) overshoot() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess
}
