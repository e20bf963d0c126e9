package command

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/core/pkg/scrape"
)

// metricTable holds the metrics of a process by name.
type metricTable map[string]int64

// with returns a copy with these metrics added or replaced.
func (m metricTable) with(other metricTable) metricTable {
	merged := maps.Clone(m)
	maps.Copy(merged, other)
	return merged
}

// without returns a copy without a metric.
func (m metricTable) without(name string) metricTable {
	rest := maps.Clone(m)
	delete(rest, name)
	return rest
}

// write writes the metrics as a process does.
func (m metricTable) write(w http.ResponseWriter) {
	var values []landing.Counter
	for name, value := range m {
		values = append(values, landing.Counter{}.WithName(name).WithValue(value))
	}
	scrape.Write(w, values)
}

// sidecarMetrics returns the metrics of an idle sidecar.
func sidecarMetrics(instance, service, zone string) metricTable {
	return metricTable{
		"instance." + instance: 1, "service." + service: 1, "zone." + zone: 1,
		"slots": 2, "busy": 0, "running": 0, "waiting": 0, "waiting_timely": 0, "waiting_late": 0,
		"utilization_permille": 0, "latency_us": 22_400, "is_ejected": 0, "heartbeat_age_ms": 120, "enrollment_age_ms": 400,
		"refused.queue": 0, "refused.room": 0, "refused.cold": 0, "refused.unknown": 0,
	}
}

// The metrics of a fleet: an idle sidecar, one under load between two reads, and one whose enrollment is not confirmed.
var (
	idleSidecar    = sidecarMetrics("side-a-1", "desk", "khomas-a")
	loadedSidecar1 = sidecarMetrics("side-a-2", "desk", "khomas-a").with(metricTable{"refused.queue": 100, "refused.unknown": 2, "waited_timely": 40})
	loadedSidecar2 = loadedSidecar1.with(metricTable{
		"slots": 2, "busy": 3, "running": 2, "waiting": 5, "waiting_timely": 3, "waiting_late": 2, "utilization_permille": 914,
		"refused.queue": 117, "refused.unknown": 3, "waited_timely": 61, "waited_late": 4,
	})
	lostSidecar = sidecarMetrics("side-b-1", "tours", "khomas-b").with(metricTable{"enrollment_age_ms": 3150, "heartbeat_age_ms": -1, "slots": 0, "latency_us": 0})
	balancer    = metricTable{"sidecars": 4, "cached": 210, "refused.queue": 17, "balancers": 3}
)

// testServers are servers of metrics, which must be closed.
type testServers []*httptest.Server

// serve starts a server that responds to each read with the next one of these responses, and to all reads after that with
// the last one. It returns the address.
func (s *testServers) serve(responses ...func(http.ResponseWriter)) string {
	var reads atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		responses[min(int(reads.Add(1)), len(responses))-1](w)
	}))
	*s = append(*s, server)
	return strings.TrimPrefix(server.URL, "http://")
}

func (s *testServers) close() {
	for _, server := range *s {
		server.Close()
	}
}

// newTestServers returns servers that are closed at the end of the test.
func newTestServers(t *testing.T) *testServers {
	t.Helper()
	s := &testServers{}
	t.Cleanup(s.close)
	return s
}

// runLoad runs the load command and returns the exit status, the output and the error output.
func runLoad(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	status := Load(NewEnv(context.Background(), &out, &errOut), args)
	return status, out.String(), errOut.String()
}

// readLoadJSON runs the load command with -json and returns the exit status and the printed load.
func readLoadJSON(t *testing.T, args ...string) (int, landing.FleetLoad) {
	t.Helper()
	is := is.New(t)
	status, out, errOut := runLoad(append([]string{"-json"}, args...)...)
	is.Equal(errOut, "")
	is.Equal(strings.Count(out, "\n"), 1) // one line of JSON
	message := &landingpb.FleetLoad{}
	is.NoErr(protojson.Unmarshal([]byte(out), message))
	return status, codec.DecodeFleetLoad(message)
}

