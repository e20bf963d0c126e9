package command

import (
	"fmt"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
)

const (
	wordOut  = "out"
	wordBack = "back"
)

// Zone takes an availability zone out or puts it back.
func Zone(e Env, args []string) int {
	return e.setMark("zone", args, mark.SetZone)
}

// Upstream takes an upstream out or puts it back.
func Upstream(e Env, args []string) int {
	return e.setMark("upstream", args, mark.SetUpstream)
}

// setMark makes the mark known to balancers and platform, whichever can be reached.
func (e Env) setMark(name string, args []string, set func(landing.ExclusionMarks, string, bool, string) landing.ExclusionMarks) int {
	o, ok := e.parse(name, args, 2)
	if !ok {
		return program.StatusUsage
	}
	if o.args[0] != wordOut && o.args[0] != wordBack {
		fmt.Fprintf(e.errOut, "say %s or %s, not %q\n", wordOut, wordBack, o.args[0])
		return program.StatusUsage
	}
	f := o.fleet()
	defer f.Close()
	known := landing.ExclusionMarks{}
	for _, s := range f.QueryStatus(e.ctx, landing.StatusRequest{}) {
		known = mark.Merge(known, s.Report().Marks())
	}
	next := set(known, o.args[1], o.args[0] == wordOut, o.author)
	if o.dryRun {
		return program.StatusOK
	}
	taken := f.SendMarks(e.ctx, next)
	saved, err := platform.MergeMarks(e.ctx, o.client(), next)
	if err != nil && taken == 0 {
		return e.fail(err)
	}
	if err != nil {
		fmt.Fprintln(e.errOut, "the platform does not answer; the balancers keep the mark and save it later")
		saved = next
	}
	fmt.Fprintf(e.out, "accepted: %s %s %s\n", name, o.args[1], o.args[0])
	return e.awaitMarks(o, saved)
}
