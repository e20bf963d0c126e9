package command

import (
	"fmt"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/fleet"
)

// awaitRoot waits until every balancer has this root or a later one in force.
func (e Env) awaitRoot(o options, serial uint64) int {
	return e.await(o, func(d landing.BalancerReport) bool { return d.Digest().Root() >= serial })
}

// awaitMarks waits until every balancer has these marks or later ones in force.
func (e Env) awaitMarks(o options, m landing.ExclusionMarks) int {
	return e.await(o, func(r landing.BalancerReport) bool {
		merged := mark.Merge(r.Marks(), m)
		return mark.Digest(merged) == mark.Digest(r.Marks())
	})
}

// await asks the balancers again and again, and prints how many have the change in force.
func (e Env) await(o options, inForce func(landing.BalancerReport) bool) int {
	if o.wait <= 0 {
		return program.StatusOK
	}
	f := o.fleet()
	defer f.Close()
	start := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	shown := -1
	for {
		states := f.QueryStatus(e.ctx, landing.StatusRequest{})
		done := countInForce(states, inForce)
		if done != shown {
			fmt.Fprintf(e.out, "in force at %d of %d balancers after %.1f s\n", done, len(states), time.Since(start).Seconds())
			shown = done
		}
		if len(states) > 0 && done == len(states) {
			return program.StatusOK
		}
		if time.Since(start) >= o.wait {
			e.printMissing(states, inForce)
			return StatusPending
		}
		select {
		case <-ticker.C:
		case <-e.ctx.Done():
			return StatusPending
		}
	}
}

func countInForce(states []fleet.BalancerStatus, inForce func(landing.BalancerReport) bool) int {
	count := 0
	for _, s := range states {
		if s.Err() == nil && inForce(s.Report()) {
			count++
		}
	}
	return count
}

func (e Env) printMissing(states []fleet.BalancerStatus, inForce func(landing.BalancerReport) bool) {
	for _, s := range states {
		if s.Err() != nil {
			fmt.Fprintf(e.errOut, "%s\tunknown: %v\n", s.Address(), s.Err())
		} else if !inForce(s.Report()) {
			fmt.Fprintf(e.errOut, "%s\t%s\tnot in force\n", s.Address(), s.Report().Instance())
		}
	}
}
