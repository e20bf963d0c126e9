// Package route decides what a balancer does with a packet: along which chain of sidecars
// it is sent, or why it is refused. It knows nothing of sockets, time or encodings.
package route

import (
	"slices"
	"strings"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
)

// View is what a balancer's traffic workers read. It is immutable; a change makes a new one.
type View struct {
	index  *plan.Index
	lists  landing.Lists
	roster landing.Roster
	marks  landing.ExclusionMarks
	tables []*chain.Table
	shared map[tableKey]*chain.Table
}

// tableKey names a table: plans with the same availability zones share it.
type tableKey struct {
	service string
	zones   string
}

// New returns a view without configuration, which refuses every packet.
func New() *View {
	return &View{}
}

// WithLists returns a view with the lists in force.
func (v *View) WithLists(l landing.Lists) *View {
	next := *v
	next.lists = l
	next.index = plan.New(l)
	next.buildTables()
	return &next
}

// WithRoster returns a view with the roster in force.
func (v *View) WithRoster(r landing.Roster) *View {
	next := *v
	next.roster = r
	next.buildTables()
	return &next
}

// WithMarks returns a view with the marks in force.
func (v *View) WithMarks(m landing.ExclusionMarks) *View {
	next := *v
	next.marks = m
	next.buildTables()
	return &next
}

// Roster returns the roster in force.
func (v *View) Roster() landing.Roster {
	return v.roster
}

// Marks returns the marks in force.
func (v *View) Marks() landing.ExclusionMarks {
	return v.marks
}

// Lists returns the lists in force.
func (v *View) Lists() landing.Lists {
	return v.lists
}

// Route returns the verdict for a packet of flow k, with the first part of its chain.
func (v *View) Route(k landing.FlowKey) landing.Verdict {
	t, refusal := v.find(k)
	if t == nil {
		return refusals[refusal]
	}
	return t.Verdict(k)
}

// RoutePart returns the verdict for a packet that has passed the first parts of its chain.
func (v *View) RoutePart(k landing.FlowKey, part int) landing.Verdict {
	t, refusal := v.find(k)
	if t == nil {
		return refusals[refusal]
	}
	return t.VerdictForPart(k, part)
}

// Explain returns the verdict for flow k and all instances in the order in which they are tried.
func (v *View) Explain(k landing.FlowKey) (landing.Verdict, []string) {
	t, refusal := v.find(k)
	if t == nil {
		return refusals[refusal], nil
	}
	return t.Verdict(k), t.Instances(k)
}

// DependsOnListsOnly says whether a new flow that is refused for this reason is refused by every balancer with these
// lists, so that the caller is told at once. A refusal for want of a roster can differ elsewhere.
func DependsOnListsOnly(r landing.Refusal) bool {
	return r == landing.RefusalCaller || r == landing.RefusalService || r == landing.RefusalPlan
}

func (v *View) find(k landing.FlowKey) (*chain.Table, landing.Refusal) {
	if v.index == nil {
		return nil, landing.RefusalUnready
	}
	access, refusal := v.index.Find(k)
	if refusal != landing.RefusalUnspecified {
		return nil, refusal
	}
	return v.tables[access.GrantIndex()], landing.RefusalUnspecified
}

// buildTables makes the table of each grant; grants of the same service and zones share one.
func (v *View) buildTables() {
	if v.index == nil {
		return
	}
	targets := targetsByService(v.roster)
	before := v.shared
	v.shared = map[tableKey]*chain.Table{}
	v.tables = nil
	for _, g := range v.index.Grants() {
		key := keyOf(g)
		if v.shared[key] == nil {
			v.shared[key] = v.buildTable(before[key], g, targets[g.Service()])
		}
		v.tables = append(v.tables, v.shared[key])
	}
}

// buildTable keeps the old table when the targets are the same as before.
func (v *View) buildTable(old *chain.Table, g landing.Grant, of []landing.Target) *chain.Table {
	targets := v.inUse(of)
	if old != nil && old.MatchesTargets(targets) {
		return old.WithRosterSerial(v.roster.Serial())
	}
	return chain.New(g.Service(), v.roster.Serial(), targets, func(t landing.Target) bool {
		return !slices.Contains(g.Zones(), t.Zone())
	})
}

// inUse returns the targets that are not taken out. Those outside the grant's zones may still hold flows
// from before a change of the plan.
func (v *View) inUse(of []landing.Target) []landing.Target {
	var targets []landing.Target
	for _, t := range of {
		if !mark.IsExcluded(v.marks, t) {
			targets = append(targets, t)
		}
	}
	return targets
}

func targetsByService(r landing.Roster) map[string][]landing.Target {
	targets := map[string][]landing.Target{}
	for i := range r.TargetsLen() {
		t := r.TargetsAt(i)
		targets[t.Service()] = append(targets[t.Service()], t)
	}
	return targets
}

func keyOf(g landing.Grant) tableKey {
	zones := g.Zones()
	slices.Sort(zones)
	return tableKey{g.Service(), strings.Join(zones, " ")}
}

var refusals = newRefusals()

func newRefusals() []landing.Verdict {
	list := make([]landing.Verdict, landing.RefusalLeaving+1)
	for i := range list {
		list[i] = landing.Refuse{}.WithReason(landing.Refusal(i))
	}
	return list
}
