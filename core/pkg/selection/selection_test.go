package selection

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func ExampleUpstream() {
	u := Upstream{Slots: 2, BusySlots: 2, Waiting: 1, RequestTime: 20 * time.Millisecond}
	fmt.Println(u.HasFreeSlot(), u.ExpectedWait(), u.ExpectedResponse())
	// Output:
	// false 20ms 40ms
}

// Guards against a flow that waits behind ten others at the first sidecar of its chain while one waits
// at the next.
func TestIsShortest_ComparesWaits(t *testing.T) {
	is := is.New(t)
	long := Upstream{Slots: 2, BusySlots: 2, Waiting: 10, RequestTime: 20 * time.Millisecond}
	short := Upstream{Slots: 2, BusySlots: 2, Waiting: 1, RequestTime: 20 * time.Millisecond}
	is.True(IsShortest(short, long.ExpectedResponse()))
	is.True(!IsShortest(long, short.ExpectedResponse()))
	is.True(IsShortest(long, 0)) // a sidecar of the previous version states no time
}

// Guards against a flow that goes to an idle upstream although another one responds sooner in spite of
// the flows that wait there, because it is ten times as fast.
func TestIsBusy_SlowUpstreamWithFreeSlot(t *testing.T) {
	is := is.New(t)
	slow := Upstream{Slots: 2, RequestTime: 250 * time.Millisecond}
	is.True(!IsBusy(slow, 0))
	is.True(IsBusy(slow, 60*time.Millisecond))
	is.True(!IsBusy(slow, 300*time.Millisecond))
}

func TestHasFreeSlot_CountsReservedSlotsAndWaitingFlows(t *testing.T) {
	is := is.New(t)
	is.True(Upstream{Slots: 2, BusySlots: 1}.HasFreeSlot())
	is.True(!Upstream{Slots: 2, BusySlots: 1, Waiting: 1}.HasFreeSlot())
	is.True(!Upstream{Slots: 2, IsEjected: true}.HasFreeSlot())
	is.True(Upstream{}.HasFreeSlot()) // no heartbeat has stated the slots yet
	is.True(Upstream{Slots: 2, IsEjected: true}.ExpectedResponse() > time.Second)
}

// Guards against a flow that is admitted at two sidecars: the second copy of its SYN came to the sidecar at which
// the first one waited, and was deferred along the chain because that upstream was busy.
func TestIsBusy_CopyOfWaitingFlowIsNotDeferred(t *testing.T) {
	is := is.New(t)
	u := Upstream{Slots: 2, BusySlots: 2, Waiting: 5, RequestTime: 20 * time.Millisecond}
	is.True(IsBusy(u, 0))
	u.HasEarlierCopy = true
	is.True(!IsBusy(u, 0))
	is.True(!IsBusy(u, time.Millisecond))
}
