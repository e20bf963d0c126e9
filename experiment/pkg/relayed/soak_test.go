package relayed

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/platform/standin/endpoint"
	"github.com/crocuslanding/crocuslanding/platform/standin/store"
)

var (
	soakSeedCount = flag.Int("soak", 2, "number of seeds that the fault soak runs")
	soakFirstSeed = flag.Uint64("soakseed", 1, "first seed of the fault soak")
	soakFolder    = flag.String("soakkeep", "", "folder in which the programs, settings and logs of the fault soak are kept")
)

const (
	soakBalancerCount = 3
	soakNodeCount     = 4
	soakCallerCount   = 12
	soakFaultCount    = 10
	// maxSuspension is longer than the 2.5 s after which balancers remove the enrollment of a silent sidecar.
	maxSuspension = 4 * time.Second
	// requestsPerLateSyn is the number of requests on a flow between two late copies of its SYN.
	requestsPerLateSyn = 16
	// maxCopyAge is the age that the copy may have from which the store comes back.
	maxCopyAge = 5 * time.Second
	// recoveryTimeout is the time within which every flow of a running upstream must answer after the last fault.
	recoveryTimeout = 15 * time.Second
)

// soakPlan is the deployment and the faults of a run of the soak.
type soakPlan struct {
	cfg Config
	// faultKinds is the number of kinds of faults, of which injectFault selects one at random.
	faultKinds    int
	maxSuspension time.Duration
	hasLateSyns   bool
}

// newSoakPlan returns the plan with all faults. The callers send more requests at once than the upstreams have slots.
func newSoakPlan(binaryFolder string) soakPlan {
	cfg := Config{
		BinaryFolder: binaryFolder, Balancers: soakBalancerCount, Sidecars: soakNodeCount,
		Slots: 2, ServiceTime: 10 * time.Millisecond, ResponseAim: 400 * time.Millisecond, RequestTimeout: requestTimeout,
		HasStoreProxy: true,
	}
	return soakPlan{cfg: cfg, faultKinds: 13, maxSuspension: maxSuspension, hasLateSyns: true}
}

// newRegressionPlan returns the plan with which the seeds of TestSoakRegressions failed. With more kinds of faults or longer
// suspensions, a seed would inject other faults.
func newRegressionPlan(binaryFolder string) soakPlan {
	return soakPlan{
		cfg:        Config{BinaryFolder: binaryFolder, Balancers: soakBalancerCount, Sidecars: soakNodeCount},
		faultKinds: 8, maxSuspension: 1500 * time.Millisecond,
	}
}

// soak is one run of a deployment whose balancers and sidecars are separate processes, with random faults.
type soak struct {
	t     *testing.T
	plan  soakPlan
	fleet *Fleet
	mu    sync.Mutex
	// runningUpstreams is the set of the IDs of running upstream incarnations.
	runningUpstreams map[string]bool
	// version is the version of the configuration that the operator has written last.
	version int
	// copies are copies of the store since it last came back from one, in the order of their age.
	copies []datedCopy
	// violations describe what went wrong. The run fails unless there are none.
	violations []string
}

// datedCopy is a copy of the store and the time at which it was taken.
type datedCopy struct {
	store.Copy
	takenAt time.Time
}

// buildPrograms compiles the balancer and the sidecar with the build tag relay into the folder of the flag soakkeep, or
// else into a temporary folder, and returns the folder.
func buildPrograms(t *testing.T) string {
	folder := *soakFolder
	if folder == "" {
		folder = t.TempDir()
	}
	for _, program := range []string{"balancer", "sidecar"} {
		cmd := exec.Command("go", "build", "-tags", "relay", "-o", folder+"/", "github.com/crocuslanding/crocuslanding/"+program)
		out, err := cmd.CombinedOutput()
		if err != nil {
			t.Fatalf("build failed: %s: %s", err, out)
		}
	}
	return folder
}

// Callers keep flows open while processes are killed, stopped and suspended, upstreams crash and the store fails. No flow of
// a running upstream may be reset or get the answer for another flow, and each must get an answer after the faults.
func TestSoak(t *testing.T) {
	binaryFolder := buildPrograms(t)
	for i := range *soakSeedCount {
		seed := *soakFirstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) { runSoak(t, newSoakPlan(binaryFolder), seed) })
	}
}

