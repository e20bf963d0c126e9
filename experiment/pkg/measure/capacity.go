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
	capacityBalancers = 214
	capacityRounds    = 20
	bytesPerKB        = 1000
)

// Capacity measures what targets, balancers and customers cost in message size, processor time and memory. A target is an
// upstream as the roster lists it; the roster is the list of the targets and balancers of a region. The capacity page is
// calculated from these figures.
func Capacity(w io.Writer) error {
	measureTargets(w)
	measureMessages(w)
	measureLists(w)
	return nil
}

// measureTargets prints, by number of targets, the size of the roster, the memory and build time of the route view (from
// which a balancer routes packets), and the time to handle a changed target, a tick of the membership decisions, and a
// heartbeat.
func measureTargets(w io.Writer) {
	t := newTable(w, "a region's roster, four targets a service, 214 balancers")
	fmt.Fprintln(t, "TARGETS\tROSTER KB\tVIEW MB\tVIEW ms\tONE CHANGE ms\tTICK us\tHEARTBEAT us")
	for _, count := range []int{230, 575, 1150, 2300} {
		r := newCapacityRoster(count)
		l := newCapacityLists(count/targetsPerService, 1000)
		before := heapBytes()
		startedAt := time.Now()
		v := route.New().WithLists(l).WithRoster(r)
		buildTime := time.Since(startedAt)
		viewBytes := heapBytes() - before
		fmt.Fprintf(t, "%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.0f\n", count,
			float64(proto.Size(codec.EncodeRoster(r)))/bytesPerKB, float64(viewBytes)/1e6,
			buildTime.Seconds()*1e3, measureRosterChange(v, r).Seconds()*1e3,
			float64(measureTick(r).Microseconds()), float64(measureHeartbeat(r).Microseconds()))
		runtime.KeepAlive(v)
	}
	_ = t.Flush()
}

// measureMessages prints the encoded sizes of the messages between sidecars and balancers and among balancers.
func measureMessages(w io.Writer) {
	r := newCapacityRoster(2300)
	target := r.TargetsAt(0)
	digest := landing.VersionDigest{}.WithRoot(50_000).WithRoster(500_000).WithMarks(1 << 60).WithKeys(9)
	heartbeat := landing.SidecarHeartbeat{}.WithTarget(target).WithDigest(digest)
	gossip := landing.GossipRequest{}.WithSender(r.MembersAt(0)).WithDigest(digest)
	t := newTable(w, "messages, in bytes before TCP and HTTP/2")
	fmt.Fprintln(t, "MESSAGE\tBYTES")
	fmt.Fprintf(t, "heartbeat\t%d\n", proto.Size(codec.EncodeSidecarHeartbeat(heartbeat)))
	fmt.Fprintf(t, "answer to a heartbeat, no news, 214 balancers\t%d\n", proto.Size(codec.EncodeStateUpdate(landing.StateUpdate{}.WithDigest(digest).WithBalancers(r.Members()...))))
	fmt.Fprintf(t, "answer to a heartbeat, no news, balancers unchanged\t%d\n", proto.Size(codec.EncodeStateUpdate(landing.StateUpdate{}.WithDigest(digest))))
	fmt.Fprintf(t, "exchange, no news\t%d\n", proto.Size(codec.EncodeGossipRequest(gossip)))
	targets := r.Targets()
	targets[0] = targets[0].WithWeight(500)
	delta := roster.Diff(r, r.WithSerial(2).WithTargets(targets...))
	fmt.Fprintf(t, "news of one changed target\t%d\n", proto.Size(codec.EncodeStateUpdate(landing.StateUpdate{}.WithDigest(digest).WithRosterDelta(delta))))
	fmt.Fprintf(t, "news of the whole roster\t%d\n", proto.Size(codec.EncodeStateUpdate(landing.StateUpdate{}.WithDigest(digest).WithRoster(r))))
	fmt.Fprintf(t, "one target\t%d\n", proto.Size(codec.EncodeTarget(target)))
	_ = t.Flush()
}

// measureLists prints, by number of customers, the sizes of the stored lists, which are the configuration that operators
// edit, and the build time (ADOPT) and memory (INDEX) of the route view.
func measureLists(w io.Writer) {
	t := newTable(w, "lists, 557 services")
	fmt.Fprintln(t, "CUSTOMERS\tCHUNKS\tROOT KB\tLARGEST CHUNK KB\tALL KB\tADOPT ms\tINDEX MB")
	for _, count := range []int{1_000, 4_000, 16_000} {
		l := newCapacityLists(557, count)
		chunks := lists.Split(l)
		root := landing.ListsRoot{}.WithSerial(1)
		var hashes []string
		largestChunkBytes, totalBytes := 0, 0
		for _, c := range chunks {
			b := object.EncodeChunk(c)
			hashes = append(hashes, object.Hash(b))
			largestChunkBytes = max(largestChunkBytes, len(b))
			totalBytes += len(b)
		}
		before := heapBytes()
		startedAt := time.Now()
		v := route.New().WithLists(l)
		buildTime := time.Since(startedAt)
		fmt.Fprintf(t, "%d\t%d\t%.1f\t%.1f\t%.0f\t%.1f\t%.1f\n", count, len(chunks),
			float64(len(object.EncodeRoot(root.WithChunks(hashes...))))/bytesPerKB,
			float64(largestChunkBytes)/bytesPerKB, float64(totalBytes)/bytesPerKB, buildTime.Seconds()*1e3, float64(heapBytes()-before)/1e6)
		runtime.KeepAlive(v)
	}
	_ = t.Flush()
}

