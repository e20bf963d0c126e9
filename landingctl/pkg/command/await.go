package command

import (
	"fmt"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/fleet"
)

// awaitRoot waits until every balancer has the version of the lists with this serial number, or a later one, in force.
// It returns the exit status.
func (e Env) awaitRoot(o options, serial uint64) int {
	return e.awaitInForce(o, func(r landing.BalancerReport) bool { return r.Digest().Root() >= serial })
}

// awaitMarks waits until every balancer has these marks or later ones in force, and returns the exit status.
func (e Env) awaitMarks(o options, m landing.ExclusionMarks) int {
	return e.awaitInForce(o, func(r landing.BalancerReport) bool {
		merged := mark.Merge(r.Marks(), m)
		return mark.Digest(merged) == mark.Digest(r.Marks())
	})
}

// awaitInForce queries the balancers in each poll interval until isInForce returns true for the reports of all of them. It
// prints the number of balancers that have the change in force whenever this number differs from the one printed last.
// After the wait timeout, it prints the remaining balancers and returns StatusPending; if the command is interrupted, it
// returns StatusPending at once. It returns StatusOK without a query if the wait timeout is not positive.
func (e Env) awaitInForce(o options, isInForce func(landing.BalancerReport) bool) int {
	if o.waitTimeout <= 0 {
		return program.StatusOK
	}
	f := o.fleet()
	defer f.Close()
	start := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	printedCount := -1
	for {
		statuses := f.QueryStatus(e.ctx, landing.StatusRequest{})
		inForceCount := countInForce(statuses, isInForce)
		if inForceCount != printedCount {
			fmt.Fprintf(e.out, "in force at %d of %d balancers after %.1f s\n", inForceCount, len(statuses), time.Since(start).Seconds())
			printedCount = inForceCount
		}
		if len(statuses) > 0 && inForceCount == len(statuses) {
			return program.StatusOK
		}
		if time.Since(start) >= o.waitTimeout {
			e.printNotInForce(statuses, isInForce)
			return StatusPending
		}
		select {
		case <-ticker.C:
		case <-e.ctx.Done():
			return StatusPending
		}
	}
}

// countInForce returns the number of balancers that responded with a report for which isInForce returns true.
func countInForce(statuses []fleet.BalancerStatus, isInForce func(landing.BalancerReport) bool) int {
	count := 0
	for _, s := range statuses {
		if s.Err() == nil && isInForce(s.Report()) {
			count++
		}
	}
	return count
}

// printNotInForce prints the balancers that did not respond, with the error, and those for whose report isInForce returns
// false.
func (e Env) printNotInForce(statuses []fleet.BalancerStatus, isInForce func(landing.BalancerReport) bool) {
	for _, s := range statuses {
		if s.Err() != nil {
			fmt.Fprintf(e.errOut, "%s\tunknown: %v\n", s.Address(), s.Err())
		} else if !isInForce(s.Report()) {
			fmt.Fprintf(e.errOut, "%s\t%s\tnot in force\n", s.Address(), s.Report().Instance())
		}
	}
}