// TestSoakRegressions runs the seeds that failed in the past, with the causes of the failures.
func TestSoakRegressions(t *testing.T) {
	binaryFolder := buildPrograms(t)
	for seed, cause := range map[uint64]string{
		100: "the first heartbeat of a restarted upstream reset flows that were already open at the new incarnation",
		126: "an old leave message was attributed to a sidecar that had enrolled again; half-open flows were reset",
		143: "the same as for seed 100",
		148: "the same as for seed 100",
	} {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Log(cause)
			runSoak(t, newRegressionPlan(binaryFolder), seed)
		})
	}
}

// runSoak runs the callers and the random faults of one seed, and fails the test when there are violations.
func runSoak(t *testing.T, plan soakPlan, seed uint64) {
	is := is.New(t)
	f, err := NewFromConfig(plan.cfg)
	is.NoErr(err)
	t.Cleanup(f.Stop)
	for i := range soakBalancerCount {
		awaitAllUpstreamsReachable(t, f, i)
	}
	s := &soak{t: t, plan: plan, fleet: f, version: 1, runningUpstreams: map[string]bool{}}
	for i := range soakNodeCount {
		s.runningUpstreams[fmt.Sprintf("i-%d-1", i)] = true
	}
	random := rand.New(rand.NewPCG(seed, seed))
	faultsDone := make(chan struct{})
	var wg sync.WaitGroup
	for i := range soakCallerCount {
		wg.Go(func() { s.callRepeatedly(rand.New(rand.NewPCG(seed, uint64(i))), faultsDone) })
	}
	for range soakFaultCount {
		s.injectFault(random)
	}
	close(faultsDone)
	wg.Wait()
	s.checkState()
	is.Equal(s.violations, []string(nil))
}

// checkState checks that every sidecar is enrolled after the faults, and that a change of the configuration comes into force at
// every balancer.
func (s *soak) checkState() {
	s.version++
	s.fleet.SetRules(s.version, "none")
	s.sleep(max(inTouchAfter, rulesTimeLimit))
	for i := range soakBalancerCount {
		if canOpenFlow(s.fleet, i) {
			s.addViolation("balancer %d uses the old rules after the faults", i)
		}
	}
	for i := range soakNodeCount {
		if !isEnrolled(s.fleet, i) {
			s.addViolation("sidecar %d is not enrolled after the faults", i)
		}
	}
}

// addViolation records a violation, for which the run fails, and logs it with the time.
func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	violation := fmt.Sprintf(format, args...)
	s.t.Logf("%s %s", time.Now().UTC().Format(time.StampMicro), violation)
	s.violations = append(s.violations, violation)
}

// isRunning reports whether the upstream incarnation with this ID is running.
func (s *soak) isRunning(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runningUpstreams[id]
}

// callRepeatedly sends requests on a flow whose packets go through random balancers. When the flow ends, it opens another
// one. It returns after the end of the faults, or at an unexpected error.
func (s *soak) callRepeatedly(random *rand.Rand, faultsDone <-chan struct{}) {
	var mu sync.Mutex
	route := func() netip.AddrPort {
		mu.Lock()
		defer mu.Unlock()
		return s.fleet.RouteThrough(random.IntN(soakBalancerCount))()
	}
	for flowNumber := 0; ; flowNumber++ {
		flow, err := s.fleet.OpenFlow(route, requestTimeout)
		if err == nil {
			isFinished := s.useFlow(flow, flowNumber, faultsDone)
			flow.Close()
			if isFinished {
				return
			}
			continue
		}
		select {
		case <-faultsDone:
			if !s.canOpenFlow(route) {
				s.addViolation("no flow can be opened after the faults: %v", err)
			}
			return
		default:
		}
	}
}

// canOpenFlow reports whether a flow can be opened within recoveryTimeout.
func (s *soak) canOpenFlow(route endpoint.Route) bool {
	deadline := time.Now().Add(recoveryTimeout)
	for time.Now().Before(deadline) {
		if flow, err := s.fleet.OpenFlow(route, requestTimeout); err == nil {
			flow.Close()
			return true
		}
	}
	return false
}

