// Package fleet asks the balancers for their state and hands marks to them.
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

// Fleet is the balancers that can be reached from some seeds.
type Fleet struct {
	pool  *control.Pool
	seeds []string
}

// BalancerStatus is what one balancer reports. The report is empty when it did not answer.
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

// Err returns why there is no report; nil when there is one.
func (s BalancerStatus) Err() error {
	return s.err
}

// New returns the fleet that these control addresses belong to.
func New(seeds []string, creds credentials.TransportCredentials) *Fleet {
	return &Fleet{pool: control.NewPool(creds), seeds: seeds}
}

// Close closes all connections.
func (f *Fleet) Close() {
	f.pool.Close()
}

// QueryStatus asks all balancers: the seeds, and those that their rosters name.
func (f *Fleet) QueryStatus(ctx context.Context, q landing.StatusRequest) []BalancerStatus {
	states := f.askAll(ctx, f.seeds, q)
	var others []string
	for _, s := range states {
		for _, m := range s.report.Roster().Members() {
			if !slices.Contains(f.seeds, m.Control()) && !slices.Contains(others, m.Control()) {
				others = append(others, m.Control())
			}
		}
	}
	states = append(states, f.askAll(ctx, others, q)...)
	slices.SortFunc(states, func(a, b BalancerStatus) int { return cmp.Compare(a.address, b.address) })
	return states
}

// SendMarks hands the marks to all seeds and returns the number that took them.
func (f *Fleet) SendMarks(ctx context.Context, m landing.ExclusionMarks) int {
	taken := 0
	for _, address := range f.seeds {
		client, err := f.pool.Client(address)
		if err != nil {
			continue
		}
		if _, err := client.Gossip(ctx, landing.GossipRequest{}.WithMarks(m)); err == nil {
			taken++
		}
	}
	return taken
}

func (f *Fleet) askAll(ctx context.Context, addresses []string, q landing.StatusRequest) []BalancerStatus {
	states := make([]BalancerStatus, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { states[i] = f.askOne(ctx, address, q) })
	}
	wg.Wait()
	return states
}

func (f *Fleet) askOne(ctx context.Context, address string, q landing.StatusRequest) BalancerStatus {
	client, err := f.pool.Client(address)
	if err != nil {
		return BalancerStatus{address: address, err: err}
	}
	report, err := client.Status(ctx, q)
	return BalancerStatus{address: address, report: report, err: err}
}