// exampleOutput runs the command on a fleet of three sidecars and a balancer, beside a process that has ended and one that
// responds with something else, and returns the exit status and the output. Addresses, of which only the port varies, are
// replaced by others of the same length. The same output is shown in docs/OPERATIONS.md.
func exampleOutput() (int, string) {
	var s testServers
	defer s.close()
	addresses := []string{
		s.serve(idleSidecar.write), s.serve(loadedSidecar1.write, loadedSidecar2.write), s.serve(lostSidecar.write), s.serve(balancer.write),
		s.serve(func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }),
		s.serve(func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"not": "metrics"`)) }),
	}
	status, out, _ := runLoad(append([]string{"-interval", "100ms"}, addresses...)...)
	for i, address := range addresses {
		out = strings.ReplaceAll(out, address, fmt.Sprintf("10.128.0.%d:9464", i+1))
	}
	return status, out
}

func ExampleLoad() {
	status, out := exampleOutput()
	fmt.Print(out)
	fmt.Println("exit status", status)
	// Output:
	// 4 of 6 processes read; waits and refusals of 100ms
	// PARTIAL: 10.128.0.4:9464 has 4 sidecars enrolled, and 3 were read
	// PARTIAL: sums and lists are without the processes that could not be read (2):
	//   10.128.0.5:9464: response to the request for metrics has the status 503 Service Unavailable
	//   10.128.0.6:9464: metrics cannot be read: text format parsing error in line 1: unexpected end of metric name ':'
	//
	// SERVICE  SIDECARS  EJECTED  NOT ENROLLED  SLOTS  BUSY  RUNNING  WAITING  TIMELY  WAITED TIMELY  WAITED LATE  REFUSED
	// desk     2         0        0             4      3     2        5        3       21             4            queue=17 unknown=1
	// tours    1         0        1             0      0     0        0        0       0              0            -
	//
	// SIDECAR   ADDRESS          SERVICE  ZONE      ENROLLED  EJECTED  HEARTBEAT MS  SLOTS  BUSY  RUNNING  WAITING  TIMELY  WAITED TIMELY  WAITED LATE  TIMELY USE  LATENCY MS  REFUSED
	// side-b-1  10.128.0.3:9464  tours    khomas-b  no        no       never         0      0     0        0        0       0              0            0%          0.0         -
	// side-a-2  10.128.0.2:9464  desk     khomas-a  yes       no       120           2      3     2        5        3       21             4            91%         22.4        queue=17 unknown=1
	// side-a-1  10.128.0.1:9464  desk     khomas-a  yes       no       120           2      0     0        0        0       0              0            0%          22.4        -
	//
	// BALANCER         SIDECARS  CACHED  REFUSED
	// 10.128.0.4:9464  4         210     -
	// exit status 1
}

// Guards against a page for operators that shows another output than that of the command.
func TestOperationsPageShowsOutputOfLoad(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	is.NoErr(err)
	_, out := exampleOutput()
	is.True(strings.Contains(string(page), "```\n"+out+"```\n"))
}

func TestLoad_CountsBetweenReads(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t)
	status, load := readLoadJSON(t, "-interval", "1ms", s.serve(idleSidecar.write), s.serve(loadedSidecar1.write, loadedSidecar2.write))
	is.Equal(status, program.StatusOK)
	is.Equal(load.IntervalMillis(), int64(1))
	is.Equal(load.SidecarsLen(), 2)
	worst := load.SidecarsAt(0)
	is.Equal(worst.Instance(), "side-a-2")
	is.Equal(worst.WaitedTimely(), int64(21))
	is.Equal(worst.WaitedLate(), int64(4)) // the counter did not exist before
	is.Equal(worst.Refusals(), []landing.RefusalCount{
		landing.RefusalCount{}.WithReason("queue").WithCount(17),
		landing.RefusalCount{}.WithReason("unknown").WithCount(1),
	})
	is.True(worst.Enrolled())
	is.Equal(load.ServicesLen(), 1)
	is.Equal(load.ServicesAt(0).Slots(), int64(4))
	is.Equal(load.ServicesAt(0).Busy(), int64(3))
	is.Equal(load.ServicesAt(0).Refusals(), worst.Refusals())
}

func TestLoad_CountsSinceStartWithoutInterval(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t)
	status, load := readLoadJSON(t, "-interval", "0", s.serve(loadedSidecar2.write))
	is.Equal(status, program.StatusOK)
	is.Equal(load.SidecarsAt(0).WaitedTimely(), int64(61))
	is.Equal(load.SidecarsAt(0).RefusalsAt(0).Count(), int64(117))
}

// Guards against negative counts when a process was restarted between the reads.
func TestLoad_CountsFromZeroAfterRestart(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t)
	restarted := loadedSidecar1.with(metricTable{"refused.queue": 3, "refused.unknown": 0}).without("waited_timely")
	_, load := readLoadJSON(t, "-interval", "1ms", s.serve(loadedSidecar1.write, restarted.write))
	is.Equal(load.SidecarsAt(0).WaitedTimely(), int64(0))
	is.Equal(load.SidecarsAt(0).Refusals(), []landing.RefusalCount{landing.RefusalCount{}.WithReason("queue").WithCount(3)})
}

// Guards against sums of a part of the fleet that look like those of the whole: each process that was not read both times
// is listed, and the exit status is that of a failure.
func TestLoad_ListsProcessesThatWereNotRead(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t)
	unavailable := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	unread := []string{
		"127.0.0.1:1",
		s.serve(func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"not": "metrics"`)) }),
		s.serve(func(http.ResponseWriter) {}),
		s.serve(unavailable, idleSidecar.write),
		s.serve(idleSidecar.write, unavailable),
		s.serve(idleSidecar.without("enrollment_age_ms").write), // a sidecar of a previous version
		s.serve(idleSidecar.without("zone.khomas-a").write),
		s.serve(func(w http.ResponseWriter) {
			idleSidecar.without("slots").write(w)
			_, _ = w.Write([]byte("crocuslanding_slots NaN\n"))
		}),
		s.serve(func(w http.ResponseWriter) { _, _ = w.Write(bytes.Repeat([]byte("a 1\n"), maxMetricsBytes)) }),
	}
	status, load := readLoadJSON(t, append([]string{"-interval", "1ms", s.serve(idleSidecar.write)}, unread...)...)
	is.Equal(status, program.StatusFailed)
	is.Equal(load.SidecarsLen(), 1)
	is.Equal(load.UnreadLen(), len(unread))
	for i, u := range load.Unread() {
		is.Equal(u.Address(), unread[i])
		is.True(u.Error() != "")
	}
	status, out, _ := runLoad(append([]string{"-interval", "0"}, unread...)...)
	is.Equal(status, program.StatusFailed)
	is.True(strings.Contains(out, "PARTIAL"))
	for _, address := range unread[:3] {
		is.True(strings.Contains(out, address))
	}
}