// useFlow sends requests on a flow until the flow ends or an answer arrives after the end of the faults. It returns true
// when the caller is finished: an answer arrived or was awaited in vain after the faults, or an unexpected error occurred.
func (s *soak) useFlow(flow *endpoint.Flow, flowNumber int, faultsDone <-chan struct{}) bool {
	// expectedID is the ID of the upstream that has answered on the flow. It is empty before the first answer.
	expectedID := ""
	for requestNumber := 0; ; requestNumber++ {
		areFaultsDone := false
		select {
		case <-faultsDone:
			areFaultsDone = true
		default:
		}
		timeout := requestTimeout
		if areFaultsDone {
			timeout = recoveryTimeout
		}
		if s.plan.hasLateSyns && requestNumber%requestsPerLateSyn == 1 {
			flow.SendLateSyn()
		}
		request := fmt.Sprintf("request-%d-%d", flowNumber, requestNumber)
		answer, err := flow.SendRequest(request, timeout)
		upstreamID, echoed, _ := strings.Cut(answer, ":")
		switch {
		case errors.Is(err, endpoint.ErrReset):
			if expectedID != "" && s.isRunning(expectedID) {
				s.addViolation("flow %s of the running upstream %s was reset", flow.Name(), expectedID)
			}
			return false
		case errors.Is(err, endpoint.ErrTimeout):
			if areFaultsDone && s.isRunning(expectedID) {
				s.addViolation("flow of the running upstream %s gets no answer after the faults", expectedID)
			}
			return areFaultsDone
		case err != nil:
			s.addViolation("%v", err)
			return true
		case echoed != request || expectedID != "" && upstreamID != expectedID:
			s.addViolation("answer %q of upstream %s to request %q on a flow of upstream %s", echoed, upstreamID, request, expectedID)
		}
		expectedID = upstreamID
		if areFaultsDone {
			return true
		}
	}
}

// injectFault injects one random fault and waits for a random time of less than 800 ms.
func (s *soak) injectFault(random *rand.Rand) {
	pause := time.Duration(random.Int64N(int64(800 * time.Millisecond)))
	nodeIndex, balancerIndex := random.IntN(soakNodeCount), random.IntN(soakBalancerCount)
	kind := random.IntN(s.plan.faultKinds)
	s.copies = append(s.copies, datedCopy{s.fleet.Store().Copy(), time.Now()})
	s.t.Logf("%s fault %d, sidecar %d, balancer %d", time.Now().UTC().Format(time.StampMicro), kind, nodeIndex, balancerIndex)
	switch kind {
	case 0:
		s.fleet.KillSidecar(nodeIndex)
		s.addError(s.fleet.StartSidecar(nodeIndex))
	case 1:
		s.fleet.StopSidecar(nodeIndex)
		s.addError(s.fleet.StartSidecar(nodeIndex))
	case 2:
		s.suspend(s.fleet.nodes[nodeIndex].sidecar, random)
	case 3:
		s.fleet.balancers[balancerIndex].kill()
		s.addError(s.fleet.StartBalancer(balancerIndex))
	case 4:
		s.suspend(s.fleet.balancers[balancerIndex], random)
	case 5:
		s.crashUpstream(nodeIndex, s.fleet.StartUpstream)
	case 6:
		s.fleet.Store().SetUnavailable(true)
		s.sleep(pause)
		s.fleet.Store().SetUnavailable(false)
	case 7:
		s.fleet.Store().DropHistory()
		s.fleet.balancers[balancerIndex].signal(syscall.SIGHUP) // makes the balancer read its settings again
	case 8:
		s.restartWithLateHeartbeat(nodeIndex)
	case 9:
		s.crashWithLateHeartbeat(nodeIndex, pause)
	case 10:
		s.fleet.SilenceStore()
	case 11:
		s.drill(random)
	case 12:
		var drilled sync.WaitGroup
		drilled.Go(func() { s.drill(random) })
		s.sleep(pause)
		s.fleet.KillSidecar(nodeIndex)
		s.addError(s.fleet.StartSidecar(nodeIndex))
		s.fleet.balancers[balancerIndex].kill()
		s.addError(s.fleet.StartBalancer(balancerIndex))
		drilled.Wait()
	}
	s.sleep(pause)
}

