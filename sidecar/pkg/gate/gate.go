// Package gate lets requests run at the upstream as far as the admission allows,
// and keeps the others waiting up to a deadline.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/admission"
	"github.com/crocuslanding/crocuslanding/core/pkg/queue"
)

// waitersPerSlot is the number of requests that may wait for each slot.
const waitersPerSlot = 16

// Gate admits requests. Its methods may be called from several goroutines.
type Gate struct {
	patience  time.Duration
	mu        sync.Mutex
	allowance landing.AdmissionState
	queue     queue.Queue
	waiting   map[queue.Ticket]chan landing.Refusal
	last      queue.Ticket
}

// New returns a gate before an upstream with this number of slots. Requests wait up to patience.
func New(slots uint32, patience time.Duration) *Gate {
	return &Gate{
		patience:  patience,
		allowance: admission.New(slots),
		queue:     queue.New(int(slots) * waitersPerSlot),
		waiting:   map[queue.Ticket]chan landing.Refusal{},
	}
}

// AdmissionState returns the present state of the admission.
func (g *Gate) AdmissionState() landing.AdmissionState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allowance
}

// IsBusy says whether a further request would have to wait.
func (g *Gate) IsBusy() bool {
	return admission.FreeCapacity(g.AdmissionState()) == 0
}

// Enter waits until a request of this customer may run. It returns RefusalUnspecified when the
// request may run, and the caller must then note once how it ended; else it returns the reason.
func (g *Gate) Enter(ctx context.Context, customer string) landing.Refusal {
	ticket, ready := g.ask(customer)
	if ready == nil {
		return landing.RefusalUnspecified
	}
	timer := time.NewTimer(g.patience)
	defer timer.Stop()
	select {
	case r := <-ready:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.giveUp(ticket, ready)
}

// Note notes an observation of the upstream, such as the end of a request, and admits waiting requests.
func (g *Gate) Note(o landing.AdmissionEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowance, _ = admission.Handle(g.allowance, o)
	g.admitWaiting()
}

// ask returns no channel when the request may run at once.
func (g *Gate) ask(customer string) (queue.Ticket, chan landing.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Len() == 0 && g.tryAdmit() {
		return 0, nil
	}
	g.last++
	ticket := g.last
	ready := make(chan landing.Refusal, 1)
	g.waiting[ticket] = ready
	next, shed, isShed := g.queue.WithTicket(customer, ticket)
	g.queue = next
	if isShed {
		g.answer(shed, landing.RefusalShare)
	}
	return ticket, ready
}

func (g *Gate) tryAdmit() bool {
	next, admitted := admission.Handle(g.allowance, landing.RequestArrived{})
	g.allowance = next
	return admitted
}

func (g *Gate) admitWaiting() {
	for g.queue.Len() > 0 && g.tryAdmit() {
		next, ticket, _ := g.queue.Next()
		g.queue = next
		g.answer(ticket, landing.RefusalUnspecified)
	}
}

func (g *Gate) answer(t queue.Ticket, r landing.Refusal) {
	g.waiting[t] <- r
	delete(g.waiting, t)
}

// giveUp takes the request out of the queue, unless it was answered in the meantime.
func (g *Gate) giveUp(t queue.Ticket, ready chan landing.Refusal) landing.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waits := g.waiting[t]; !waits {
		return <-ready
	}
	delete(g.waiting, t)
	g.queue = g.queue.WithoutTicket(t)
	return landing.RefusalQueue
}
