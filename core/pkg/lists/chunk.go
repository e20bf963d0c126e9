package lists

import (
	"github.com/cespare/xxhash/v2"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// customersPerChunk is the number of customers that a chunk holds on average.
const customersPerChunk = 64

// Split cuts the lists into chunks. Services and plans are the first chunk; a customer's chunk
// depends on its name, so that a change of one customer changes one chunk.
func Split(l landing.Lists) []landing.ListsChunk {
	first := landing.ListsChunk{}.
		WithServices(l.Services()...).
		WithPlans(l.Plans()...)
	count := chunkCount(l.CustomersLen())
	groups := make([][]landing.Customer, count)
	for _, c := range l.Customers() {
		i := xxhash.Sum64String(c.Name()) % uint64(count)
		groups[i] = append(groups[i], c)
	}
	chunks := []landing.ListsChunk{first}
	for _, g := range groups {
		if len(g) > 0 {
			chunks = append(chunks, landing.ListsChunk{}.WithCustomers(g...))
		}
	}
	return chunks
}

// chunkCount grows in powers of two, so that it seldom changes.
func chunkCount(customers int) int {
	count := 1
	for count*customersPerChunk < customers {
		count *= 2
	}
	return count
}

// Join returns the lists that the chunks make up.
func Join(chunks []landing.ListsChunk) landing.Lists {
	var services []landing.Service
	var plans []landing.Plan
	var customers []landing.Customer
	for _, c := range chunks {
		services = append(services, c.Services()...)
		plans = append(plans, c.Plans()...)
		customers = append(customers, c.Customers()...)
	}
	return landing.Lists{}.
		WithServices(services...).
		WithPlans(plans...).
		WithCustomers(customers...)
}
