package traffic

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Sample is one idempotent request of a load.
type Sample struct {
	at       time.Duration
	took     time.Duration
	instance string
	reason   string
}

// At returns when the request began, from the start of the load.
func (s Sample) At() time.Duration {
	return s.at
}

// Took returns how long the caller waited.
func (s Sample) Took() time.Duration {
	return s.took
}

// Instance returns the instance that answered; empty when none did.
func (s Sample) Instance() string {
	return s.instance
}

// Reason returns why the request was not answered; empty when it was.
func (s Sample) Reason() string {
	return s.reason
}

// Load is a number of callers that send one request after another until it is stopped.
type Load struct {
	start   time.Time
	cancel  context.CancelFunc
	callers sync.WaitGroup
	mu      sync.Mutex
	samples []Sample
}

// StartLoad starts this number of callers against the service at address. Each
// pauses between two requests. The client of each caller comes from newClient.
func StartLoad(address string, callers int, pause time.Duration, newClient func(caller int) *http.Client) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{start: time.Now(), cancel: cancel}
	for i := range callers {
		l.callers.Go(func() { l.call(ctx, newClient(i), address, pause) })
	}
	return l
}

// Stop stops all callers and returns the samples in the order of their ends.
func (l *Load) Stop() []Sample {
	l.cancel()
	l.callers.Wait()
	return l.samples
}

// Len returns the number of requests that have ended.
func (l *Load) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.samples)
}

func (l *Load) call(ctx context.Context, client *http.Client, address string, pause time.Duration) {
	for ctx.Err() == nil {
		begin := time.Now()
		instance, reason := Ping(ctx, client, address)
		if ctx.Err() != nil {
			return
		}
		l.add(Sample{at: begin.Sub(l.start), took: time.Since(begin), instance: instance, reason: reason})
		if !wait(ctx, pause) {
			return
		}
	}
}

func (l *Load) add(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
