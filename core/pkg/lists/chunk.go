package lists

import (
	"github.com/cespare/xxhash/v2"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// customersPerChunk is the largest average number of customers in a chunk.
const customersPerChunk = 64

// Split splits the lists into chunks. The first chunk holds the services and plans. The chunk of a
// customer is determined by the hash of its name, so that a change of one customer changes one chunk.
// Further chunks without customers are left out.
func Split(l landing.Lists) []landing.ListsChunk {
	first := landing.ListsChunk{}.
		WithServices(l.Services()...).
		WithPlans(l.Plans()...)
	count := chunkCount(l.CustomersLen())
	customersByChunk := make([][]landing.Customer, count)
	for _, c := range l.Customers() {
		chunk := xxhash.Sum64String(c.Name()) % uint64(count)
		customersByChunk[chunk] = append(customersByChunk[chunk], c)
	}
	chunks := []landing.ListsChunk{first}
	for _, customers := range customersByChunk {
		if len(customers) > 0 {
			chunks = append(chunks, landing.ListsChunk{}.WithCustomers(customers...))
		}
	}
	return chunks
}

// chunkCount returns the number of chunks for this number of customers. It is a power of two, so that it
// seldom changes: a change moves customers to other chunks.
func chunkCount(customerCount int) int {
	count := 1
	for count*customersPerChunk < customerCount {
		count *= 2
	}
	return count
}

// Join returns the lists that were split into these chunks. The order of the customers may differ from
// the order before Split.
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
