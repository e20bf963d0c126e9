package requests

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/retry"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/flows"
	"github.com/crocuslanding/crocuslanding/sidecar/pkg/gate"
)

// rawUpstream reads one request per connection, writes a fixed response after a delay and closes the
// connection.
type rawUpstream struct {
	listener     net.Listener
	response     string
	delay        time.Duration
	requestCount atomic.Int32
}

func newRawUpstream(t *testing.T, response string, delay time.Duration) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{listener: listener, response: response, delay: delay}
	t.Cleanup(func() { _ = listener.Close() })
	go u.run()
	return u
}

func (u *rawUpstream) run() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serve(c)
	}
}

func (u *rawUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	u.requestCount.Add(1)
	timer := time.NewTimer(u.delay)
	<-timer.C
	_, _ = c.Write([]byte(u.response))
}

func newHandler(address string, decide DecideFunc) *Handler {
	s := landing.SidecarSettings{}.
		WithUpstream(address).
		WithDeadline(300 * time.Millisecond).
		WithKeepalive(time.Second)
	c := common.New(logr.Discard(), counter.New())
	return New(c, s, gate.New(8, time.Second), flows.New(), decide) // 8 slots, at most 1 s in the queue
}

// call serves one request with an empty body. isReset reports whether the caller's connection was reset. The
// request has the header Idempotency-Key, since http.Transport may send a request with this header a second
// time by itself, also a POST. The value of the header has no meaning.
func call(h *Handler, method string) (response *httptest.ResponseRecorder, isReset bool) {
	conn := &callerConn{customer: "firm"}
	ctx := context.WithValue(context.Background(), connKey{}, conn)
	r := httptest.NewRequestWithContext(ctx, method, "/confirm?id=1", http.NoBody)
	r.Header.Set("Idempotency-Key", "http.Transport repeats requests with this header")
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }()
		h.ServeHTTP(w, r)
	}()
	return w, conn.resetOnClose.Load()
}

// In this test and the next two, the upstream closes the connection without a response.
func TestServeHTTPReportsUnknownOutcomeOfPostWithLostResponse(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "", 0)
	w, _ := call(newHandler(u.listener.Addr().String(), retry.Decide), http.MethodPost)
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(w.Header().Get(outcomeHeader), outcomeUnknown)
	is.Equal(u.requestCount.Load(), int32(1))
}

// The decision of this test is faulty: it treats a POST as idempotent, so the handler sends the POST again.
// This shows that the test above detects such a fault.
func TestServeHTTPRetriesPostWithLostResponseOnFaultyDecision(t *testing.T) {
	is := is.New(t)
	faulty := func(outcome landing.RequestOutcome, input landing.RetryInput) landing.RequestAction {
		return retry.Decide(outcome, input.WithIdempotent(true).WithReplayable(true))
	}
	u := newRawUpstream(t, "", 0)
	call(newHandler(u.listener.Addr().String(), faulty), http.MethodPost)
	is.True(u.requestCount.Load() > 1)
}

func TestServeHTTPRetriesGetWithLostResponseUpToMaxAttempts(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "", 0)
	call(newHandler(u.listener.Addr().String(), retry.Decide), http.MethodGet)
	is.Equal(u.requestCount.Load(), int32(retry.MaxAttempts))
}

func TestServeHTTPReportsUnknownOutcomeAfterTimeout(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", time.Second)
	w, _ := call(newHandler(u.listener.Addr().String(), retry.Decide), http.MethodPost)
	is.Equal(w.Header().Get(outcomeHeader), outcomeUnknown)
}

func TestServeHTTPReportsShedPostAsNotRun(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "HTTP/1.1 503 Shed\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", 0)
	w, _ := call(newHandler(u.listener.Addr().String(), retry.Decide), http.MethodPost)
	is.Equal(w.Header().Get(outcomeHeader), outcomeNotRun)
	is.Equal(w.Header().Get(reasonHeader), landing.RefusalShed.String())
	is.Equal(u.requestCount.Load(), int32(1))
}

func TestServeHTTPReportsNotRunWithoutConnection(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "", 0)
	address := u.listener.Addr().String()
	_ = u.listener.Close()
	w, _ := call(newHandler(address, retry.Decide), http.MethodPost)
	is.Equal(w.Header().Get(outcomeHeader), outcomeNotRun)
	is.Equal(w.Header().Get(reasonHeader), landing.RefusalUpstream.String())
}

func TestServeHTTPResetsCallerOnTruncatedResponse(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", 0)
	_, isReset := call(newHandler(u.listener.Addr().String(), retry.Decide), http.MethodGet)
	is.True(isReset)
}

func TestServeHTTPStopsRetriesWhenBudgetIsSpent(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "", 0)
	h := newHandler(u.listener.Addr().String(), retry.Decide)
	const calls = 200
	for range calls {
		call(h, http.MethodGet)
	}
	is.True(u.requestCount.Load() < calls*3/2)
}
