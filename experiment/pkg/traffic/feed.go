// Package traffic is the clients of experiments: feeds held open, downloads, and confirmations.
package traffic

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// Feed is one feed that is held open.
type Feed struct {
	instance string
	count    atomic.Int64
	cancel   context.CancelFunc
	done     chan struct{}
	mu       sync.Mutex
	err      error
}

// OpenFeed opens a feed of the service at address. It returns an error when the feed is refused.
func OpenFeed(client *http.Client, address string) (*Feed, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/feed", http.NoBody)
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	resp, err := client.Do(r)
	if err != nil {
		cancel()
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		_ = resp.Body.Close()
		return nil, trace.ConnectionProblem(nil, "feed refused: %s", resp.Header.Get("Landing-Reason"))
	}
	f := &Feed{
		instance: resp.Header.Get("Upstream-Instance"),
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	go f.run(ctx, resp)
	return f, nil
}

// Instance returns the instance that serves the feed.
func (f *Feed) Instance() string {
	return f.instance
}

// Lines returns the number of lines received so far.
func (f *Feed) Lines() int {
	return int(f.count.Load())
}

// Err returns why the feed broke; nil while it runs or after Close.
func (f *Feed) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Close ends the feed and waits for its end.
func (f *Feed) Close() {
	f.cancel()
	<-f.done
}

func (f *Feed) run(ctx context.Context, resp *http.Response) {
	defer close(f.done)
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		next := f.count.Add(1)
		if wanted := fmt.Sprintf("%d %s", next, f.instance); scanner.Text() != wanted {
			f.fail(trace.BadParameter("line %q in place of %q", strings.TrimSpace(scanner.Text()), wanted))
			return
		}
	}
	if ctx.Err() == nil {
		f.fail(trace.ConnectionProblem(scanner.Err(), "feed of %s ended after %d lines", f.instance, f.Lines()))
	}
}

func (f *Feed) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}
