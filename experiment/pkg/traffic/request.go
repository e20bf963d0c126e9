package traffic

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// Result is the outcome of one confirmation as its caller sees it.
type Result uint8

// Results of a confirmation.
const (
	// ResultConfirmed means that the complete response with the identifier arrived, so the confirmation ran.
	ResultConfirmed Result = iota
	// ResultNotRun means that the confirmation was refused with the assurance that it did not run.
	ResultNotRun
	// ResultUnknown means that the call failed, so the confirmation may or may not have run.
	ResultUnknown
	// ResultMismatched means that a response with a body other than the identifier arrived, such as the response to another
	// confirmation.
	ResultMismatched
)

// Confirm sends the confirmation id to the service at address. It returns the result and, unless that is
// ResultConfirmed, a detail: the reason for the refusal, the error, the status or the unexpected response.
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
		return ResultMismatched, string(body)
	}
	return ResultConfirmed, ""
}

// Ping sends one idempotent request to the service at address. It returns the name of the upstream instance that
// answered and an empty reason, or an empty name and the reason for the failure.
func Ping(ctx context.Context, client *http.Client, address string) (instance, failureReason string) {
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

// ContextWithTimeout returns a context that ends after timeout. It has no parent context.
func ContextWithTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}
