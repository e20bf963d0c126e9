package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

var (
	now     = time.Unix(1000, 0)
	key     = landing.FlowKey{}.WithSourceAddress(1).WithSourcePort(2)
	opening = landing.Segment{}.WithKey(key).WithIsSyn(true)
)

// The first copy of an opening packet waited at a sidecar, was put out of the queue after 200 ms, and its caller was reset
// 0.2 ms after the second copy had been placed.
func TestRefusalOfAnEarlierCopyIsNoAnswerToALaterOne(t *testing.T) {
	is := is.New(t)
	c := newCache()
	c.put(opening, 7, now)
	is.True(!c.isPlacedAgain(opening))
	c.put(opening.WithEarlierCopies(1), 7, now)
	is.True(c.isPlacedAgain(opening))
	is.True(!c.isPlacedAgain(opening.WithEarlierCopies(1)))
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
	c.find(landing.Segment{}.WithKey(key).WithHasAck(true).WithAcknowledgementNumber(55), now)
	c.claim(key.WithSourcePort(3), 8, 1000, now)
	c.put(opening.WithKey(key.WithSourcePort(4)), 7, now)
	is.Equal(len(c.takeLost(7, 900)), 0)
	is.Equal(c.takeLost(7, 2000), []landing.HeldFlow{landing.HeldFlow{}.WithKey(key).WithLastAcknowledged(55)})
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
		return landing.Segment{}.WithKey(landing.FlowKey{}.WithSourcePort(port)).WithHasAck(true).WithAcknowledgementNumber(port)
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
	is.Equal(pending[0].LastAcknowledged(), uint32(1))
	_, found := c.find(segment(1), now.Add(3*time.Second))
	is.True(!found)
}

// A caller that uses its port again through another balancer has its new flow at another sidecar; the claim of the old one
// must not get it reset when the old one's zone is dark.
func TestClaimOfAnOldFlowIsNotOneOfItsSuccessor(t *testing.T) {
	is := is.New(t)
	c := newCache()
	number := func(n uint32) landing.Segment {
		return landing.Segment{}.WithKey(key).WithHasAck(true).WithAcknowledgementNumber(n)
	}
	c.put(opening, 9, now)
	c.find(number(4_000_000_000), now)
	c.claim(key, 9, 5, now)
	c.find(number(4_000_020_000), now)
	is.True(c.isClaimed(key))
	c.find(number(4_010_000_000), now) // downloads went through another balancer
	is.True(c.isClaimed(key))
	c.find(number(4_294_967_000), now)
	is.True(!c.isClaimed(key))
	c.claim(key, 9, 5, now)
	c.find(number(10_000), now) // the numbers wrap around
	is.True(c.isClaimed(key))
	c.find(number(1_500_000_000), now)
	is.True(!c.isClaimed(key))
}
