// Package queue decides which waiting request runs next, and which is shed when too many wait.
// Customers take turns, and the customer with the most waiting requests is shed first, so that one
// that sends much does not crowd out the others. A customer's own requests run in order of arrival.
package queue

import "slices"

// Ticket names one waiting request.
type Ticket uint64

// Queue is the list of waiting requests. It is immutable.
type Queue struct {
	limit int
	lines []line
	size  int
}

// line is the requests of one customer in order of arrival.
type line struct {
	customer string
	tickets  []Ticket
}

// New returns an empty queue in which this number of requests can wait.
func New(limit int) Queue {
	return Queue{limit: limit}
}

// Len returns the number of waiting requests.
func (q Queue) Len() int {
	return q.size
}

// WithTicket returns the queue with one more request. When it is full, the latest
// request of the customer with the longest line leaves: shed is its ticket, and isShed is true.
func (q Queue) WithTicket(customer string, t Ticket) (next Queue, shed Ticket, isShed bool) {
	next = q.with(customer, t)
	if next.size <= next.limit {
		return next, 0, false
	}
	longest := next.longest()
	tickets := next.lines[longest].tickets
	shed = tickets[len(tickets)-1]
	return next.WithoutTicket(shed), shed, true
}

func (q Queue) with(customer string, t Ticket) Queue {
	lines := slices.Clone(q.lines)
	i := slices.IndexFunc(lines, func(l line) bool { return l.customer == customer })
	if i < 0 {
		lines = append(lines, line{customer, []Ticket{t}})
	} else {
		lines[i].tickets = append(slices.Clone(lines[i].tickets), t)
	}
	return Queue{q.limit, lines, q.size + 1}
}

func (q Queue) longest() int {
	longest := 0
	for i, l := range q.lines {
		if len(l.tickets) >= len(q.lines[longest].tickets) {
			longest = i
		}
	}
	return longest
}

// Next returns the ticket whose turn it is and the queue without it; false when nobody waits.
// The customer goes to the end of the turns.
func (q Queue) Next() (Queue, Ticket, bool) {
	if q.size == 0 {
		return q, 0, false
	}
	first := q.lines[0]
	rest := slices.Clone(q.lines[1:])
	if len(first.tickets) > 1 {
		rest = append(rest, line{first.customer, first.tickets[1:]})
	}
	return Queue{q.limit, rest, q.size - 1}, first.tickets[0], true
}

// WithoutTicket returns the queue without the request of this ticket, which may be absent.
func (q Queue) WithoutTicket(t Ticket) Queue {
	for i, l := range q.lines {
		j := slices.Index(l.tickets, t)
		if j < 0 {
			continue
		}
		lines := slices.Clone(q.lines)
		lines[i].tickets = slices.Delete(slices.Clone(l.tickets), j, j+1)
		if len(lines[i].tickets) == 0 {
			lines = slices.Delete(lines, i, i+1)
		}
		return Queue{q.limit, lines, q.size - 1}
	}
	return q
}
