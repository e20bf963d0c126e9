package backlog

import (
	"slices"
	"time"
)

const (
	// shareDivisor sets the minimum share of a priority level that competes with higher ones: one start in
	// shareDivisor.
	shareDivisor = 10
	// dueAfter is the number of starts of other levels after which a level is due.
	dueAfter = shareDivisor - 1
	// maxPassed bounds what a level is owed after several levels were due at once. Its share gives it at most
	// two starts in a row.
	maxPassed = 2 * dueAfter
	// maxLevels bounds the levels of the account. More than the highest and nine others cannot each have a
	// tenth: levels beyond share the entry of the last one, by priority.
	maxLevels = shareDivisor
	// contentionWindow is the time after which a level no longer contends, unless a packet of it is refused,
	// waits in vain or is served by its share. It covers levels with one request in several seconds.
	contentionWindow = 10 * time.Second
)

// Shares is the account of recent starts that priority levels are owed. It is immutable. The zero value
// has no levels.
type Shares struct {
	// levels are in the order of their priorities. An entry counts the packets with its priority and with
	// lower ones up to the next entry.
	levels [maxLevels]level
	count  int
}

// level is the account of one priority.
//
// A level contends from the time at which a packet of it is refused or waits in vain until one is served
// although no share is due, which shows that higher levels leave slots free. Only levels that contend are due:
// otherwise bursts below the slots would let packets of lower levels go first (7.5% of the requests were later
// at three quarters of two slots).
type level struct {
	priority uint32
	// passed is the number of starts of other levels since the last start of this one, as far as it waited
	// or contended. It also counts while none of its packets waits: otherwise a level would be refused forever
	// when ten starts take longer than its packets may wait.
	passed int
	// seenAt is the last time at which a packet of the level waited or was refused.
	seenAt time.Time
	// contendedAt is the last time at which a packet of the level was refused, waited in vain or was served by
	// the share; the zero time when the level does not contend.
	contendedAt time.Time
}

// contends reports whether the level contends.
func (l level) contends(now time.Time) bool {
	return now.Sub(l.contendedAt) <= contentionWindow
}

// WithWaiting returns the account after a packet of this priority has waited.
func (s Shares) WithWaiting(priority uint32, now time.Time) Shares {
	if i := s.find(priority); i >= 0 && s.levels[i].priority == priority {
		s.levels[i].seenAt = now
		return s
	}
	s = s.withoutUnseen(now)
	i := s.find(priority) + 1
	if i == maxLevels {
		s.levels[i-1].seenAt = now
		return s
	}
	var dropped level
	if s.count == maxLevels {
		dropped = s.levels[maxLevels-1]
	} else {
		s.count++
	}
	copy(s.levels[i+1:], s.levels[i:maxLevels-1])
	s.levels[i] = level{priority: priority, seenAt: now}
	last := &s.levels[maxLevels-1]
	last.passed = max(last.passed, dropped.passed)
	if dropped.contendedAt.After(last.contendedAt) {
		last.contendedAt = dropped.contendedAt
	}
	return s
}

// WithRefused returns the account after a packet of this priority was refused or waited in vain.
func (s Shares) WithRefused(priority uint32, now time.Time) Shares {
	s = s.WithWaiting(priority, now)
	s.levels[s.find(priority)].contendedAt = now
	return s
}

// WithStart returns the account after a request of this priority has begun, by the share of its level or by
// priority. IsWaiting reports which entries had waiting packets before.
func (s Shares) WithStart(priority uint32, byShare bool, isWaiting *[maxLevels]bool, now time.Time) Shares {
	started := s.find(priority)
	for i := range s.count {
		l := &s.levels[i]
		switch {
		case i == started:
			l.passed = max(l.passed-dueAfter, 0)
			l.contendedAt = time.Time{}
			if byShare {
				l.contendedAt = now
			}
		case isWaiting[i]:
			l.passed = min(l.passed+1, maxPassed)
		case l.contends(now):
			l.passed = min(l.passed+1, dueAfter)
		}
	}
	return s
}

// next returns the entry that is served next, when this reports which entries have waiting packets: the one
// that is due and has been passed most often, or else the one with the highest priority. It returns -1 when
// none has.
func (s *Shares) next(isWaiting *[maxLevels]bool, now time.Time) int {
	best := -1
	for i := range s.count {
		if !isWaiting[i] {
			continue
		}
		l := s.levels[i]
		if best < 0 || l.contends(now) && l.passed >= dueAfter && l.passed > s.levels[best].passed {
			best = i
		}
	}
	return best
}

// isRecorded reports whether a packet of this priority has been recorded as waiting now.
func (s *Shares) isRecorded(priority uint32, now time.Time) bool {
	i := s.find(priority)
	return i >= 0 && s.levels[i].priority == priority && s.levels[i].seenAt.Equal(now)
}

// find returns the entry that counts packets of this priority; -1 when there is none.
func (s *Shares) find(priority uint32) int {
	for i := s.count - 1; i >= 0; i-- {
		if s.levels[i].priority <= priority {
			return i
		}
	}
	return -1
}

// withoutUnseen returns the account without the levels that have not been seen lately.
func (s Shares) withoutUnseen(now time.Time) Shares {
	kept := slices.DeleteFunc(s.levels[:s.count], func(l level) bool { return now.Sub(l.seenAt) > contentionWindow })
	s.count = len(kept)
	return s
}
