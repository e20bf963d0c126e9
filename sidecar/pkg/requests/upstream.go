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

const copyBufferBytes = 32 << 10

// hopHeaders are the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// upstream sends requests to the local upstream, each on a connection of its own. So no answer can be
// taken for that of another request, and the transport of the library never sends a request twice.
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

// send sends the request once. The answer is nil unless the outcome is Answered.
func (u *upstream) send(r *http.Request, body *requestBody) (*upstreamResponse, landing.RequestOutcome) {
	ctx, cancel := context.WithCancel(r.Context())
	timer := time.AfterFunc(u.timeout, cancel)
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	response, err := u.transport.RoundTrip(u.outgoingRequest(traced, r, body))
	inTime := timer.Stop()
	if err == nil && inTime && !isShed(response) {
		return &upstreamResponse{response: response, cancel: cancel}, landing.ResponseStarted{}
	}
	cancel()
	if response != nil {
		_ = response.Body.Close()
	}
	return nil, outcomeOf(r, response, connected, inTime)
}

func outcomeOf(r *http.Request, response *http.Response, connected, inTime bool) landing.RequestOutcome {
	if r.Context().Err() != nil {
		return landing.CallerCanceled{}
	}
	if !connected {
		return landing.RequestUnsent{}
	}
	if response != nil && inTime && isShed(response) {
		return landing.RequestShed{}
	}
	return landing.ResponseLost{}
}

// isShed says whether the upstream refused the request without running it.
func isShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
}

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

// answer is the answer of the upstream to one request.
type upstreamResponse struct {
	response *http.Response
	cancel   context.CancelFunc
}

func (a *upstreamResponse) close() {
	a.cancel()
	_ = a.response.Body.Close()
}

func (a *upstreamResponse) copyHeader(to http.Header) {
	removeHopByHopHeaders(a.response.Header)
	for name, values := range a.response.Header {
		to[name] = values
	}
}

// copyBody passes on each part of the body as it comes, so that feeds are not held back.
// It returns an error when the body breaks off or the caller is gone.
func (a *upstreamResponse) copyBody(w http.ResponseWriter) error {
	controller := http.NewResponseController(w)
	if err := controller.Flush(); err != nil {
		return err
	}
	b := make([]byte, copyBufferBytes)
	for {
		n, err := a.response.Body.Read(b)
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
