// Package traffic provides the clients of experiments and tests: feeds that are held open, single requests, a continuous
// load, and a recorder that checks whether confirmations ran at most once.
//
// A feed is a response that a stand-in upstream sends line by line until the client closes it. A confirmation is a request
// with an identifier that must not run twice; stand-in upstreams count how often they ran each.
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

// Feed is the client of one open feed. Every line carries its number and the upstream's instance name, so that lost and
// repeated lines and those of another upstream are detected.
type Feed struct {
	instance  string
	lineCount atomic.Int64
	cancel    context.CancelFunc
	ended     chan struct{}
	mu        sync.Mutex
	err       error
}

// OpenFeed opens a feed of the service at address. It returns trace.ConnectionProblem with the reason for the refusal when
// the status is not 200.
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
		ended:    make(chan struct{}),
	}
	go f.readLines(ctx, resp)
	return f, nil
}

// Instance returns the name of the upstream instance that serves the feed.
func (f *Feed) Instance() string {
	return f.instance
}

// LineCount returns the number of lines received so far. It includes the unexpected line if one ended the feed.
func (f *Feed) LineCount() int {
	return int(f.lineCount.Load())
}

// Err returns the error that ended the feed, or nil while the feed is open or when Close ended it.
func (f *Feed) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Close cancels the request and waits until the feed has ended.
func (f *Feed) Close() {
	f.cancel()
	<-f.ended
}

// readLines counts the lines of the response until it ends, and stops with an error at the first unexpected line.
func (f *Feed) readLines(ctx context.Context, resp *http.Response) {
	defer close(f.ended)
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		lineNumber := f.lineCount.Add(1)
		if expected := fmt.Sprintf("%d %s", lineNumber, f.instance); scanner.Text() != expected {
			f.setErr(trace.BadParameter("feed line is %q, expected %q", strings.TrimSpace(scanner.Text()), expected))
			return
		}
	}
	if ctx.Err() == nil {
		f.setErr(trace.ConnectionProblem(scanner.Err(), "feed of %s ended after %d lines", f.instance, f.LineCount()))
	}
}

func (f *Feed) setErr(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}