// drill lets the store come back, after less than a second, from a copy that is at most maxCopyAge old. The operator repeats its
// lost changes, one of which was made just before, after less than a second.
func (s *soak) drill(random *rand.Rand) {
	recent := slices.DeleteFunc(s.copies, func(c datedCopy) bool { return time.Since(c.takenAt) > maxCopyAge })
	c := recent[random.IntN(len(recent))]
	away, rewriteDelay := time.Duration(random.Int64N(int64(time.Second))), time.Duration(random.Int64N(int64(time.Second)))
	s.t.Logf("copy of %s before, away %s, written again after %s", time.Since(c.takenAt), away, rewriteDelay)
	s.version++
	s.fleet.SetRulesWithRoutes(s.version, "desk", s.version)
	s.fleet.Store().Drill(c.Copy, away, rewriteDelay)
	s.copies = nil
}

// crashUpstream ends an upstream abruptly and starts its next incarnation, that is, the next run of the upstream, with the
// function start. No incarnation counts as running in between.
func (s *soak) crashUpstream(nodeIndex int, start func(int) error) {
	n := s.fleet.nodes[nodeIndex]
	s.mu.Lock()
	delete(s.runningUpstreams, fmt.Sprintf("i-%d-%d", nodeIndex, n.incarnations))
	s.mu.Unlock()
	s.fleet.CrashUpstream(nodeIndex)
	s.addError(start(nodeIndex))
	s.mu.Lock()
	s.runningUpstreams[fmt.Sprintf("i-%d-%d", nodeIndex, n.incarnations)] = true
	s.mu.Unlock()
}

// restartWithLateHeartbeat crashes an upstream and restarts its sidecar. The first heartbeat that reaches the new process
// of the sidecar is a late one of the crashed incarnation, unless the process does not accept it within requestTimeout.
func (s *soak) restartWithLateHeartbeat(nodeIndex int) {
	id, crashed := fmt.Sprintf("i-%d-%d", nodeIndex, s.fleet.nodes[nodeIndex].incarnations), s.fleet.Upstream(nodeIndex)
	s.crashUpstream(nodeIndex, s.fleet.StartUpstream)
	s.fleet.Upstream(nodeIndex).SetSilent(true)
	defer s.fleet.Upstream(nodeIndex).SetSilent(false)
	s.fleet.KillSidecar(nodeIndex)
	s.addError(s.fleet.StartSidecar(nodeIndex))
	for deadline := time.Now().Add(requestTimeout); time.Now().Before(deadline); s.sleep(endpoint.HeartbeatInterval / 4) {
		if _, err := s.fleet.PostHeartbeat(nodeIndex, id, crashed.Heartbeat(5)); err == nil {
			return
		}
	}
}

// crashWithLateHeartbeat crashes an upstream. The next incarnation sends no heartbeat while flows are opened at it for this
// time, and then a late one of the crashed incarnation arrives.
func (s *soak) crashWithLateHeartbeat(nodeIndex int, d time.Duration) {
	id, crashed := fmt.Sprintf("i-%d-%d", nodeIndex, s.fleet.nodes[nodeIndex].incarnations), s.fleet.Upstream(nodeIndex)
	s.crashUpstream(nodeIndex, s.fleet.StartSilentUpstream)
	defer s.fleet.Upstream(nodeIndex).SetSilent(false)
	s.sleep(d)
	// A sidecar that was started by the fault before may not listen yet.
	_, _ = s.fleet.PostHeartbeat(nodeIndex, id, crashed.Heartbeat(1000))
}

// suspend halts a process for a random time of less than the plan's maxSuspension.
func (s *soak) suspend(h *handle, random *rand.Rand) {
	h.signal(syscall.SIGSTOP)
	s.sleep(time.Duration(random.Int64N(int64(s.plan.maxSuspension))))
	h.signal(syscall.SIGCONT)
}

func (s *soak) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	<-timer.C
}

// addError records err as a violation unless it is nil.
func (s *soak) addError(err error) {
	if err != nil {
		s.addViolation("%v", err)
	}
}
