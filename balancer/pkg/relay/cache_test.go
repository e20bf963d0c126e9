package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

var (
	now     = time.Unix(1000, 0)
	key     = landing.Key{}.WithSource(1).WithSport(2)
	opening = landing.Segment{}.WithKey(key).WithOpening(true)
)

// The first copy of an opening packet waited at a sidecar, was put out of the queue after 200 ms, and its caller was reset
// 0.2 ms after the second copy had been placed.
func TestRefusalOfAnEarlierCopyIsNoAnswerToALaterOne(t *testing.T) {
	is := is.New(t)
	c := newCache()
	c.put(opening, 7, now)
	is.True(!c.isPlacedAgain(opening))
	c.put(opening.WithCopies(1), 7, now)
	is.True(c.isPlacedAgain(opening))
	is.True(!c.isPlacedAgain(opening.WithCopies(1)))
}

func TestClaimedFlowIsNotRefused(t *testing.T) {
	is := is.New(t)
	c := newCache()
	c.put(opening, 7, now)
	c.claim(key, 8, 1000, now)
	is.True(c.isPlacedAgain(opening))
}

func TestOnlyFlowsOfEarlierIncarnationsAreLost(t *testing.T) {
	is := is.New(t)
	c := newCache()
	c.claim(key, 7, 1000, now)
	c.find(landing.Segment{}.WithKey(key).WithAcknowledges(true).WithAcknowledged(55), now)
	c.claim(key.WithSport(3), 8, 1000, now)
	c.put(opening.WithKey(key.WithSport(4)), 7, now)
	is.Equal(len(c.takeLost(7, 900)), 0)
	is.Equal(c.takeLost(7, 2000), []landing.Held{landing.Held{}.WithKey(key).WithAcknowledged(55)})
	_, found := c.find(landing.Segment{}.WithKey(key), now)
	is.True(!found)
}

// Callers send again after 200, 400, 800 and 1,600 ms: one whose zone is found to be dark after 2.5 s would come again
// at its deadline.
func TestFlowsWhoseCallersWaitOnADarkZoneAreFound(t *testing.T) {
	is := is.New(t)
	c := newCache()
	now := time.Unix(1000, 0)
	segment := func(port uint32) landing.Segment {
		return landing.Segment{}.WithKey(landing.Key{}.WithSport(port)).WithAcknowledges(true).WithAcknowledged(port)
	}
	for _, port := range []uint32{1, 2, 3} {
		c.put(segment(port), 9, now)
	}
	c.claim(segment(1).Key(), 9, 5, now)
	c.claim(segment(2).Key(), 9, 5, now)
	silentSince := now.Add(time.Second)
	c.find(segment(1), now.Add(2*time.Second))
	c.find(segment(3), now.Add(2*time.Second))
	pending := c.takePending(9, silentSince)
	is.Equal(len(pending), 1) // 2 waits for nothing, 3 is not known to be there
	is.Equal(pending[0].Key(), segment(1).Key())
	is.Equal(pending[0].Acknowledged(), uint32(1))
	_, found := c.find(segment(1), now.Add(3*time.Second))
	is.True(!found)
}
