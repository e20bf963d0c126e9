package command

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
	"github.com/crocuslanding/crocuslanding/core/pkg/document"
	"github.com/crocuslanding/crocuslanding/core/pkg/lists"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/config"
)

// Check checks the lists in a file.
func Check(e Env, args []string) int {
	o, ok := e.parse("check", args, 1)
	if !ok {
		return program.StatusUsage
	}
	_, _, ok = e.readLists(o.args[0])
	if !ok {
		return program.StatusUsage
	}
	fmt.Fprintln(e.out, "no findings")
	return program.StatusOK
}

// Diff shows what a file would change.
func Diff(e Env, args []string) int {
	o, ok := e.parse("diff", args, 1)
	if !ok {
		return program.StatusUsage
	}
	next, d, ok := e.readLists(o.args[0])
	if !ok {
		return program.StatusUsage
	}
	base, err := config.Read(e.ctx, o.client())
	if err != nil {
		return e.fail(err)
	}
	if !e.checkChange(base, next, d) {
		return program.StatusUsage
	}
	e.printDiff(base.Lists(), next)
	return program.StatusOK
}

// Apply puts the lists in a file into force.
func Apply(e Env, args []string) int {
	o, ok := e.parse("apply", args, 1)
	if !ok {
		return program.StatusUsage
	}
	next, d, ok := e.readLists(o.args[0])
	if !ok {
		return program.StatusUsage
	}
	base, err := config.Read(e.ctx, o.client())
	if err != nil {
		return e.fail(err)
	}
	if !e.checkChange(base, next, d) {
		return program.StatusUsage
	}
	if o.base != 0 && base.Root().Serial() != o.base {
		return e.conflict(o, next)
	}
	e.printDiff(base.Lists(), next)
	if o.dryRun {
		return program.StatusOK
	}
	root, err := config.Write(e.ctx, o.client(), base, next, o.author, time.Now())
	if trace.IsCompareFailed(err) {
		return e.conflict(o, next)
	}
	if err != nil {
		return e.fail(err)
	}
	fmt.Fprintf(e.out, "accepted as %d\n", root.Serial())
	return e.awaitRoot(o, root.Serial())
}

// History shows the changes of the lists.
func History(e Env, args []string) int {
	o, ok := e.parse("history", args, 0)
	if !ok {
		return program.StatusUsage
	}
	roots, err := config.History(e.ctx, o.client(), historyEntries)
	if err != nil {
		return e.fail(err)
	}
	for _, r := range roots {
		fmt.Fprintf(e.out, "%d\t%s\t%s\n", r.Serial(), r.Made().Format(time.RFC3339), r.Author())
	}
	return program.StatusOK
}

// readLists reads and checks a file; false means that findings were printed.
func (e Env) readLists(path string) (landing.Lists, *document.Document, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(e.errOut, err)
		return landing.Lists{}, nil, false
	}
	m := &landingpb.Lists{}
	d := document.Read(path, data, m)
	if len(d.Findings()) > 0 {
		return landing.Lists{}, d, e.printFindings(d)
	}
	l := codec.DecodeLists(m)
	lists.Check(l, d.Add)
	return l, d, e.printFindings(d)
}

// checkChange checks next against the lists in force; false means that findings were printed.
func (e Env) checkChange(base config.Config, next landing.Lists, d *document.Document) bool {
	lists.CheckChange(base.Lists(), next, d.Add)
	return e.printFindings(d)
}

// printFindings prints all findings; true means that there were none.
func (e Env) printFindings(d *document.Document) bool {
	for _, f := range d.Findings() {
		fmt.Fprintln(e.errOut, document.Format(f))
	}
	return len(d.Findings()) == 0
}

func (e Env) printDiff(before, after landing.Lists) {
	for _, line := range lists.Diff(before, after) {
		fmt.Fprintln(e.out, line)
	}
}

// conflict shows the change of the other operator against this one's.
func (e Env) conflict(o options, next landing.Lists) int {
	now, err := config.Read(e.ctx, o.client())
	if err != nil {
		return e.fail(err)
	}
	fmt.Fprintf(e.errOut, "refused: %s put version %d into force at %s\n", now.Root().Author(), now.Root().Serial(), now.Root().Made().Format(time.RFC3339))
	fmt.Fprintln(e.errOut, "your lists against it:")
	for _, line := range lists.Diff(now.Lists(), next) {
		fmt.Fprintln(e.errOut, line)
	}
	return StatusConflict
}
