package relayed

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/platform/standin/endpoint"
)

const (
	// openTimeout is the time after the first copy of a SYN at which a caller abandons the flow.
	openTimeout = 1400 * time.Millisecond
	// maxAttempts is the number of flows that a caller tries to open for one request.
	maxAttempts = 3
)

// result is the result of one caller's request.
type result struct {
	request string
	elapsed time.Duration
	// refusals are the times from the first copy of a SYN to its refusal, one for each refused attempt.
	refusals []time.Duration
	// abandoned is the number of flows that the caller abandoned after openTimeout without a response.
	abandoned int
	// isAnswered reports whether the right answer has arrived.
	isAnswered bool
	// err is the error with which a flow ended on which the request was sent, if any. The caller does not repeat such a
	// request.
	err error
}

// isRefused reports whether the last attempt was refused.
func (r result) isRefused() bool {
	return !r.isAnswered && r.err == nil && len(r.refusals) > 0 && len(r.refusals)+r.abandoned == maxAttempts
}

// callers sends requests to a fleet, each with its own text and on a new flow. Its methods may be called from several
// goroutines.
type callers struct {
	fleet   *Fleet
	timeout time.Duration
	wg      sync.WaitGroup
	mu      sync.Mutex
	started int
	results []result
}

// start lets this number of callers send one request each at the same time, along the route that the function returns for
// the number of the caller.
func (c *callers) start(count int, route func(caller int) endpoint.Route) {
	for range count {
		c.mu.Lock()
		number := c.started
		c.started++
		c.mu.Unlock()
		c.wg.Go(func() {
			r := c.call(fmt.Sprintf("request-%d", number), route(number))
			c.mu.Lock()
			defer c.mu.Unlock()
			c.results = append(c.results, r)
		})
	}
}

// call sends one request within the timeout, with up to maxAttempts flows.
func (c *callers) call(request string, route endpoint.Route) result {
	startedAt := time.Now()
	r := result{request: request}
	for range maxAttempts {
		left := c.timeout - time.Since(startedAt)
		attemptedAt := time.Now()
		flow, err := c.fleet.OpenFlow(route, min(openTimeout, left))
		switch {
		case errors.Is(err, endpoint.ErrReset):
			r.refusals = append(r.refusals, time.Since(attemptedAt))
			continue
		case errors.Is(err, endpoint.ErrTimeout):
			r.abandoned++
			continue
		case err != nil:
			r.err = err
			return r
		}
		defer flow.Close()
		answer, err := flow.SendRequest(request, c.timeout-time.Since(startedAt))
		r.elapsed, r.err = time.Since(startedAt), err
		r.isAnswered = err == nil && len(answer) >= len(request) && answer[len(answer)-len(request):] == request
		return r
	}
	return r
}

// wait returns the results of all callers that were started.
func (c *callers) wait() []result {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.results)
}

// checkEnded fails the test unless each request was answered or refused within the timeout and was processed at most once.
func checkEnded(t *testing.T, f *Fleet, results []result) {
	t.Helper()
	answered, refused, abandoned := 0, 0, 0
	for _, r := range results {
		abandoned += r.abandoned
		switch {
		case r.isAnswered:
			answered++
		case r.isRefused():
			refused++
		default:
			t.Errorf("%s has neither an answer nor a refusal: %d refusals, %d flows abandoned, error %v", r.request, len(r.refusals), r.abandoned, r.err)
		}
		if runs := f.Runs(r.request); runs > 1 {
			t.Errorf("%s was processed %d times", r.request, runs)
		}
	}
	t.Logf("%d requests: %d answered, %d refused; %d flows abandoned", len(results), answered, refused, abandoned)
}

// startFleetWith starts the deployment that cfg describes, waits until all upstreams are reachable through each balancer,
// and stops it after the test.
func startFleetWith(t *testing.T, cfg Config) *Fleet {
	is := is.New(t)
	f, err := NewFromConfig(cfg)
	is.NoErr(err)
	t.Cleanup(f.Stop)
	for i := range f.nodes {
		await(t, "the sidecar knows the slots", func() bool { return f.Upstream(i).AcknowledgedSlots() > 0 })
	}
	for i := range f.balancers {
		awaitAllUpstreamsReachable(t, f, i)
	}
	return f
}

// through returns the route for callers whose packets all go to balancer number i.
func through(f *Fleet, i int) func(int) endpoint.Route {
	return func(int) endpoint.Route { return f.RouteThrough(i) }
}
