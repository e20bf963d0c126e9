package requests

import (
	"net/http"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/retry"
)

const (
	// outcomeHeader says in a refusal what is known of the request.
	outcomeHeader = "Landing-Outcome"
	// reasonHeader says in a refusal why the request was refused.
	reasonHeader = "Landing-Reason"

	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*callerConn)
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	body, err := newRequestBody(r)
	if err != nil {
		h.refuse(w, landing.RefusalMalformed)
		return
	}
	h.budget.recordRequest()
	attempt := landing.RetryInput{}.
		WithIdempotent(retry.IsIdempotent(r.Method)).
		WithReplayable(body.isReplayable())
	for {
		attempt = attempt.
			WithAttemptsMade(attempt.AttemptsMade() + 1).
			WithBudgetAllowsRetry(h.budget.allowsRetry())
		refusal := h.gate.Admit(r.Context(), conn.customer)
		if refusal != landing.RefusalUnspecified {
			h.refuse(w, refusal)
			return
		}
		answer, outcome := h.send(r, body)
		if h.execute(w, conn, answer, h.decide(outcome, attempt)) {
			return
		}
		h.budget.recordRetry()
	}
}

// send sends the request once and tells the gate how it went.
func (h *Handler) send(r *http.Request, body *requestBody) (*upstreamResponse, landing.RequestOutcome) {
	start := time.Now()
	a, outcome := h.upstream.send(r, body)
	switch outcome.(type) {
	case landing.ResponseStarted:
		h.gate.HandleEvent(landing.RequestAnswered{}.WithObservedAt(time.Now()).WithLatency(time.Since(start)))
	case landing.RequestShed:
		h.telemetry.Counters().Counter("shed").Inc(1)
		h.gate.HandleEvent(landing.UpstreamOverloaded{}.WithObservedAt(time.Now()))
	case landing.RequestUnsent:
		h.gate.HandleEvent(landing.RequestFailed{}.WithObservedAt(time.Now()))
	case landing.ResponseLost:
		h.gate.HandleEvent(landing.RequestFailed{}.WithObservedAt(time.Now()))
	case landing.CallerCanceled:
		h.gate.HandleEvent(landing.RequestCanceled{})
	}
	return a, outcome
}

// follow carries out the sequel; false means that the request is to be sent again.
func (h *Handler) execute(w http.ResponseWriter, conn *callerConn, a *upstreamResponse, s landing.RequestAction) bool {
	switch s := s.(type) {
	case landing.RelayResponse:
		h.relayResponse(w, conn, a)
	case landing.RetryRequest:
		h.telemetry.Counters().Counter("retried.request").Inc(1)
		return false
	case landing.ReportNotRun:
		h.refuse(w, s.Reason())
	case landing.ReportUnknownOutcome:
		h.telemetry.Counters().Counter("unknown").Inc(1)
		w.Header().Set(outcomeHeader, outcomeUnknown)
		w.WriteHeader(http.StatusBadGateway)
	case landing.AbandonRequest:
		h.telemetry.Counters().Counter("canceled").Inc(1)
		conn.setResetOnClose()
		panic(http.ErrAbortHandler)
	}
	return true
}

// refuse answers that the request was not run.
func (h *Handler) refuse(w http.ResponseWriter, reason landing.Refusal) {
	h.telemetry.Counters().CountRefusal(reason)
	w.Header().Set(outcomeHeader, outcomeNotRun)
	w.Header().Set(reasonHeader, reason.String())
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// relay passes the answer on. When it breaks off, the caller's flow is reset, so that it never looks whole.
func (h *Handler) relayResponse(w http.ResponseWriter, conn *callerConn, a *upstreamResponse) {
	defer a.close()
	a.copyHeader(w.Header())
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(a.response.StatusCode)
	if a.copyBody(w) == nil {
		return
	}
	h.telemetry.Counters().Counter("broken_answers").Inc(1)
	conn.setResetOnClose()
	panic(http.ErrAbortHandler)
}
