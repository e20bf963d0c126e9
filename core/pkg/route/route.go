// Package route decides what a balancer does with a packet: send it along a chain (the sidecars of
// a service in the order in which they may take the flow), or refuse it for a reason. It is
// independent of sockets, clocks and encodings.
package route

import (
	"slices"
	"strings"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/chain"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
)

// View is the routing state that the workers of a balancer read: the lists (the services, customers
// and plans that operators configure), the roster (the targets and balancers of the region), the
// exclusion marks (zones and upstreams that operators take out of service) and the chain tables
// computed from them. A target is an upstream as the roster lists it, reached through its sidecar.
// A View is immutable; the With methods return a new one.
type View struct {
	planIndex *plan.Index
	lists     landing.Lists
	roster    landing.Roster
	marks     landing.ExclusionMarks
	// tablesByGrant holds the table of each grant (the permission of a plan to use a service in
	// some zones), at the index that plan.Access.GrantIndex returns.
	tablesByGrant []*chain.Table
	tablesByKey   map[tableKey]*chain.Table
}

// tableKey identifies a chain table by the service and the sorted availability zones of a grant.
// Grants of several plans with the same key share one table.
type tableKey struct {
	service string
	zones   string
}

// New returns a view without configuration, which refuses every packet.
func New() *View {
	return &View{}
}

// WithLists returns a view with the given lists. It rebuilds the plan index and the tables whose
// targets change.
func (v *View) WithLists(l landing.Lists) *View {
	next := *v
	next.lists = l
	next.planIndex = plan.New(l)
	next.buildTables()
	return &next
}

// WithRoster returns a view with the given roster. It rebuilds the tables whose targets change.
func (v *View) WithRoster(r landing.Roster) *View {
	next := *v
	next.roster = r
	next.buildTables()
	return &next
}

// WithMarks returns a view with the given exclusion marks. It rebuilds the tables whose targets
// change.
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

// Route returns the verdict for a packet of flow k: the first part of its chain, or a refusal.
func (v *View) Route(k landing.FlowKey) landing.Verdict {
	t, refusal := v.findTable(k)
	if t == nil {
		return refuseVerdicts[refusal]
	}
	return t.Verdict(k)
}

// RoutePart returns the verdict with the given part of the chain of flow k, counted from 0. It is
// used for a packet that came back because no sidecar of the previous parts took it.
func (v *View) RoutePart(k landing.FlowKey, part int) landing.Verdict {
	t, refusal := v.findTable(k)
	if t == nil {
		return refuseVerdicts[refusal]
	}
	return t.VerdictForPart(k, part)
}

// Explain returns the verdict for flow k and the instance names of all targets in the order in
// which the flow is offered to them.
func (v *View) Explain(k landing.FlowKey) (landing.Verdict, []string) {
	t, refusal := v.findTable(k)
	if t == nil {
		return refuseVerdicts[refusal], nil
	}
	return t.Verdict(k), t.Instances(k)
}

// DependsOnListsOnly reports whether every balancer with the same lists refuses a new flow for this
// reason, so that the flow can be reset at once. Other refusals also depend on the roster, which
// may differ between balancers.
func DependsOnListsOnly(r landing.Refusal) bool {
	return r == landing.RefusalCaller || r == landing.RefusalService || r == landing.RefusalPlan
}

// findTable returns the table for flow k, or nil and the reason to refuse the flow.
func (v *View) findTable(k landing.FlowKey) (*chain.Table, landing.Refusal) {
	if v.planIndex == nil {
		return nil, landing.RefusalUnready
	}
	access, refusal := v.planIndex.Find(k)
	if refusal != landing.RefusalUnspecified {
		return nil, refusal
	}
	return v.tablesByGrant[access.GrantIndex()], landing.RefusalUnspecified
}

// buildTables computes the table of each grant. Grants of the same service and zones share a table.
func (v *View) buildTables() {
	if v.planIndex == nil {
		return
	}
	targets := targetsByService(v.roster)
	previous := v.tablesByKey
	v.tablesByKey = map[tableKey]*chain.Table{}
	v.tablesByGrant = nil
	for _, g := range v.planIndex.Grants() {
		key := newTableKey(g)
		if v.tablesByKey[key] == nil {
			v.tablesByKey[key] = v.buildTable(previous[key], g, targets[g.Service()])
		}
		v.tablesByGrant = append(v.tablesByGrant, v.tablesByKey[key])
	}
}

// buildTable returns the table of grant g. When the targets are the same as those of the previous
// table, it reuses that table and changes only the roster serial number. Previous may be nil.
func (v *View) buildTable(previous *chain.Table, g landing.Grant, serviceTargets []landing.Target) *chain.Table {
	targets := v.withoutExcluded(serviceTargets)
	if previous != nil && previous.MatchesTargets(targets) {
		return previous.WithRosterSerial(v.roster.Serial())
	}
	return chain.New(g.Service(), v.roster.Serial(), targets, func(t landing.Target) bool {
		return !slices.Contains(g.Zones(), t.Zone())
	})
}

// withoutExcluded returns the targets that no exclusion mark takes out of service. It keeps targets
// outside the zones of a grant, since they may still hold flows that were opened before a change of
// the plan.
func (v *View) withoutExcluded(targets []landing.Target) []landing.Target {
	var included []landing.Target
	for _, t := range targets {
		if !mark.IsExcluded(v.marks, t) {
			included = append(included, t)
		}
	}
	return included
}

// targetsByService returns the targets of the roster by the name of their service.
func targetsByService(r landing.Roster) map[string][]landing.Target {
	targets := map[string][]landing.Target{}
	for i := range r.TargetsLen() {
		t := r.TargetsAt(i)
		targets[t.Service()] = append(targets[t.Service()], t)
	}
	return targets
}

func newTableKey(g landing.Grant) tableKey {
	zones := g.Zones()
	slices.Sort(zones)
	return tableKey{g.Service(), strings.Join(zones, " ")}
}

// refuseVerdicts holds one prebuilt verdict for each Refusal, of which RefusalLeaving is the last.
var refuseVerdicts = newRefuseVerdicts()

func newRefuseVerdicts() []landing.Verdict {
	verdicts := make([]landing.Verdict, landing.RefusalLeaving+1)
	for i := range verdicts {
		verdicts[i] = landing.Refuse{}.WithReason(landing.Refusal(i))
	}
	return verdicts
}