// heapBytes returns the number of bytes of allocated heap objects after two garbage collections.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// measureRosterChange returns the mean time to replace the roster of the view v by one in which one target has changed.
func measureRosterChange(v *route.View, r landing.Roster) time.Duration {
	targets := r.Targets()
	startedAt := time.Now()
	for i := range capacityRounds {
		targets[0] = targets[0].WithWeight(uint32(100 + i))
		v = v.WithRoster(r.WithSerial(uint64(i + 2)).WithTargets(targets...))
	}
	return time.Since(startedAt) / capacityRounds
}

// measureTick returns the mean time to handle a tick at a balancer that is the home balancer of some of the targets, that
// is, the balancer to which their sidecars send heartbeats.
func measureTick(r landing.Roster) time.Duration {
	m, now := newCapacityMembership(r)
	startedAt := time.Now()
	for range capacityRounds {
		now = now.Add(500 * time.Millisecond)
		m, _ = membership.Handle(m, landing.Tick{}.WithNow(now))
	}
	return time.Since(startedAt) / capacityRounds
}

// measureHeartbeat returns the mean time to handle a heartbeat.
func measureHeartbeat(r landing.Roster) time.Duration {
	m, now := newCapacityMembership(r)
	startedAt := time.Now()
	for range capacityRounds {
		m, _ = membership.Handle(m, landing.HeartbeatReceived{}.WithTarget(r.TargetsAt(0)).WithReceivedAt(now))
	}
	return time.Since(startedAt) / capacityRounds
}

// newCapacityMembership returns the membership state of the first balancer of the roster, which has received a heartbeat
// from each target whose home balancer it is, and the time of these heartbeats.
func newCapacityMembership(r landing.Roster) (landing.MembershipState, time.Time) {
	now := time.Unix(1_000_000, 0)
	self := r.MembersAt(0)
	m := membership.New(self, "region", 4*time.Second)
	m, _ = membership.Handle(m, landing.RosterRead{}.WithRoster(r).WithRosterVersion(1).WithReadAt(now))
	for _, t := range r.Targets() {
		if roster.RankBalancers(r.Members(), t.Instance())[0].Instance() == self.Instance() {
			m, _ = membership.Handle(m, landing.HeartbeatReceived{}.WithTarget(t).WithReceivedAt(now.Add(time.Minute)))
		}
	}
	return m, now.Add(time.Minute)
}

// newCapacityRoster returns a roster with this number of targets in three zones.
func newCapacityRoster(targetCount int) landing.Roster {
	var targets []landing.Target
	for i := range targetCount {
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
	for i := range capacityBalancers {
		members = append(members, landing.Balancer{}.
			WithInstance(fmt.Sprintf("balancer-%04d", i)).
			WithZone(fmt.Sprintf("region-a-zone-%d", i%3)).
			WithControl(fmt.Sprintf("10.200.0.%d:7001", i)).
			WithIncarnation(uint64(time.Unix(1_000_000, 0).UnixNano())))
	}
	return landing.Roster{}.WithSerial(1).WithRegion("region-a").WithTargets(targets...).WithMembers(members...)
}

// newCapacityLists returns lists in which every customer may use every service in all three zones.
func newCapacityLists(serviceCount, customerCount int) landing.Lists {
	var services []landing.Service
	var grants []landing.Grant
	for i := range serviceCount {
		name := fmt.Sprintf("service-%04d", i)
		services = append(services, landing.Service{}.WithName(name).WithAddress(fmt.Sprintf("10.250.%d.%d:80", i/250, i%250+1)).WithKind(landing.KindRequests))
		grants = append(grants, landing.Grant{}.WithService(name).WithZones("region-a-zone-0", "region-a-zone-1", "region-a-zone-2").WithFlows(1000))
	}
	var customers []landing.Customer
	for i := range customerCount {
		customers = append(customers, landing.Customer{}.
			WithName(fmt.Sprintf("customer-%05d", i)).
			WithPlan("full").
			WithPrefixes(fmt.Sprintf("10.%d.%d.0/24", i/250, i%250)))
	}
	return landing.Lists{}.
		WithServices(services...).
		WithCustomers(customers...).
		WithPlans(landing.Plan{}.WithName("full").WithGrants(grants...))
}
