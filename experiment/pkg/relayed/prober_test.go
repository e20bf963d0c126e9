package relayed

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/platform/standin/endpoint"
)

const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
	// revertSlack is the time after which a process that has applied a version may not apply an older one.
	revertSlack = 250 * time.Millisecond
)

// probe is a request on a flow of its own and what became of it.
type probe struct {
	balancer int
	// incarnation is the number of restarts of the balancer before the probe.
	incarnation       int32
	sentAt, handledAt time.Time
	isRefused         bool
	// upstreamID is the ID of the upstream that has answered; empty if none has.
	upstreamID string
}

// isServed reports whether an upstream has answered the probe.
func (p probe) isServed() bool { return p.upstreamID != "" }

// isServedInZoneA reports whether an upstream in the zone a has answered. These have even numbers.
func (p probe) isServedInZoneA() bool {
	number, _, _ := strings.Cut(strings.TrimPrefix(p.upstreamID, "i-"), "-")
	return number != "" && (number[len(number)-1]-'0')%2 == 0
}

// prober sends probes through each balancer of a fleet.
type prober struct {
	fleet    *Fleet
	restarts []atomic.Int32
	stopping chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	probes   []probe
}

// startProber starts a prober, which ends with the test or when its probes are read.
func startProber(t *testing.T, f *Fleet) *prober {
	p := &prober{fleet: f, restarts: make([]atomic.Int32, len(f.balancers)), stopping: make(chan struct{})}
	for i := range f.balancers {
		p.wg.Go(func() { p.run(i) })
	}
	t.Cleanup(p.stop)
	return p
}

func (p *prober) stop() {
	select {
	case <-p.stopping:
	default:
		close(p.stopping)
	}
	p.wg.Wait()
}

func (p *prober) run(balancer int) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopping:
			return
		case <-ticker.C:
		}
		result := p.send(balancer)
		p.mu.Lock()
		p.probes = append(p.probes, result)
		p.mu.Unlock()
	}
}

func (p *prober) send(balancer int) probe {
	result := probe{balancer: balancer, incarnation: p.restarts[balancer].Load(), sentAt: time.Now()}
	flow, err := p.fleet.OpenFlow(p.fleet.RouteThrough(balancer), probeTimeout)
	if err == nil {
		defer flow.Close()
		var answer string
		answer, err = flow.SendRequest("probe", probeTimeout)
		result.upstreamID, _, _ = strings.Cut(answer, ":")
	}
	result.isRefused = errors.Is(err, endpoint.ErrReset)
	result.handledAt = time.Now()
	return result
}

// restartBalancer stops a balancer with a planned stop and starts it again.
func (p *prober) restartBalancer(t *testing.T, i int) {
	is := is.New(t)
	p.fleet.StopBalancer(i)
	p.restarts[i].Add(1)
	is.NoErr(p.fleet.StartBalancer(i))
}

// await waits until the last probe through each balancer meets a condition.
func (p *prober) await(t *testing.T, condition string, isMet func(probe) bool) {
	t.Helper()
	start := time.Now()
	await(t, condition, func() bool {
		met := map[int]bool{}
		for _, probe := range p.since(start) {
			met[probe.balancer] = isMet(probe)
		}
		for i := range p.fleet.balancers {
			if !met[i] {
				return false
			}
		}
		return true
	})
}

// since returns the probes that were sent from the given time on, ordered by that time.
func (p *prober) since(start time.Time) []probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	probes := slices.DeleteFunc(slices.Clone(p.probes), func(probe probe) bool { return probe.sentAt.Before(start) })
	slices.SortFunc(probes, func(a, b probe) int { return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano()) })
	return probes
}

// checkInForce fails the test if a probe that was sent after the deadline was handled as before a change, or if none that
// was sent through a balancer after it was handled as the change demands. It stops the prober.
func (p *prober) checkInForce(t *testing.T, isBefore, isAfter func(probe) bool, deadline time.Time) {
	t.Helper()
	p.stop()
	before, after := map[int]int{}, map[int]int{}
	for _, probe := range p.since(deadline) {
		if isBefore(probe) {
			before[probe.balancer]++
		}
		if isAfter(probe) {
			after[probe.balancer]++
		}
	}
	for i := range p.fleet.balancers {
		if before[i] > 0 || after[i] == 0 {
			t.Errorf("balancer %d: after the deadline %d probes were handled as before the change and %d as after it", i, before[i], after[i])
		}
	}
}

// checkNotReverted fails the test if a process of a balancer that has applied a change goes back. It stops the prober.
func (p *prober) checkNotReverted(t *testing.T, isBefore, isAfter func(probe) bool, ackedAt time.Time) {
	t.Helper()
	p.stop()
	type process struct {
		balancer    int
		incarnation int32
	}
	appliedAt, reverted := map[process]time.Time{}, map[process]int{}
	for _, probe := range p.since(ackedAt) {
		id := process{probe.balancer, probe.incarnation}
		at, hasApplied := appliedAt[id]
		switch {
		case isAfter(probe) && !hasApplied:
			appliedAt[id] = probe.handledAt
		case isBefore(probe) && hasApplied && probe.sentAt.After(at.Add(revertSlack)):
			reverted[id]++
		}
	}
	for id, count := range reverted {
		t.Errorf("balancer %d after %d restarts: %d probes were handled as before the change after it had been applied", id.balancer, id.incarnation, count)
	}
}