// Guards against a table that looks whole although the addresses of enrolled sidecars were left out.
func TestLoad_StatesThatSidecarsWereNotAsked(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t)
	address := s.serve(balancer.write)
	status, out, _ := runLoad("-interval", "0", address, s.serve(idleSidecar.write))
	is.Equal(status, program.StatusOK) // every process that was asked has answered
	is.True(strings.Contains(out, "PARTIAL: "+address+" has 4 sidecars enrolled, and 1 were read"))
}

// Guards against sums that contain a process twice.
func TestLoad_ReadsEachAddressOnce(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t)
	address := s.serve(idleSidecar.write)
	_, load := readLoadJSON(t, "-interval", "0", address, address)
	is.Equal(load.SidecarsLen(), 1)
	is.Equal(load.ServicesAt(0).Slots(), int64(2))
}

// The order is that in which an operator looks at sidecars. Refusals for other reasons than the load do not count.
func TestCompareSidecars_MostLoadedFirst(t *testing.T) {
	is := is.New(t)
	fine := landing.SidecarLoad{}.WithEnrolled(true).WithSlots(2)
	refusing := func(reason string, n int64) landing.SidecarLoad {
		return fine.WithRefusals(landing.RefusalCount{}.WithReason(reason).WithCount(n))
	}
	ordered := []landing.SidecarLoad{
		fine.WithEnrolled(false),
		fine.WithEjected(true),
		refusing("queue", 2),
		refusing("queue", 1).WithWaiting(9),
		fine.WithWaiting(1),
		fine.WithBusy(2),
		fine.WithSlots(4).WithBusy(3),
		fine.WithBusy(1),
		fine.WithUtilizationPermille(1),
		refusing("unknown", 9).WithAddress("a"),
		fine.WithAddress("b"),
	}
	for i := range ordered {
		for j := range ordered {
			got := compareSidecars(ordered[i], ordered[j])
			is.Equal(got < 0, i < j)
			is.Equal(got > 0, i > j)
		}
	}
}

func TestLoad_WrongArguments(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{}, {"-interval", "-1s", "127.0.0.1:1"}, {"-interval", "soon", "127.0.0.1:1"}, {"-what"}} {
		status, out, errOut := runLoad(args...)
		is.Equal(status, program.StatusUsage)
		is.Equal(out, "")
		is.True(errOut != "")
	}
}

// Guards against a command that outlives an interrupt by its interval.
func TestLoad_EndsWhenInterrupted(t *testing.T) {
	is := is.New(t)
	s := newTestServers(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out, errOut bytes.Buffer
	status := Load(NewEnv(ctx, &out, &errOut), []string{"-interval", "1h", s.serve(idleSidecar.write)})
	is.Equal(status, program.StatusFailed)
	is.Equal(out.String(), "")
}
