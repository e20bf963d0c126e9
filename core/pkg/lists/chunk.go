package lists

import (
	"github.com/cespare/xxhash/v2"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// customersPerChunk is the number of customers that a chunk holds on average.
const customersPerChunk = 64

// Split cuts the lists into chunks. Services and plans are the first chunk; a customer's chunk
// depends on its name, so that a change of one customer changes one chunk.
func Split(l landing.Catalog) []landing.CatalogChunk {
	first := landing.CatalogChunk{}.
		WithServices(l.Services()...).
		WithPlans(l.Plans()...)
	count := chunkCount(l.CustomersLen())
	groups := make([][]landing.Customer, count)
	for _, c := range l.Customers() {
		i := xxhash.Sum64String(c.Name()) % uint64(count)
		groups[i] = append(groups[i], c)
	}
	chunks := []landing.CatalogChunk{first}
	for _, g := range groups {
		if len(g) > 0 {
			chunks = append(chunks, landing.CatalogChunk{}.WithCustomers(g...))
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
func Join(chunks []landing.CatalogChunk) landing.Catalog {
	var services []landing.Service
	var plans []landing.Plan
	var customers []landing.Customer
	for _, c := range chunks {
		services = append(services, c.Services()...)
		plans = append(plans, c.Plans()...)
		customers = append(customers, c.Customers()...)
	}
	return landing.Catalog{}.
		WithServices(services...).
		WithPlans(plans...).
		WithCustomers(customers...)
}
