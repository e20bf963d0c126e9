// Package client runs ordinary HTTP clients against a deployment and prints their results.
package client

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

const (
	// readyTimeout limits the wait until the services respond.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 200 * time.Millisecond
	// requestTimeout limits the time from sending a request to the end of its response.
	requestTimeout = 40 * time.Second
	// columnPadding is the number of spaces between the columns of the printed table.
	columnPadding = 2
)

// Targets holds the TCP addresses of the services that the clients connect to.
type Targets struct {
	requests string
	download string
	refused  string
}

// NewTargets returns the targets with the addresses for confirmations and feeds, for downloads, and of a service that the
// caller's plan does not allow.
func NewTargets(requests, download, refused string) Targets {
	return Targets{requests: requests, download: download, refused: refused}
}

// outcome tells what one client did: a description of its result, or the error if it failed.
type outcome struct {
	client   string
	result   string
	duration time.Duration
	err      error
}

// Run waits until the services respond, runs all clients once and prints a table of their results to w. The feed has
// feedLines lines and is open while the other clients run. Run returns an error if a service does not respond in time or
// a client fails.
func Run(ctx context.Context, w io.Writer, t Targets, feedLines int) error {
	if err := awaitReady(ctx, t); err != nil {
		return err
	}
	feed := make(chan outcome, 1)
	go func() {
		feed <- measure("feed held open", func() (string, error) { return readFeed(ctx, t.requests, feedLines) })
	}()
	outcomes := []outcome{
		measure("confirmation", func() (string, error) { return confirm(ctx, t.requests) }),
		measure("pack download", func() (string, error) { return download(ctx, t.download) }),
		measure("service not granted", func() (string, error) { return expectRefusal(ctx, t.refused) }),
	}
	outcomes = append(outcomes, <-feed)
	return printOutcomes(w, outcomes)
}

// measure runs a client and returns its result with the time that it took.
func measure(client string, run func() (string, error)) outcome {
	start := time.Now()
	result, err := run()
	return outcome{client: client, result: result, duration: time.Since(start), err: err}
}

// printOutcomes prints a table of the results and returns the errors of the clients that failed.
func printOutcomes(out io.Writer, outcomes []outcome) error {
	w := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(w, "CLIENT\tRESULT\tSECONDS")
	var errs []error
	for _, o := range outcomes {
		result := o.result
		if o.err != nil {
			result = "FAILED: " + o.err.Error()
			errs = append(errs, o.err)
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\n", o.client, result, o.duration.Seconds())
	}
	_ = w.Flush()
	return trace.NewAggregate(errs...)
}

// awaitReady waits until both the service for requests and the one for downloads respond to a ping.
func awaitReady(ctx context.Context, t Targets) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range []string{t.requests, t.download} {
		for {
			if err := ping(ctx, address); err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return trace.ConnectionProblem(nil, "%s does not respond to /ping", address)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// readFeed reads a feed, a stream of numbered lines, to its end. It returns an error if a line is missing or out of
// order.
func readFeed(ctx context.Context, address string, lines int) (string, error) {
	resp, err := sendRequest(ctx, http.MethodGet, address, fmt.Sprintf("/feed?lines=%d", lines))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	count := 0
	for scanner.Scan() {
		count++
		if !strings.HasPrefix(scanner.Text(), fmt.Sprintf("%d ", count)) {
			return "", trace.BadParameter("line %d is %q", count, scanner.Text())
		}
	}
	if count != lines {
		return "", trace.ConnectionProblem(scanner.Err(), "feed ended after %d of %d lines", count, lines)
	}
	return fmt.Sprintf("%d lines from %s", count, resp.Header.Get("Upstream-Instance")), nil
}

// confirm sends one confirmation, a request with an effect that must not happen twice, with a new identifier. It returns
// an error if the response has another identifier.
func confirm(ctx context.Context, address string) (string, error) {
	id := fmt.Sprintf("demo-%d", time.Now().UnixNano())
	resp, err := sendRequest(ctx, http.MethodPost, address, "/confirm?id="+id)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if strings.TrimSpace(string(body)) != id {
		return "", trace.BadParameter("response is for the confirmation %q", body)
	}
	return "run by " + resp.Header.Get("Upstream-Instance"), nil
}

// download downloads the pack, a file that is the same in all upstreams. It returns an error if the content does not
// match the hash in the response header.
func download(ctx context.Context, address string) (string, error) {
	resp, err := sendRequest(ctx, http.MethodGet, address, "/pack")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	h := sha256.New()
	n, err := io.Copy(h, resp.Body)
	if err != nil {
		return "", err
	}
	if hex.EncodeToString(h.Sum(nil)) != resp.Header.Get("Pack-Hash") {
		return "", trace.BadParameter("the %d downloaded bytes do not match the hash in the header", n)
	}
	return fmt.Sprintf("%d bytes, hash is right", n), nil
}

// expectRefusal pings a service that the caller's plan does not allow. It returns an error if the service responds.
func expectRefusal(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if err := ping(ctx, address); err == nil {
		return "", trace.BadParameter("a service that the plan does not allow was reached")
	}
	return "refused", nil
}

// ping sends a GET of /ping and discards the body of the response.
func ping(ctx context.Context, address string) error {
	resp, err := sendRequest(ctx, http.MethodGet, address, "/ping")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// sendRequest sends a request on a connection of its own and returns the response, whose body the caller must close. It
// returns trace.ConnectionProblem if the status is not 200. The request and the reading of the body together are limited
// by requestTimeout.
func sendRequest(ctx context.Context, method, address, path string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		cancel()
		return nil, err
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		cancel()
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		cancel()
		return nil, trace.ConnectionProblem(nil, "%s %s: %s, outcome %s, reason %s", method, path, resp.Status, resp.Header.Get("Landing-Outcome"), resp.Header.Get("Landing-Reason"))
	}
	return resp, nil
}
