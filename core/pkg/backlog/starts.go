package backlog

import (
	"time"
)

const (
	// startsWindow is the time over which the utilization is measured. In the replay, a window of 0.5 s
	// refuses too many packets when all callers return after an outage, and one of 2 s lets too many late
	// packets wait during an overload that lasts.
	startsWindow = 800 * time.Millisecond
	// startsBuckets is the number of parts into which the window is divided.
	startsBuckets = 8
	bucketTime    = startsWindow / startsBuckets
)

// Starts counts the requests of listeners with a response aim that began within startsWindow, timely and
// late ones, since both use slots. If only the timely ones counted, more late packets would wait, and at
// twice the capacity 1 to 2% fewer responses would be timely. Starts is immutable. The zero value has no
// requests.
type Starts struct {
	// counts holds the number of requests for each of the last buckets, by bucket number modulo
	// startsBuckets. The last bucket has the number current.
	counts  [startsBuckets]uint32
	current int64
}

// With returns the counts with one more request that begins now.
func (s Starts) With(now time.Time) Starts {
	s = s.at(now)
	s.counts[s.current%startsBuckets]++
	return s
}

// Utilization returns the part of the slots that the counted requests have used, when each takes
// requestTime.
func (s Starts) Utilization(slots uint32, requestTime time.Duration, now time.Time) float64 {
	if slots == 0 {
		return 0
	}
	total := uint32(0)
	for _, count := range s.at(now).counts {
		total += count
	}
	return float64(total) * requestTime.Seconds() / (float64(slots) * startsWindow.Seconds())
}

// at returns the counts without the requests that began before the window that ends now.
func (s Starts) at(now time.Time) Starts {
	number := now.UnixNano() / int64(bucketTime)
	for i := max(s.current+1, number-startsBuckets+1); i <= number; i++ {
		s.counts[i%startsBuckets] = 0
	}
	s.current = max(s.current, number)
	return s
}
