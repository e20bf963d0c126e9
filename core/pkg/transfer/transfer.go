// Package transfer sends HTTP requests whose time limit follows the progress of the response. A large response over a link
// of low bandwidth takes longer than any time after which a process that does not respond should be given up.
package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// maxBodyTime limits the time that a body takes, whatever its progress. It exceeds the times within which a change of the
// routing rules must be in force (3 to 6 s).
const maxBodyTime = 10 * time.Second

// ErrNoResponse is the error of Do if no header of a response came within the limit.
var ErrNoResponse = trace.LimitExceeded("no response in time")

// Limits are the limits of a transfer.
type Limits struct {
	// Response limits the time until the header of the response.
	Response time.Duration
	// Stall limits the time without any byte of the body.
	Stall time.Duration
	// Bytes limits the length of the body.
	Bytes int64
}

// Response is a response with its whole body.
type Response struct {
	// Status is the status code; 0 if there was no response.
	Status int
	Header http.Header
	Body   []byte
}

// Do sends the request and returns the response. If the body cannot be read, Do returns an error together with the status
// and the header. The error is trace.LimitExceeded if a limit was exceeded.
func Do(client *http.Client, request *http.Request, limits Limits) (Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	timer := time.AfterFunc(limits.Response, func() { cancel(trace.Wrap(fmt.Errorf("%w: %s", ErrNoResponse, limits.Response))) })
	defer timer.Stop()
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return Response{}, causeOf(ctx, err)
	}
	defer response.Body.Close()
	timer.Stop()
	stall := time.AfterFunc(limits.Stall, func() { cancel(trace.LimitExceeded("no byte of the response for %s", limits.Stall)) })
	defer stall.Stop()
	total := time.AfterFunc(maxBodyTime, func() { cancel(trace.LimitExceeded("response takes longer than %s", maxBodyTime)) })
	defer total.Stop()
	r := Response{Status: response.StatusCode, Header: response.Header}
	body, err := io.ReadAll(io.LimitReader(progressReader{response.Body, stall, limits.Stall}, limits.Bytes+1))
	if err != nil {
		return r, causeOf(ctx, err)
	}
	if int64(len(body)) > limits.Bytes {
		return r, trace.LimitExceeded("response has more than %d bytes", limits.Bytes)
	}
	r.Body = body
	return r, nil
}

// causeOf returns the limit that ended the transfer, or err if there is none.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, ErrNoResponse) || trace.IsLimitExceeded(cause) {
		return cause
	}
	return trace.Wrap(err)
}

// progressReader restarts a timer at each read that returns data.
type progressReader struct {
	io.Reader
	timer *time.Timer
	stall time.Duration
}

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && err == nil {
		r.timer.Reset(r.stall)
	}
	return n, err // io.EOF must not be wrapped
}
