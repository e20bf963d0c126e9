package measure

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/lists"
	"github.com/crocuslanding/crocuslanding/core/pkg/membership"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
	"github.com/crocuslanding/crocuslanding/core/pkg/route"
)

const (
	targetsPerService = 4
	capacityMembers   = 214
	capacityRounds    = 20
	bytesPerKB        = 1000
)

// Capacity measures the slopes from which the page on capacity is worked out: what targets, balancers
// and customers cost in bytes, processor time and memory.
func Capacity(w io.Writer) error {
	measureTargets(w)
	measureMessages(w)
	measureCustomers(w)
	return nil
}

func measureTargets(w io.Writer) {
	t := newTable(w, "a region's roster, four targets a service, 214 balancers")
	fmt.Fprintln(t, "TARGETS\tROSTER KB\tVIEW MB\tVIEW ms\tONE CHANGE ms\tTICK us\tHEARTBEAT us")
	for _, count := range []int{230, 575, 1150, 2300} {
		r := newCapacityRoster(count)
		l := newCapacityLists(count/targetsPerService, 1000)
		before := heap()
		begin := time.Now()
		v := route.New().WithLists(l).WithRoster(r)
		built := time.Since(begin)
		size := heap() - before
		fmt.Fprintf(t, "%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\n", count,
			float64(proto.Size(codec.EncodeRoster(r)))/bytesPerKB, float64(size)/1e6,
			built.Seconds()*1e3, timeOfChange(v, r).Seconds()*1e3,
			float64(timeOfTick(r).Microseconds()), float64(timeOfHeartbeat(r).Microseconds()))
		runtime.KeepAlive(v)
	}
	_ = t.Flush()
}

func measureMessages(w io.Writer) {
	r := newCapacityRoster(2300)
	target := r.TargetsAt(0)
	digest := landing.VersionDigest{}.WithRoot(50_000).WithRoster(500_000).WithMarks(1 << 60).WithKeys(9)
	heartbeat := landing.SidecarHeartbeat{}.WithTarget(target).WithDigest(digest)
	exchange := landing.GossipRequest{}.WithSender(r.MembersAt(0)).WithDigest(digest)
	t := newTable(w, "messages, in bytes before TCP and HTTP/2")
	fmt.Fprintln(t, "MESSAGE\tBYTES")
	fmt.Fprintf(t, "heartbeat\t%d\n", proto.Size(codec.EncodeSidecarHeartbeat(heartbeat)))
	fmt.Fprintf(t, "answer to a heartbeat, no news, 214 balancers\t%d\n", proto.Size(codec.EncodeStateUpdate(landing.StateUpdate{}.WithDigest(digest).WithBalancers(r.Members()...))))
	fmt.Fprintf(t, "answer to a heartbeat, no news, balancers unchanged\t%d\n", proto.Size(codec.EncodeStateUpdate(landing.StateUpdate{}.WithDigest(digest))))
	fmt.Fprintf(t, "exchange, no news\t%d\n", proto.Size(codec.EncodeGossipRequest(exchange)))
	targets := r.Targets()
	targets[0] = targets[0].WithWeight(500)
	delta := roster.Diff(r, r.WithSerial(2).WithTargets(targets...))
	fmt.Fprintf(t, "news of one changed target\t%d\n", proto.Size(codec.EncodeStateUpdate(landing.StateUpdate{}.WithDigest(digest).WithRosterDelta(delta))))
	fmt.Fprintf(t, "news of the whole roster\t%d\n", proto.Size(codec.EncodeStateUpdate(landing.StateUpdate{}.WithDigest(digest).WithRoster(r))))
	fmt.Fprintf(t, "one target\t%d\n", proto.Size(codec.EncodeTarget(target)))
	_ = t.Flush()
}

