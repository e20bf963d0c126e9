package requests

import (
	"net/http"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/retry"
)

const (
	// outcomeHeader states in an error response of the sidecar whether the request may have run: outcomeNotRun
	// or outcomeUnknown.
	outcomeHeader = "Landing-Outcome"
	// reasonHeader states the reason for the refusal of a request that was not run.
	reasonHeader = "Landing-Reason"

	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// ServeHTTP serves one request. It sends the request again as long as decide returns RetryRequest.
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
		response, outcome := h.send(r, body)
		if h.execute(w, conn, response, h.decide(outcome, attempt)) {
			return
		}
		h.budget.recordRetry()
	}
}

// send sends the request once and reports the outcome to the gate. The response is nil unless the
// outcome is ResponseStarted.
func (h *Handler) send(r *http.Request, body *requestBody) (*upstreamResponse, landing.RequestOutcome) {
	start := time.Now()
	response, outcome := h.upstream.send(r, body)
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
	return response, outcome
}

// execute carries out the action. It returns false when the request is to be sent again. It panics with
// http.ErrAbortHandler to reset the caller's connection.
func (h *Handler) execute(w http.ResponseWriter, conn *callerConn, response *upstreamResponse, action landing.RequestAction) bool {
	switch action := action.(type) {
	case landing.RelayResponse:
		h.relayResponse(w, conn, response)
	case landing.RetryRequest:
		h.telemetry.Counters().Counter("retried.request").Inc(1)
		return false
	case landing.ReportNotRun:
		h.refuse(w, action.Reason())
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

// refuse responds that the request was not run.
func (h *Handler) refuse(w http.ResponseWriter, reason landing.Refusal) {
	h.telemetry.Counters().CountRefusal(reason)
	w.Header().Set(outcomeHeader, outcomeNotRun)
	w.Header().Set(reasonHeader, reason.String())
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// relayResponse passes the response on to the caller. When the body breaks off, it resets the caller's
// connection, so that the response does not look complete.
func (h *Handler) relayResponse(w http.ResponseWriter, conn *callerConn, response *upstreamResponse) {
	defer response.close()
	response.copyHeader(w.Header())
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(response.response.StatusCode)
	if response.copyBody(w) == nil {
		return
	}
	h.telemetry.Counters().Counter("broken_answers").Inc(1)
	conn.setResetOnClose()
	panic(http.ErrAbortHandler)
}
