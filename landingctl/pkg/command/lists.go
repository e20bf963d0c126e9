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
	"github.com/crocuslanding/crocuslanding/core/pkg/finding"
	"github.com/crocuslanding/crocuslanding/core/pkg/lists"
	"github.com/crocuslanding/crocuslanding/core/pkg/program"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/config"
)

// Check checks the lists in a file and prints the findings, which are the faults in the lists with their positions.
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

// Diff prints what changes if the lists in a file replace the lists in force.
func Diff(e Env, args []string) int {
	c, status := e.prepareChange("diff", args)
	if status != program.StatusOK {
		return status
	}
	e.printDiff(c.base.Lists(), c.next)
	return program.StatusOK
}

// Apply puts the lists in a file into force and waits until all balancers use them. It returns StatusConflict if another
// operator changes the lists between the read of the lists in force and the write, or if the lists in force do not have
// the serial number of the flag -base.
func Apply(e Env, args []string) int {
	c, status := e.prepareChange("apply", args)
	if status != program.StatusOK {
		return status
	}
	if c.options.baseSerial != 0 && c.base.Root().Serial() != c.options.baseSerial {
		return e.conflict(c)
	}
	e.printDiff(c.base.Lists(), c.next)
	if c.options.dryRun {
		return program.StatusOK
	}
	root, err := config.Write(e.ctx, c.options.client(), c.base, c.next, c.options.author, time.Now())
	if trace.IsCompareFailed(err) {
		return e.conflict(c)
	}
	if err != nil {
		return e.fail(err)
	}
	fmt.Fprintf(e.out, "accepted as version %d\n", root.Serial())
	return e.awaitRoot(c.options, root.Serial())
}

// listsChange is a change of the lists from base, the lists in force when the command read them, to next. It has passed
// all checks.
type listsChange struct {
	options options
	base    config.Config
	next    landing.Lists
}

// prepareChange reads the lists in a file and those in force, and checks the change. If it fails, it prints the reason
// and returns an exit status other than StatusOK.
func (e Env) prepareChange(name string, args []string) (listsChange, int) {
	o, ok := e.parse(name, args, 1)
	if !ok {
		return listsChange{}, program.StatusUsage
	}
	next, d, ok := e.readLists(o.args[0])
	if !ok {
		return listsChange{}, program.StatusUsage
	}
	base, err := config.Read(e.ctx, o.client())
	if err != nil {
		return listsChange{}, e.fail(err)
	}
	if !e.checkChange(base, next, d) {
		return listsChange{}, program.StatusUsage
	}
	return listsChange{options: o, base: base, next: next}, program.StatusOK
}

// History prints the serial number, time and author of the newest versions of the lists, newest first.
func History(e Env, args []string) int {
	o, ok := e.parse("history", args, 0)
	if !ok {
		return program.StatusUsage
	}
	roots, err := config.History(e.ctx, o.client(), maxHistoryEntries)
	if err != nil {
		return e.fail(err)
	}
	for _, r := range roots {
		fmt.Fprintf(e.out, "%d\t%s\t%s\n", r.Serial(), r.Made().Format(time.RFC3339), r.Author())
	}
	return program.StatusOK
}

// readLists reads and checks the lists in a file. If that fails, it prints the error or the findings and returns false.
func (e Env) readLists(path string) (landing.Lists, *document.Document, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(e.errOut, err)
		return landing.Lists{}, nil, false
	}
	m := &landingpb.Lists{}
	d := document.Parse(path, data, m)
	if len(d.Findings()) > 0 {
		return landing.Lists{}, d, e.printFindings(d)
	}
	l := codec.DecodeLists(m)
	lists.Check(l, d.AddFinding)
	return l, d, e.printFindings(d)
}

// checkChange checks the change from the lists in force to next. If there are findings, it prints them and returns false.
func (e Env) checkChange(base config.Config, next landing.Lists, d *document.Document) bool {
	lists.CheckChange(base.Lists(), next, d.AddFinding)
	return e.printFindings(d)
}

// printFindings prints all findings. It returns true if there are none.
func (e Env) printFindings(d *document.Document) bool {
	for _, f := range d.Findings() {
		fmt.Fprintln(e.errOut, finding.Format(f))
	}
	return len(d.Findings()) == 0
}

// printDiff prints a line for each entry of the lists that differs between before and after.
func (e Env) printDiff(before, after landing.Lists) {
	for _, line := range lists.Diff(before, after) {
		fmt.Fprintln(e.out, line)
	}
}

// conflict prints who put the lists that are now in force into force, and how the lists of the refused change differ from
// them. It returns the exit status.
func (e Env) conflict(c listsChange) int {
	current, err := config.Read(e.ctx, c.options.client())
	if err != nil {
		return e.fail(err)
	}
	fmt.Fprintf(e.errOut, "refused: %s put version %d into force at %s\n", current.Root().Author(), current.Root().Serial(), current.Root().Made().Format(time.RFC3339))
	fmt.Fprintln(e.errOut, "differences from that version to your lists:")
	for _, line := range lists.Diff(current.Lists(), c.next) {
		fmt.Fprintln(e.errOut, line)
	}
	return StatusConflict
}
