package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/fleet"
)

// columnPadding is the number of spaces between the columns of a printed table.
const columnPadding = 2

// Status prints the balancers, the upstreams, the exclusion marks and the counters of the fleet. It fails if no balancer
// responds.
func Status(e Env, args []string) int {
	o, ok := e.parse("status", args, 0)
	if !ok {
		return program.StatusUsage
	}
	f := o.fleet()
	defer f.Close()
	statuses := f.QueryStatus(e.ctx, landing.StatusRequest{})
	if o.printJSON {
		return e.printJSON(statuses)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, columnPadding, ' ', 0)
	printBalancers(w, statuses)
	printTargets(w, statuses)
	printMarks(w, statuses)
	printCounters(w, statuses)
	_ = w.Flush()
	return exitStatus(statuses)
}

// Explain prints, for each balancer, how the balancer would handle a flow: a verdict, which contains the reason if the
// balancer would refuse the flow, and the sidecars to which it would offer the flow, in order. Explain fails if no
// balancer responds.
func Explain(e Env, args []string) int {
	o, ok := e.parse("explain", args, 2)
	if !ok {
		return program.StatusUsage
	}
	f := o.fleet()
	defer f.Close()
	request := landing.StatusRequest{}.
		WithCallerAddress(o.args[0]).
		WithServiceAddress(o.args[1]).
		WithCallerPort(uint32(o.callerPort))
	statuses := f.QueryStatus(e.ctx, request)
	if o.printJSON {
		return e.printJSON(statuses)
	}
	for _, s := range statuses {
		if s.Err() != nil {
			fmt.Fprintf(e.out, "%s\tunknown: %v\n", s.Address(), s.Err())
			continue
		}
		r := s.Report()
		fmt.Fprintf(e.out, "%s\t%s\t%s\n", r.Instance(), r.Verdict(), strings.Join(r.Chain(), " "))
	}
	return exitStatus(statuses)
}

// printJSON prints each report as a line of JSON and returns the exit status.
func (e Env) printJSON(statuses []fleet.BalancerStatus) int {
	for _, s := range statuses {
		b, err := protojson.Marshal(codec.EncodeBalancerReport(s.Report()))
		if err != nil {
			return e.fail(err)
		}
		fmt.Fprintln(e.out, string(b))
	}
	return exitStatus(statuses)
}

// exitStatus returns StatusFailed if no balancer responded, and StatusOK otherwise.
func exitStatus(statuses []fleet.BalancerStatus) int {
	for _, s := range statuses {
		if s.Err() == nil {
			return program.StatusOK
		}
	}
	return program.StatusFailed
}

// printBalancers prints a line for each balancer, with the serial numbers of its lists and its roster, and the balancer
// that holds the lease, the right to write the roster. The roster is the list of the upstreams and balancers of a region.
func printBalancers(w io.Writer, statuses []fleet.BalancerStatus) {
	fmt.Fprintln(w, "BALANCER\tADDRESS\tLISTS\tROSTER\tLEASE HOLDER")
	for _, s := range statuses {
		if s.Err() != nil {
			fmt.Fprintf(w, "unknown\t%s\t\t\t\n", s.Address())
			continue
		}
		r := s.Report()
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", r.Instance(), s.Address(), r.Digest().Root(), r.Digest().Roster(), r.Holder())
	}
}

// newestReport returns the report whose roster has the highest serial number.
func newestReport(statuses []fleet.BalancerStatus) landing.BalancerReport {
	newest := landing.BalancerReport{}
	for _, s := range statuses {
		if s.Report().Roster().Serial() >= newest.Roster().Serial() {
			newest = s.Report()
		}
	}
	return newest
}

// printTargets prints a line for each target, an upstream as the newest roster lists it.
func printTargets(w io.Writer, statuses []fleet.BalancerStatus) {
	r := newestReport(statuses)
	fmt.Fprintln(w, "\nUPSTREAM\tSERVICE\tZONE\tWEIGHT\tSTATE")
	for _, t := range r.Roster().Targets() {
		state := t.Phase().String()
		if mark.IsExcluded(r.Marks(), t) {
			state = "out"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", t.Instance(), t.Service(), t.Zone(), t.Weight(), state)
	}
}

// printMarks prints a line for each exclusion mark in the report with the newest roster, or nothing if there is none. A
// mark is for a zone or for an upstream, so that one of the two names in the first column is empty.
func printMarks(w io.Writer, statuses []fleet.BalancerStatus) {
	marks := newestReport(statuses).Marks()
	if marks.MarksLen() == 0 {
		return
	}
	fmt.Fprintln(w, "\nMARK\tSTATE\tCHANGES\tAUTHOR")
	for _, m := range marks.Marks() {
		state := actionBack
		if m.Out() {
			state = actionOut
		}
		fmt.Fprintf(w, "%s%s\t%s\t%d\t%s\n", m.Zone(), m.Upstream(), state, m.Count(), m.Author())
	}
}

// printCounters prints the counters of each balancer that are not zero.
func printCounters(w io.Writer, statuses []fleet.BalancerStatus) {
	fmt.Fprintln(w, "\nBALANCER\tCOUNTER\tVALUE")
	for _, s := range statuses {
		for _, c := range s.Report().Counters() {
			if c.Value() != 0 {
				fmt.Fprintf(w, "%s\t%s\t%d\n", s.Report().Instance(), c.Name(), c.Value())
			}
		}
	}
}
