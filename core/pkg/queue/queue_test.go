package queue

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestQueue_CustomersTakeTurnsAndLongestQueueIsShed(t *testing.T) {
	is := is.New(t)
	q := New(4)
	for i := range 3 {
		q, _, _ = q.WithTicket("much", Ticket(i+1))
	}
	q, _, _ = q.WithTicket("little", 10)
	q, shed, isShed := q.WithTicket("little", 11)
	is.True(isShed)
	is.Equal(shed, Ticket(3))
	var order []Ticket
	for q.Len() > 0 {
		next, ticket, _ := q.Next()
		q = next
		order = append(order, ticket)
	}
	is.Equal(order, []Ticket{1, 10, 2, 11})
}

func TestQueue_TicketsLeaveOnceInOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(rapid.IntRange(1, 8).Draw(t, "limit"))
		// leaveCount is the number of times that a ticket was served or shed.
		leaveCount := map[Ticket]int{}
		lastServed := map[string]Ticket{}
		customerOf := map[Ticket]string{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			ticket := Ticket(i + 1)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
				customerOf[ticket] = customer
				next, shed, isShed := q.WithTicket(customer, ticket)
				q = next
				if isShed {
					leaveCount[shed]++
				}
			case 1:
				next, served, ok := q.Next()
				q = next
				if ok {
					leaveCount[served]++
					if served < lastServed[customerOf[served]] {
						t.Fatalf("ticket %d served after the later ticket %d of its customer", served, lastServed[customerOf[served]])
					}
					lastServed[customerOf[served]] = served
				}
			case 2:
				q = q.WithoutTicket(Ticket(rapid.IntRange(1, 60).Draw(t, "ticket")))
			}
		}
		for ticket, n := range leaveCount {
			if n > 1 {
				t.Fatalf("ticket %d was served or shed %d times, want once", ticket, n)
			}
		}
	})
}

func ExampleQueue_Next() {
	q := New(10)
	q, _, _ = q.WithTicket("north", 1)
	q, _, _ = q.WithTicket("north", 2)
	q, _, _ = q.WithTicket("south", 3)
	for q.Len() > 0 {
		next, ticket, _ := q.Next()
		q = next
		fmt.Print(ticket, " ")
	}
	// Output: 1 3 2
}
