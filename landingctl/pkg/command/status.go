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

const columnGap = 2

// Status shows the state of the fleet.
func Status(e Env, args []string) int {
	o, ok := e.parse("status", args, 0)
	if !ok {
		return program.StatusUsage
	}
	f := o.fleet()
	defer f.Close()
	states := f.QueryStatus(e.ctx, landing.StatusRequest{})
	if o.json {
		return e.printJSON(states)
	}
	w := tabwriter.NewWriter(e.out, 0, 0, columnGap, ' ', 0)
	printBalancers(w, states)
	printTargets(w, states)
	printMarks(w, states)
	printCounters(w, states)
	_ = w.Flush()
	return statusOf(states)
}

// Explain shows where a flow goes, or why it is refused, as each balancer sees it.
func Explain(e Env, args []string) int {
	o, ok := e.parse("explain", args, 2)
	if !ok {
		return program.StatusUsage
	}
	f := o.fleet()
	defer f.Close()
	q := landing.StatusRequest{}.
		WithCallerAddress(o.args[0]).
		WithServiceAddress(o.args[1]).
		WithCallerPort(uint32(o.port))
	states := f.QueryStatus(e.ctx, q)
	if o.json {
		return e.printJSON(states)
	}
	for _, s := range states {
		if s.Err() != nil {
			fmt.Fprintf(e.out, "%s\tunknown: %v\n", s.Address(), s.Err())
			continue
		}
		r := s.Report()
		fmt.Fprintf(e.out, "%s\t%s\t%s\n", r.Instance(), r.Verdict(), strings.Join(r.Chain(), " "))
	}
	return statusOf(states)
}

func (e Env) printJSON(states []fleet.BalancerStatus) int {
	for _, s := range states {
		b, err := protojson.Marshal(codec.EncodeBalancerReport(s.Report()))
		if err != nil {
			return e.fail(err)
		}
		fmt.Fprintln(e.out, string(b))
	}
	return statusOf(states)
}

func statusOf(states []fleet.BalancerStatus) int {
	for _, s := range states {
		if s.Err() == nil {
			return program.StatusOK
		}
	}
	return program.StatusFailed
}

func printBalancers(w io.Writer, states []fleet.BalancerStatus) {
	fmt.Fprintln(w, "BALANCER\tADDRESS\tLISTS\tROSTER\tLEASE HOLDER")
	for _, s := range states {
		if s.Err() != nil {
			fmt.Fprintf(w, "unknown\t%s\t\t\t\n", s.Address())
			continue
		}
		r := s.Report()
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", r.Instance(), s.Address(), r.Digest().Root(), r.Digest().Roster(), r.Holder())
	}
}

// newest returns the report with the newest roster.
func newest(states []fleet.BalancerStatus) landing.BalancerReport {
	best := landing.BalancerReport{}
	for _, s := range states {
		if s.Report().Roster().Serial() >= best.Roster().Serial() {
			best = s.Report()
		}
	}
	return best
}

func printTargets(w io.Writer, states []fleet.BalancerStatus) {
	r := newest(states)
	fmt.Fprintln(w, "\nUPSTREAM\tSERVICE\tZONE\tWEIGHT\tSTATE")
	for _, t := range r.Roster().Targets() {
		state := t.Phase().String()
		if mark.IsExcluded(r.Marks(), t) {
			state = "out"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", t.Instance(), t.Service(), t.Zone(), t.Weight(), state)
	}
}

func printMarks(w io.Writer, states []fleet.BalancerStatus) {
	marks := newest(states).Marks()
	if marks.MarksLen() == 0 {
		return
	}
	fmt.Fprintln(w, "\nMARK\tSTATE\tCHANGES\tAUTHOR")
	for _, m := range marks.Marks() {
		state := wordBack
		if m.Out() {
			state = wordOut
		}
		fmt.Fprintf(w, "%s%s\t%s\t%d\t%s\n", m.Zone(), m.Upstream(), state, m.Count(), m.Author())
	}
}

func printCounters(w io.Writer, states []fleet.BalancerStatus) {
	fmt.Fprintln(w, "\nBALANCER\tCOUNTER\tVALUE")
	for _, s := range states {
		for _, c := range s.Report().Counters() {
			if c.Value() != 0 {
				fmt.Fprintf(w, "%s\t%s\t%d\n", s.Report().Instance(), c.Name(), c.Value())
			}
		}
	}
}
