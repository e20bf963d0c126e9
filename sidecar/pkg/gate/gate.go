// Package gate limits how many requests run at the upstream at once. Requests above the limit wait
// in a queue for a limited time.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/admission"
	"github.com/crocuslanding/crocuslanding/core/pkg/queue"
)

// waitersPerSlot is the number of requests that may wait, divided by the number of slots of the upstream.
const waitersPerSlot = 16

// Gate admits requests to the upstream. Its methods may be called from several goroutines.
type Gate struct {
	maxWait time.Duration
	mu      sync.Mutex
	state   landing.AdmissionState
	queue   queue.Queue
	// waiting holds a channel for each waiting request, which receives its result.
	waiting    map[queue.Ticket]chan landing.Refusal
	lastTicket queue.Ticket
}

// New returns a gate for an upstream with this number of slots. Slots are the requests that an upstream
// processes at once when it is warm, that is, no longer in the time after its start in which it can process
// only a few. A request waits at most for maxWait.
func New(slots uint32, maxWait time.Duration) *Gate {
	return &Gate{
		maxWait: maxWait,
		state:   admission.New(slots),
		queue:   queue.New(int(slots) * waitersPerSlot),
		waiting: map[queue.Ticket]chan landing.Refusal{},
	}
}

// AdmissionState returns the current state of the admission.
func (g *Gate) AdmissionState() landing.AdmissionState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// IsBusy reports whether another request would have to wait.
func (g *Gate) IsBusy() bool {
	return admission.FreeCapacity(g.AdmissionState()) == 0
}

// Admit waits until a request of this customer may run. It returns RefusalUnspecified when the
// request may run. Whoever called Admit must then report the end of the request once with HandleEvent.
// Otherwise Admit returns the reason for the refusal: RefusalQueue when the wait was too long or ctx
// ended, or RefusalShare when the request was shed, that is, removed from the queue because it was full.
func (g *Gate) Admit(ctx context.Context, customer string) landing.Refusal {
	ticket, result := g.admitOrEnqueue(customer)
	if result == nil {
		return landing.RefusalUnspecified
	}
	timer := time.NewTimer(g.maxWait)
	defer timer.Stop()
	select {
	case r := <-result:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.cancelWait(ticket, result)
}

// HandleEvent applies an event, such as the end of a request, to the state of the admission, and admits
// waiting requests as far as the new state allows.
func (g *Gate) HandleEvent(e landing.AdmissionEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state, _ = admission.Handle(g.state, e)
	g.admitWaiting()
}

// admitOrEnqueue returns a nil channel when the request may run at once. Otherwise it puts the request
// into the queue and returns its ticket there, and the channel that will receive its result. When the
// queue was full, it sheds a request, possibly this one.
func (g *Gate) admitOrEnqueue(customer string) (queue.Ticket, chan landing.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Len() == 0 && g.tryAdmit() {
		return 0, nil
	}
	g.lastTicket++
	ticket := g.lastTicket
	result := make(chan landing.Refusal, 1)
	g.waiting[ticket] = result
	next, shed, isShed := g.queue.WithTicket(customer, ticket)
	g.queue = next
	if isShed {
		g.resolve(shed, landing.RefusalShare)
	}
	return ticket, result
}

func (g *Gate) tryAdmit() bool {
	next, admitted := admission.Handle(g.state, landing.RequestArrived{})
	g.state = next
	return admitted
}

func (g *Gate) admitWaiting() {
	for g.queue.Len() > 0 && g.tryAdmit() {
		next, ticket, _ := g.queue.Next()
		g.queue = next
		g.resolve(ticket, landing.RefusalUnspecified)
	}
}

func (g *Gate) resolve(ticket queue.Ticket, result landing.Refusal) {
	g.waiting[ticket] <- result
	delete(g.waiting, ticket)
}

// cancelWait removes the request from the queue and returns RefusalQueue. If the request already has
// a result, cancelWait returns this result instead.
func (g *Gate) cancelWait(ticket queue.Ticket, result chan landing.Refusal) landing.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, isWaiting := g.waiting[ticket]; !isWaiting {
		return <-result
	}
	delete(g.waiting, ticket)
	g.queue = g.queue.WithoutTicket(ticket)
	return landing.RefusalQueue
}