func measureCustomers(w io.Writer) {
	t := newTable(w, "lists, 557 services")
	fmt.Fprintln(t, "CUSTOMERS\tCHUNKS\tROOT KB\tLARGEST CHUNK KB\tALL KB\tADOPT ms\tINDEX MB")
	for _, count := range []int{1_000, 4_000, 16_000} {
		l := newCapacityLists(557, count)
		chunks := lists.Split(l)
		root := landing.ListsRoot{}.WithSerial(1)
		var hashes []string
		largest, all := 0, 0
		for _, c := range chunks {
			b := object.EncodeChunk(c)
			hashes = append(hashes, object.Hash(b))
			largest = max(largest, len(b))
			all += len(b)
		}
		before := heap()
		begin := time.Now()
		v := route.New().WithLists(l)
		took := time.Since(begin)
		fmt.Fprintf(t, "%d\t%d\t%.1f\t%.1f\t%.0f\t%.1f\t%.1f\n", count, len(chunks),
			float64(len(object.EncodeRoot(root.WithChunks(hashes...))))/bytesPerKB,
			float64(largest)/bytesPerKB, float64(all)/bytesPerKB, took.Seconds()*1e3, float64(heap()-before)/1e6)
		runtime.KeepAlive(v)
	}
	_ = t.Flush()
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// timeOfChange returns the time to take up a roster in which one target is another.
func timeOfChange(v *route.View, r landing.Roster) time.Duration {
	targets := r.Targets()
	begin := time.Now()
	for i := range capacityRounds {
		targets[0] = targets[0].WithWeight(uint32(100 + i))
		v = v.WithRoster(r.WithSerial(uint64(i + 2)).WithTargets(targets...))
	}
	return time.Since(begin) / capacityRounds
}

// timeOfTick returns the time of one tick of a balancer that is home to its part of the targets.
func timeOfTick(r landing.Roster) time.Duration {
	w, now := newCapacityWatch(r)
	begin := time.Now()
	for range capacityRounds {
		now = now.Add(500 * time.Millisecond)
		w, _ = membership.Handle(w, landing.Tick{}.WithNow(now))
	}
	return time.Since(begin) / capacityRounds
}

// timeOfHeartbeat returns the time of one heartbeat at its home balancer.
func timeOfHeartbeat(r landing.Roster) time.Duration {
	w, now := newCapacityWatch(r)
	begin := time.Now()
	for range capacityRounds {
		w, _ = membership.Handle(w, landing.HeartbeatReceived{}.WithTarget(r.TargetsAt(0)).WithReceivedAt(now))
	}
	return time.Since(begin) / capacityRounds
}

func newCapacityWatch(r landing.Roster) (landing.MembershipState, time.Time) {
	now := time.Unix(1_000_000, 0)
	self := r.MembersAt(0)
	w := membership.New(self, "region", 4*time.Second)
	w, _ = membership.Handle(w, landing.RosterRead{}.WithRoster(r).WithRosterVersion(1).WithReadAt(now))
	for _, t := range r.Targets() {
		if roster.RankBalancers(r.Members(), t.Instance())[0].Instance() == self.Instance() {
			w, _ = membership.Handle(w, landing.HeartbeatReceived{}.WithTarget(t).WithReceivedAt(now.Add(time.Minute)))
		}
	}
	return w, now.Add(time.Minute)
}

func newCapacityRoster(count int) landing.Roster {
	var targets []landing.Target
	for i := range count {
		targets = append(targets, landing.Target{}.
			WithInstance(fmt.Sprintf("service-%04d-target-%d", i/targetsPerService, i%targetsPerService)).
			WithService(fmt.Sprintf("service-%04d", i/targetsPerService)).
			WithZone(fmt.Sprintf("region-a-zone-%d", i%3)).
			WithFront(fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&0xff, i&0xff)).
			WithWeight(400).
			WithPhase(landing.PhaseServing).
			WithIncarnation(uint64(time.Unix(1_000_000, 0).UnixNano())).
			WithChange(3))
	}
	var members []landing.Balancer
	for i := range capacityMembers {
		members = append(members, landing.Balancer{}.
			WithInstance(fmt.Sprintf("balancer-%04d", i)).
			WithZone(fmt.Sprintf("region-a-zone-%d", i%3)).
			WithControl(fmt.Sprintf("10.200.0.%d:7001", i)).
			WithIncarnation(uint64(time.Unix(1_000_000, 0).UnixNano())))
	}
	return landing.Roster{}.WithSerial(1).WithRegion("region-a").WithTargets(targets...).WithMembers(members...)
}

func newCapacityLists(services, customers int) landing.Lists {
	var all []landing.Service
	var grants []landing.Grant
	for i := range services {
		name := fmt.Sprintf("service-%04d", i)
		all = append(all, landing.Service{}.WithName(name).WithAddress(fmt.Sprintf("10.250.%d.%d:80", i/250, i%250+1)).WithKind(landing.KindRequests))
		grants = append(grants, landing.Grant{}.WithService(name).WithZones("region-a-zone-0", "region-a-zone-1", "region-a-zone-2").WithFlows(1000))
	}
	var buyers []landing.Customer
	for i := range customers {
		buyers = append(buyers, landing.Customer{}.
			WithName(fmt.Sprintf("customer-%05d", i)).
			WithPlan("full").
			WithPrefixes(fmt.Sprintf("10.%d.%d.0/24", i/250, i%250)))
	}
	return landing.Lists{}.
		WithServices(all...).
		WithCustomers(buyers...).
		WithPlans(landing.Plan{}.WithName("full").WithGrants(grants...))
}
