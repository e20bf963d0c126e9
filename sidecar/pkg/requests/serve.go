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
	body, err := newReplay(r)
	if err != nil {
		h.refuse(w, landing.RefusalMalformed)
		return
	}
	h.budget.noteRequest()
	attempt := landing.Attempt{}.
		WithIdempotent(retry.IsIdempotent(r.Method)).
		WithReplayable(body.isReplayable())
	for {
		attempt = attempt.
			WithTries(attempt.Tries() + 1).
			WithBudget(h.budget.allows())
		refusal := h.gate.Enter(r.Context(), conn.customer)
		if refusal != landing.RefusalUnspecified {
			h.refuse(w, refusal)
			return
		}
		answer, outcome := h.send(r, body)
		if h.follow(w, conn, answer, h.decide(outcome, attempt)) {
			return
		}
		h.budget.noteRetry()
	}
}

// send sends the request once and tells the gate how it went.
func (h *Handler) send(r *http.Request, body *replay) (*answer, landing.Outcome) {
	start := time.Now()
	a, outcome := h.upstream.send(r, body)
	switch outcome.(type) {
	case landing.Answered:
		h.gate.Note(landing.Finished{}.WithNow(time.Now()).WithLatency(time.Since(start)))
	case landing.Shed:
		h.common.Counters().Counter("shed").Inc(1)
		h.gate.Note(landing.Overloaded{}.WithNow(time.Now()))
	case landing.Unsent:
		h.gate.Note(landing.Failed{}.WithNow(time.Now()))
	case landing.Lost:
		h.gate.Note(landing.Failed{}.WithNow(time.Now()))
	case landing.Canceled:
		h.gate.Note(landing.Withdrawn{})
	}
	return a, outcome
}

// follow carries out the sequel; false means that the request is to be sent again.
func (h *Handler) follow(w http.ResponseWriter, conn *callerConn, a *answer, s landing.Sequel) bool {
	switch s := s.(type) {
	case landing.Relay:
		h.relay(w, conn, a)
	case landing.Retry:
		h.common.Counters().Counter("retried.request").Inc(1)
		return false
	case landing.NotRun:
		h.refuse(w, s.Reason())
	case landing.Unknown:
		h.common.Counters().Counter("unknown").Inc(1)
		w.Header().Set(outcomeHeader, outcomeUnknown)
		w.WriteHeader(http.StatusBadGateway)
	case landing.Abandon:
		h.common.Counters().Counter("canceled").Inc(1)
		conn.markBroken()
		panic(http.ErrAbortHandler)
	}
	return true
}

// refuse answers that the request was not run.
func (h *Handler) refuse(w http.ResponseWriter, reason landing.Refusal) {
	h.common.Counters().Refused(reason)
	w.Header().Set(outcomeHeader, outcomeNotRun)
	w.Header().Set(reasonHeader, reason.String())
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// relay passes the answer on. When it breaks off, the caller's flow is reset, so that it never looks whole.
func (h *Handler) relay(w http.ResponseWriter, conn *callerConn, a *answer) {
	defer a.close()
	a.copyHeader(w.Header())
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(a.response.StatusCode)
	if a.copyBody(w) == nil {
		return
	}
	h.common.Counters().Counter("broken_answers").Inc(1)
	conn.markBroken()
	panic(http.ErrAbortHandler)
}
