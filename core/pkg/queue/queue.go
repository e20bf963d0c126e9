// Package queue decides which waiting request runs next, and which one is shed, that is refused without
// being run, when the queue is full. Customers are served round robin, and the customer with the most
// waiting requests is shed first, so that a customer with many requests does not starve the others. The
// requests of one customer run in order of arrival.
package queue

import "slices"

// Ticket identifies one waiting request. The caller of WithTicket chooses it.
type Ticket uint64

// Queue holds the tickets of the waiting requests. It is immutable.
type Queue struct {
	// limit is the largest number of requests that can wait.
	limit int
	// customerQueues are the queues of the customers in the order in which they are served next.
	customerQueues []customerQueue
	// size is the number of waiting requests.
	size int
}

// customerQueue holds the tickets of one customer, at least one, in order of arrival.
type customerQueue struct {
	customer string
	tickets  []Ticket
}

// New returns an empty queue in which at most limit requests can wait.
func New(limit int) Queue {
	return Queue{limit: limit}
}

// Len returns the number of waiting requests.
func (q Queue) Len() int {
	return q.size
}

// WithTicket returns the queue with one more request. If the queue then exceeds its limit, the last
// request of the customer with the most requests is shed: shed is the ticket of that request, and isShed
// is true.
func (q Queue) WithTicket(customer string, ticket Ticket) (next Queue, shed Ticket, isShed bool) {
	next = q.appendTicket(customer, ticket)
	if next.size <= next.limit {
		return next, 0, false
	}
	longest := next.longestQueueIndex()
	tickets := next.customerQueues[longest].tickets
	shed = tickets[len(tickets)-1]
	return next.WithoutTicket(shed), shed, true
}

func (q Queue) appendTicket(customer string, ticket Ticket) Queue {
	queues := slices.Clone(q.customerQueues)
	index := slices.IndexFunc(queues, func(c customerQueue) bool { return c.customer == customer })
	if index < 0 {
		queues = append(queues, customerQueue{customer, []Ticket{ticket}})
	} else {
		queues[index].tickets = append(slices.Clone(queues[index].tickets), ticket)
	}
	return Queue{q.limit, queues, q.size + 1}
}

// longestQueueIndex returns the index of the customer with the most requests. Of several such customers,
// it returns the last.
func (q Queue) longestQueueIndex() int {
	longest := 0
	for i, c := range q.customerQueues {
		if len(c.tickets) >= len(q.customerQueues[longest].tickets) {
			longest = i
		}
	}
	return longest
}

// Next returns the queue without the next request, and the ticket of that request. It returns false when
// the queue is empty. The customer is served again after all other waiting customers.
func (q Queue) Next() (Queue, Ticket, bool) {
	if q.size == 0 {
		return q, 0, false
	}
	first := q.customerQueues[0]
	rest := slices.Clone(q.customerQueues[1:])
	if len(first.tickets) > 1 {
		rest = append(rest, customerQueue{first.customer, first.tickets[1:]})
	}
	return Queue{q.limit, rest, q.size - 1}, first.tickets[0], true
}

// WithoutTicket returns the queue without this ticket. It returns the same queue when the ticket is not
// in it.
func (q Queue) WithoutTicket(ticket Ticket) Queue {
	for i, c := range q.customerQueues {
		j := slices.Index(c.tickets, ticket)
		if j < 0 {
			continue
		}
		queues := slices.Clone(q.customerQueues)
		queues[i].tickets = slices.Delete(slices.Clone(c.tickets), j, j+1)
		if len(queues[i].tickets) == 0 {
			queues = slices.Delete(queues, i, i+1)
		}
		return Queue{q.limit, queues, q.size - 1}
	}
	return q
}
