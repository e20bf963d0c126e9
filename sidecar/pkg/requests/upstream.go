package requests

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/probe"
)

// copyBufferBytes is the length of the buffer through which the body of a response is copied.
const copyBufferBytes = 32 << 10

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// upstream sends requests to the upstream on the same instance, each on a connection of its own. So no
// response can be mistaken for that of another request, and http.Transport never sends a request a second
// time by itself.
type upstream struct {
	address   string
	timeout   time.Duration
	transport *http.Transport
}

func newUpstream(s landing.SidecarSettings) *upstream {
	dialer := &net.Dialer{Timeout: s.Deadline(), KeepAliveConfig: probe.KeepAliveConfig(s.Keepalive())}
	return &upstream{
		address: s.Upstream(),
		timeout: s.Deadline(),
		transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// send sends the request once. The response is nil unless the outcome is ResponseStarted.
func (u *upstream) send(r *http.Request, body *requestBody) (*upstreamResponse, landing.RequestOutcome) {
	ctx, cancel := context.WithCancel(r.Context())
	timer := time.AfterFunc(u.timeout, cancel)
	isConnected := false
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { isConnected = true },
	})
	response, err := u.transport.RoundTrip(u.outgoingRequest(tracedCtx, r, body))
	isInTime := timer.Stop()
	if err == nil && isInTime && !isShed(response) {
		return &upstreamResponse{response: response, cancel: cancel}, landing.ResponseStarted{}
	}
	cancel()
	if response != nil {
		_ = response.Body.Close()
	}
	return nil, outcomeOf(r, response, isConnected, isInTime)
}

// outcomeOf returns the outcome of an attempt without a usable response. isConnected means that a
// connection to the upstream was established, and isInTime that the attempt ended before the timeout.
func outcomeOf(r *http.Request, response *http.Response, isConnected, isInTime bool) landing.RequestOutcome {
	if r.Context().Err() != nil {
		return landing.CallerCanceled{}
	}
	if !isConnected {
		return landing.RequestUnsent{}
	}
	if response != nil && isInTime && isShed(response) {
		return landing.RequestShed{}
	}
	return landing.ResponseLost{}
}

// isShed reports whether the upstream refused the request because of overload and did not run it.
func isShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
}

// outgoingRequest returns the request to the upstream that corresponds to the caller's request r.
func (u *upstream) outgoingRequest(ctx context.Context, r *http.Request, body *requestBody) *http.Request {
	out := r.Clone(ctx)
	out.URL = &url.URL{Scheme: "http", Host: u.address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	out.Host = r.Host
	out.RequestURI = ""
	out.Close = true
	removeHopByHopHeaders(out.Header)
	out.Body = body.reader()
	out.GetBody = nil
	return out
}

func removeHopByHopHeaders(h http.Header) {
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// upstreamResponse is the response of the upstream to one request. close must be called.
type upstreamResponse struct {
	response *http.Response
	cancel   context.CancelFunc
}

func (r *upstreamResponse) close() {
	r.cancel()
	_ = r.response.Body.Close()
}

// copyHeader copies the headers to those of the response to the caller, except for the hop-by-hop headers.
func (r *upstreamResponse) copyHeader(to http.Header) {
	removeHopByHopHeaders(r.response.Header)
	for name, values := range r.response.Header {
		to[name] = values
	}
}

// copyBody passes on each part of the body as it arrives, so that streamed responses are not delayed. It
// returns an error when the body breaks off or the caller has closed its connection.
func (r *upstreamResponse) copyBody(w http.ResponseWriter) error {
	controller := http.NewResponseController(w)
	if err := controller.Flush(); err != nil {
		return err
	}
	b := make([]byte, copyBufferBytes)
	for {
		n, err := r.response.Body.Read(b)
		if n > 0 {
			if _, err := w.Write(b[:n]); err != nil {
				return err
			}
			if err := controller.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
