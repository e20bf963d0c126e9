package selection_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/hold"
	"github.com/crocuslanding/crocuslanding/core/pkg/selection"
)

// mixedSidecar is a sidecar of this version or of the previous one, which neither states nor passes on the expected
// time of the response and leaves the first deferrer as it is.
type mixedSidecar struct {
	isPrevious bool
	upstream   selection.Upstream
}

// offerAlongMixedChain offers a new flow along a chain and returns the sidecar that admits it and the number of offers.
func offerAlongMixedChain(chain []mixedSidecar) (admittedBy, offers int) {
	hop, deferredBy, stated, isReturned := 0, 0, time.Duration(0), false
	for {
		offers++
		s := chain[hop]
		position := landing.ChainPosition{}.WithHasNext(hop+1 < len(chain)).WithHasMore(true).
			WithDeferredEarlier(deferredBy > 0).WithReturnedToDeferrer(isReturned)
		if s.isPrevious {
			position = position.WithUpstreamBusy(!s.upstream.HasFreeSlot())
		} else {
			position = position.WithUpstreamBusy(selection.IsBusy(s.upstream, stated)).WithShortestWait(selection.IsShortest(s.upstream, stated))
		}
		switch hold.Decide(landing.FlowAbsent{}, landing.Segment{}.WithIsSyn(true), position, landing.RefusalUnspecified).(type) {
		case landing.AdmitFlow:
			return hop, offers
		case landing.DeferAdmission:
			switch {
			case s.isPrevious && deferredBy == 0:
				deferredBy = hop + 1
			case !s.isPrevious && (deferredBy == 0 || selection.IsShortest(s.upstream, stated)):
				deferredBy, stated = hop+1, s.upstream.ExpectedResponse()
			}
			if s.isPrevious {
				stated = 0
			}
			hop++
		case landing.ReturnToDeferrer:
			hop, isReturned = deferredBy-1, true
		case landing.AbandonHandshake, landing.CompleteHandshake, landing.Deliver, landing.DeliverAndForward, landing.DropSegment,
			landing.ForwardToNext, landing.OfferToUpstream, landing.ResetFlow, landing.ReturnToBalancer:
			return -1, offers
		}
	}
}

// Guards against a flow that is lost or passed in circles while sidecars of two versions run.
func TestMixedChain_AdmitsEachFlowOnce(t *testing.T) {
	is := is.New(t)
	upstreams := []selection.Upstream{
		{Slots: 2, RequestTime: 20 * time.Millisecond},
		{Slots: 2, BusySlots: 2, Waiting: 1, RequestTime: 20 * time.Millisecond},
		{Slots: 2, BusySlots: 2, Waiting: 9, RequestTime: 20 * time.Millisecond},
		{Slots: 2, RequestTime: 20 * time.Millisecond, IsEjected: true},
		{Slots: 2, RequestTime: 300 * time.Millisecond},
		{},
	}
	n := len(upstreams)
	for combination := range 8 * n * n * n {
		versions, loads := combination%8, combination/8
		chain := []mixedSidecar{
			{versions&1 > 0, upstreams[loads%n]}, {versions&2 > 0, upstreams[loads/n%n]}, {versions&4 > 0, upstreams[loads/n/n]},
		}
		admittedBy, offers := offerAlongMixedChain(chain)
		if admittedBy < 0 || offers > len(chain)+1 {
			t.Fatalf("admitted by %d after %d offers: %s", admittedBy, offers, fmt.Sprintf("%+v", chain))
		}
		if versions == 0 {
			hasBetter := false
			for _, s := range chain {
				hasBetter = hasBetter || s.upstream.HasFreeSlot()
			}
			is.True(!hasBetter || !chain[admittedBy].upstream.IsEjected)
		}
	}
}
