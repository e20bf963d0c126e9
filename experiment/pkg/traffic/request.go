package traffic

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// Result is what a caller learned of one confirmation.
type Result uint8

// Results.
const (
	// ResultRun says that the answer to the confirmation came whole.
	ResultRun Result = iota
	// ResultNotRun says that it was refused as not run.
	ResultNotRun
	// ResultUnknown says that nothing is known of it.
	ResultUnknown
	// ResultCrossed says that another confirmation's answer came.
	ResultCrossed
)

// Confirm sends a confirmation with this identifier and returns what the caller learned, and
// the reason when it was refused.
func Confirm(ctx context.Context, client *http.Client, address, id string) (Result, string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/confirm?id="+id, strings.NewReader(id))
	if err != nil {
		return ResultUnknown, err.Error()
	}
	resp, err := client.Do(r)
	if err != nil {
		return ResultUnknown, err.Error()
	}
	defer resp.Body.Close()
	if resp.Header.Get("Landing-Outcome") == "not-run" {
		return ResultNotRun, resp.Header.Get("Landing-Reason")
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ResultUnknown, resp.Status
	}
	if strings.TrimSpace(string(body)) != id {
		return ResultCrossed, string(body)
	}
	return ResultRun, ""
}

// Ping sends one idempotent request and returns the instance that answered; an empty
// one when the request was not answered, with the reason.
func Ping(ctx context.Context, client *http.Client, address string) (instance, reason string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ping", http.NoBody)
	if err != nil {
		return "", err.Error()
	}
	resp, err := client.Do(r)
	if err != nil {
		return "", "connection: " + err.Error()
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "", "broken"
	}
	if resp.StatusCode != http.StatusOK {
		return "", resp.Header.Get("Landing-Reason")
	}
	return resp.Header.Get("Upstream-Instance"), ""
}

// Timeout returns a context that ends after d.
func Timeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
