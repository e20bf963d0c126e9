// Package client runs ordinary HTTP clients against a deployment and prints what happened.
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
	readyTime     = 30 * time.Second
	readyInterval = 200 * time.Millisecond
	requestTime   = 40 * time.Second
	columnGap     = 2
)

// Targets are the TCP addresses that the clients call.
type Targets struct {
	requests string
	download string
	refused  string
}

// NewTargets returns the addresses for requests and feeds, for downloads, and one at which
// the plan grants nothing.
func NewTargets(requests, download, refused string) Targets {
	return Targets{requests: requests, download: download, refused: refused}
}

// row is what happened to one client.
type row struct {
	what   string
	result string
	took   time.Duration
	err    error
}

// Run runs all clients once and prints a table to w. It returns an error when one of them failed.
func Run(ctx context.Context, w io.Writer, t Targets, feedLines int) error {
	if err := awaitReady(ctx, t); err != nil {
		return err
	}
	feed := make(chan row, 1)
	go func() {
		feed <- measure("feed held open", func() (string, error) { return holdFeed(ctx, t.requests, feedLines) })
	}()
	rows := []row{
		measure("confirmation", func() (string, error) { return confirm(ctx, t.requests) }),
		measure("pack download", func() (string, error) { return download(ctx, t.download) }),
		measure("service not granted", func() (string, error) { return expectRefusal(ctx, t.refused) }),
	}
	rows = append(rows, <-feed)
	return printRows(w, rows)
}

func measure(what string, do func() (string, error)) row {
	start := time.Now()
	result, err := do()
	return row{what: what, result: result, took: time.Since(start), err: err}
}

func printRows(out io.Writer, rows []row) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, "CLIENT\tRESULT\tSECONDS")
	var errs []error
	for _, r := range rows {
		result := r.result
		if r.err != nil {
			result = "FAILED: " + r.err.Error()
			errs = append(errs, r.err)
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\n", r.what, result, r.took.Seconds())
	}
	_ = w.Flush()
	return trace.NewAggregate(errs...)
}

// awaitReady waits until both services answer.
func awaitReady(ctx context.Context, t Targets) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for _, address := range []string{t.requests, t.download} {
		for {
			if err := ping(ctx, address); err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return trace.ConnectionProblem(nil, "%s does not answer", address)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

func holdFeed(ctx context.Context, address string, lines int) (string, error) {
	resp, err := do(ctx, http.MethodGet, address, fmt.Sprintf("/feed?lines=%d", lines))
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

func confirm(ctx context.Context, address string) (string, error) {
	id := fmt.Sprintf("demo-%d", time.Now().UnixNano())
	resp, err := do(ctx, http.MethodPost, address, "/confirm?id="+id)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if strings.TrimSpace(string(body)) != id {
		return "", trace.BadParameter("answer belongs to %q", body)
	}
	return "run by " + resp.Header.Get("Upstream-Instance"), nil
}

func download(ctx context.Context, address string) (string, error) {
	resp, err := do(ctx, http.MethodGet, address, "/pack")
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
		return "", trace.BadParameter("the hash of %d bytes is wrong", n)
	}
	return fmt.Sprintf("%d bytes, hash is right", n), nil
}

func expectRefusal(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if err := ping(ctx, address); err == nil {
		return "", trace.BadParameter("a service that the plan does not grant was reached")
	}
	return "refused", nil
}

func ping(ctx context.Context, address string) error {
	resp, err := do(ctx, http.MethodGet, address, "/ping")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func do(ctx context.Context, method, address, path string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
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
