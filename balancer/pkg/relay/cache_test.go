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
