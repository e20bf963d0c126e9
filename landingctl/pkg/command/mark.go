package command

import (
	"fmt"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
)

// First argument of the commands zone and upstream, and state in the table of marks: out excludes the zone or upstream,
// back readmits it.
const (
	actionOut  = "out"
	actionBack = "back"
)

// Zone excludes or readmits an availability zone.
func Zone(e Env, args []string) int {
	return e.setMark("zone", args, mark.SetZone)
}

// Upstream excludes or readmits an upstream.
func Upstream(e Env, args []string) int {
	return e.setMark("upstream", args, mark.SetUpstream)
}

// setMark sets an exclusion mark, with set, at the seed balancers and in the platform, and waits until all balancers have
// it in force. It returns StatusFailed only if neither a balancer nor the platform accepts the mark, so that a mark can be
// set during an outage of either. If the platform was not reachable, balancers write the mark to the platform later.
func (e Env) setMark(command string, args []string, set func(landing.ExclusionMarks, string, bool, string) landing.ExclusionMarks) int {
	o, ok := e.parse(command, args, 2)
	if !ok {
		return program.StatusUsage
	}
	if o.args[0] != actionOut && o.args[0] != actionBack {
		fmt.Fprintf(e.errOut, "the first argument must be %s or %s, not %q\n", actionOut, actionBack, o.args[0])
		return program.StatusUsage
	}
	f := o.fleet()
	defer f.Close()
	marks := landing.ExclusionMarks{}
	for _, s := range f.QueryStatus(e.ctx, landing.StatusRequest{}) {
		marks = mark.Merge(marks, s.Report().Marks())
	}
	next := set(marks, o.args[1], o.args[0] == actionOut, o.author)
	if o.dryRun {
		return program.StatusOK
	}
	accepted := f.SendMarks(e.ctx, next)
	merged, err := platform.MergeMarks(e.ctx, o.client(), next)
	if err != nil && accepted == 0 {
		return e.fail(err)
	}
	if err != nil {
		fmt.Fprintln(e.errOut, "the platform does not answer; the balancers keep the mark and save it later")
		merged = next
	}
	fmt.Fprintf(e.out, "accepted: %s %s %s\n", command, o.args[1], o.args[0])
	return e.awaitMarks(o, merged)
}
