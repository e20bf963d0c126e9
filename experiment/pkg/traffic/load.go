package traffic

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Sample is the outcome of one request of a Load.
type Sample struct {
	startOffset   time.Duration
	latency       time.Duration
	instance      string
	failureReason string
}

// StartOffset returns the time from the start of the load to the start of the request.
func (s Sample) StartOffset() time.Duration {
	return s.startOffset
}

// Latency returns the time from the start of the request to its response or failure.
func (s Sample) Latency() time.Duration {
	return s.latency
}

// Instance returns the name of the upstream instance that answered. It is empty when the request failed.
func (s Sample) Instance() string {
	return s.instance
}

// FailureReason returns why the request failed. It is empty when the request was answered.
func (s Sample) FailureReason() string {
	return s.failureReason
}

// Load is a fixed number of concurrent callers. Until Stop, each sends requests one after another, with a pause after the
// end of each.
type Load struct {
	startedAt time.Time
	cancel    context.CancelFunc
	callers   sync.WaitGroup
	mu        sync.Mutex
	samples   []Sample
}

// StartLoad starts a load on the service at address with this number of callers and this pause between two requests of a
// caller. newClient returns the HTTP client of a caller; callers are numbered from 0.
func StartLoad(address string, callers int, pause time.Duration, newClient func(caller int) *http.Client) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{startedAt: time.Now(), cancel: cancel}
	for i := range callers {
		l.callers.Go(func() { l.sendRequests(ctx, newClient(i), address, pause) })
	}
	return l
}

// Stop stops all callers and returns the samples in the order in which the requests ended. Requests that Stop
// interrupted are left out.
func (l *Load) Stop() []Sample {
	l.cancel()
	l.callers.Wait()
	return l.samples
}

// CompletedCount returns the number of requests that have ended, answered or failed.
func (l *Load) CompletedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.samples)
}

func (l *Load) sendRequests(ctx context.Context, client *http.Client, address string, pause time.Duration) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		instance, reason := Ping(ctx, client, address)
		if ctx.Err() != nil {
			return
		}
		l.add(Sample{startOffset: startedAt.Sub(l.startedAt), latency: time.Since(startedAt), instance: instance, failureReason: reason})
		if !sleep(ctx, pause) {
			return
		}
	}
}

func (l *Load) add(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

// sleep waits for d. It returns false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
