// Package fleet queries the status of all balancers and sends exclusion marks to the seeds, the balancers with known
// addresses. An exclusion mark records that an availability zone or an upstream is excluded from traffic, or that it is
// readmitted.
package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"google.golang.org/grpc/credentials"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/control"
)

// Fleet is a client of the seeds, which are balancers with known addresses, and of the balancers that the seeds list in
// their rosters. A roster lists the targets (upstreams with their sidecars) of a region and, as members, its balancers.
type Fleet struct {
	connections *control.Pool
	seeds       []string
}

// BalancerStatus is the report of one balancer, or an empty report and the error.
type BalancerStatus struct {
	address string
	report  landing.BalancerReport
	err     error
}

// Address returns the control address of the balancer.
func (s BalancerStatus) Address() string {
	return s.address
}

// Report returns the report of the balancer.
func (s BalancerStatus) Report() landing.BalancerReport {
	return s.report
}

// Err returns the reason why there is no report, or nil if there is one.
func (s BalancerStatus) Err() error {
	return s.err
}

// New returns a client whose seeds are the balancers at these control addresses. The client must be closed.
func New(seeds []string, creds credentials.TransportCredentials) *Fleet {
	return &Fleet{connections: control.NewPool(creds), seeds: seeds}
}

// Close closes all connections to balancers.
func (f *Fleet) Close() {
	f.connections.Close()
}

// QueryStatus sends the request to all balancers: first to the seeds, then to the other balancers in the rosters that the
// seeds reported. It returns one status for each address, even without a response, ordered by address.
func (f *Fleet) QueryStatus(ctx context.Context, request landing.StatusRequest) []BalancerStatus {
	statuses := f.queryAll(ctx, f.seeds, request)
	var others []string
	for _, s := range statuses {
		for _, m := range s.report.Roster().Members() {
			if !slices.Contains(f.seeds, m.Control()) && !slices.Contains(others, m.Control()) {
				others = append(others, m.Control())
			}
		}
	}
	statuses = append(statuses, f.queryAll(ctx, others, request)...)
	slices.SortFunc(statuses, func(a, b BalancerStatus) int { return cmp.Compare(a.address, b.address) })
	return statuses
}

// SendMarks sends the marks to all seeds and returns the number of balancers that accepted them.
func (f *Fleet) SendMarks(ctx context.Context, marks landing.ExclusionMarks) int {
	accepted := 0
	for _, address := range f.seeds {
		client, err := f.connections.Client(address)
		if err != nil {
			continue
		}
		if _, err := client.Gossip(ctx, landing.GossipRequest{}.WithMarks(marks)); err == nil {
			accepted++
		}
	}
	return accepted
}

// queryAll sends the request to all addresses in parallel and returns the statuses in the order of the addresses.
func (f *Fleet) queryAll(ctx context.Context, addresses []string, request landing.StatusRequest) []BalancerStatus {
	statuses := make([]BalancerStatus, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { statuses[i] = f.queryOne(ctx, address, request) })
	}
	wg.Wait()
	return statuses
}

// queryOne sends the request to the balancer at a control address.
func (f *Fleet) queryOne(ctx context.Context, address string, request landing.StatusRequest) BalancerStatus {
	client, err := f.connections.Client(address)
	if err != nil {
		return BalancerStatus{address: address, err: err}
	}
	report, err := client.Status(ctx, request)
	return BalancerStatus{address: address, report: report, err: err}
}
