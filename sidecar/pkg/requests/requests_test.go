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

// rawUpstream reads one request a connection, writes a fixed answer and closes.
type rawUpstream struct {
	listener net.Listener
	answer   string
	delay    time.Duration
	hits     atomic.Int32
}

func newRawUpstream(t *testing.T, answer string, delay time.Duration) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{listener: listener, answer: answer, delay: delay}
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
	u.hits.Add(1)
	timer := time.NewTimer(u.delay)
	<-timer.C
	_, _ = c.Write([]byte(u.answer))
}

func newHandler(address string, decide DecideFunc) *Handler {
	s := landing.SidecarSettings{}.
		WithUpstream(address).
		WithDeadline(300 * time.Millisecond).
		WithKeepalive(time.Second)
	c := common.New(logr.Discard(), counter.New())
	return New(c, s, gate.New(8, time.Second), flows.New(), decide)
}

// call serves one request and returns the answer; broken says that the caller's flow was reset.
func call(h *Handler, method string) (answer *httptest.ResponseRecorder, broken bool) {
	conn := &callerConn{customer: "firm"}
	ctx := context.WithValue(context.Background(), connKey{}, conn)
	r := httptest.NewRequestWithContext(ctx, method, "/confirm?id=1", http.NoBody)
	r.Header.Set("Idempotency-Key", "the library would send such a request again")
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }()
		h.ServeHTTP(w, r)
	}()
	return w, conn.resetOnClose.Load()
}

func TestLostAnswerOfConfirmationIsUnknownAndNeverSentAgain(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "", 0)
	w, _ := call(newHandler(u.listener.Addr().String(), retry.Decide), http.MethodPost)
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(w.Header().Get(outcomeHeader), outcomeUnknown)
	is.Equal(u.hits.Load(), int32(1))
}

func TestLostAnswerOfConfirmationIsSentAgainByMutant(t *testing.T) {
	is := is.New(t)
	mutant := func(o landing.RequestOutcome, a landing.RetryInput) landing.RequestAction {
		return retry.Decide(o, a.WithIdempotent(true).WithReplayable(true))
	}
	u := newRawUpstream(t, "", 0)
	call(newHandler(u.listener.Addr().String(), mutant), http.MethodPost)
	is.True(u.hits.Load() > 1)
}

func TestLostAnswerOfIdempotentRequestIsSentAgainWithinTheLimit(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "", 0)
	call(newHandler(u.listener.Addr().String(), retry.Decide), http.MethodGet)
	is.Equal(u.hits.Load(), int32(retry.MaxAttempts))
}

func TestLateAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", time.Second)
	w, _ := call(newHandler(u.listener.Addr().String(), retry.Decide), http.MethodPost)
	is.Equal(w.Header().Get(outcomeHeader), outcomeUnknown)
}

func TestShedConfirmationIsNotRun(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "HTTP/1.1 503 Shed\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", 0)
	w, _ := call(newHandler(u.listener.Addr().String(), retry.Decide), http.MethodPost)
	is.Equal(w.Header().Get(outcomeHeader), outcomeNotRun)
	is.Equal(w.Header().Get(reasonHeader), landing.RefusalShed.String())
	is.Equal(u.hits.Load(), int32(1))
}

func TestUpstreamThatTakesNoConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "", 0)
	address := u.listener.Addr().String()
	_ = u.listener.Close()
	w, _ := call(newHandler(address, retry.Decide), http.MethodPost)
	is.Equal(w.Header().Get(outcomeHeader), outcomeNotRun)
	is.Equal(w.Header().Get(reasonHeader), landing.RefusalUpstream.String())
}

func TestShortAnswerResetsTheCaller(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", 0)
	_, broken := call(newHandler(u.listener.Addr().String(), retry.Decide), http.MethodGet)
	is.True(broken)
}

func TestRetriesStopWhenTheBudgetIsSpent(t *testing.T) {
	is := is.New(t)
	u := newRawUpstream(t, "", 0)
	h := newHandler(u.listener.Addr().String(), retry.Decide)
	const calls = 200
	for range calls {
		call(h, http.MethodGet)
	}
	is.True(u.hits.Load() < calls*3/2)
}
