package backlog

import (
	"slices"
	"time"
)

const (
	// shareDivisor sets the minimum share of a priority level that contends with higher ones: one of
	// shareDivisor starts (docs/design/priorities.md).
	shareDivisor = 10
	// dueAfter is the number of starts of other levels after which a level is due.
	dueAfter = shareDivisor - 1
	// maxPassed bounds the starts that a level with waiting packets is owed, so that it gets at most two starts
	// in a row by its share after several levels were due at once.
	maxPassed = 2 * dueAfter
	// maxLevels bounds the entries of the account. Beside the highest level at most nine others can each have
	// a tenth of the starts. The lowest levels beyond these share the last entry.
	maxLevels = shareDivisor
	// contentionWindow is the time for which a level contends after a packet of it was last refused, expired
	// or was served by its share. It is long enough for levels with one request in several seconds. A level
	// of which no packet was seen for this time can be dropped from the account.
	contentionWindow = 10 * time.Second
)

// Shares is the account of the starts (requests that begin) that priority levels are owed. It is immutable.
// The zero value has no levels.
type Shares struct {
	// levels are in the order of their priorities, the highest first. An entry stands for the packets with its
	// priority and with lower ones up to that of the next entry.
	levels [maxLevels]level
	count  int
}

// level is the account of one priority.
//
// A level contends from the time at which a packet of it is refused or expires until one of its packets is
// served while no packet of a higher priority waits, which shows that higher levels leave slots free. Only
// levels that contend can be due. If every waiting level could, its packets would also go first in short bursts
// while the slots suffice on average (7.5% of the requests were later than with strict priority, at a demand of
// three quarters of two slots).
type level struct {
	priority uint32
	// passed is the number of starts of other levels, while this one had waiting packets or contended, for
	// which it has not had its share. In a level that contends, starts count also while none of its packets
	// waits, up to dueAfter: if ten starts take longer than a packet may wait, all of its packets would
	// otherwise be refused.
	passed int
	// seenAt is the last time at which a packet of the level waited or was refused.
	seenAt time.Time
	// contendedAt is the last time at which a packet of the level was refused, expired or was served by the
	// share; the zero time when the level has stopped contending.
	contendedAt time.Time
}

func (l level) contends(now time.Time) bool {
	return now.Sub(l.contendedAt) <= contentionWindow
}

// WithWaiting returns the account in which a packet of this priority is seen waiting now. A level without an
// entry gets one. When there are more than maxLevels levels, the two lowest share an entry.
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

// WithRefused returns the account after a packet of this priority was refused or has expired. Its level then
// contends.
func (s Shares) WithRefused(priority uint32, now time.Time) Shares {
	s = s.WithWaiting(priority, now)
	s.levels[s.find(priority)].contendedAt = now
	return s
}

// WithStart returns the account after a request of this priority has begun. ByShare reports whether it went
// before waiting packets of a higher priority, and isWaiting which entries had waiting packets before the start.
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

// next returns the entry that is served next, out of those that isWaiting reports to have waiting packets:
// the one that is due and has been passed most often, or else the one with the highest priority. It returns -1
// when no packet waits.
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

// isRecorded reports whether this priority has an entry of its own that was seen at this time.
func (s *Shares) isRecorded(priority uint32, now time.Time) bool {
	i := s.find(priority)
	return i >= 0 && s.levels[i].priority == priority && s.levels[i].seenAt.Equal(now)
}

// find returns the index of the entry that stands for packets of this priority; -1 when there is none.
func (s *Shares) find(priority uint32) int {
	for i := s.count - 1; i >= 0; i-- {
		if s.levels[i].priority <= priority {
			return i
		}
	}
	return -1
}

// withoutUnseen returns the account without the levels that have not been seen for contentionWindow.
func (s Shares) withoutUnseen(now time.Time) Shares {
	kept := slices.DeleteFunc(s.levels[:s.count], func(l level) bool { return now.Sub(l.seenAt) > contentionWindow })
	s.count = len(kept)
	return s
}
