package lists

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
	"github.com/crocuslanding/crocuslanding/core/pkg/document"
	"github.com/crocuslanding/crocuslanding/core/pkg/finding"
)

const validLists = `{
  "services": [{"name": "desk", "address": "10.200.0.1:80", "kind": "KIND_REQUESTS"}],
  "customers": [{"name": "north", "plan": "full", "prefixes": ["10.1.0.0/24"]}],
  "plans": [{"name": "full", "grants": [{"service": "desk", "zones": ["a"], "flows": 10}]}]
}`

// formattedFindings returns the findings of a lists file with this text, as landingctl prints them.
func formattedFindings(text string) []string {
	m := &landingpb.Lists{}
	d := document.Parse("lists.json", []byte(text), m)
	if len(d.Findings()) == 0 {
		Check(codec.DecodeLists(m), d.AddFinding)
	}
	var list []string
	for _, f := range d.Findings() {
		list = append(list, finding.Format(f))
	}
	return list
}

func TestCheck_ValidListsHaveNoFindings(t *testing.T) {
	is := is.New(t)
	is.Equal(len(formattedFindings(validLists)), 0)
}

func TestCheck_ReportsPlaceOfEachFault(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown field":   {`"plan": "full"`, `"plam": "full"`, "lists.json:3: customers[0].plam: is not a known field"},
		"doubled field":   {`"flows": 10`, `"flows": 10, "flows": 11`, "lists.json:4: plans[0].grants[0].flows: is given twice"},
		"wrong type":      {`"flows": 10`, `"flows": "many"`, "plans[0].grants[0].flows: must be a number"},
		"negative":        {`"flows": 10`, `"flows": -1`, "must be a whole number from 0"},
		"zero":            {`"flows": 10`, `"flows": 0`, "plans[0].grants[0].flows: must be 1 or more"},
		"object for list": {`["a"]`, `{}`, "plans[0].grants[0].zones: must be a list"},
		"list for object": {`"plans": [{`, `"plans": [[], {`, "plans[0]: must be an object"},
		"wrong kind":      {`KIND_REQUESTS`, `KIND_SONG`, "services[0].kind: must be a name of Kind"},
		"missing kind":    {`, "kind": "KIND_REQUESTS"`, ``, "services[0].kind: must be KIND_STREAM or KIND_REQUESTS"},
		"wrong address":   {`10.200.0.1:80`, `desk:80`, "services[0].address: must be an IPv4 address and port"},
		"unknown plan":    {`"plan": "full"`, `"plan": "none"`, `lists.json:3: customers[0].plan: is not a plan of these lists: "none"`},
		"unknown service": {`"service": "desk"`, `"service": "store"`, "plans[0].grants[0].service: is not a service of these lists"},
		"wrong prefix":    {`10.1.0.0/24`, `10.1.0.1/24`, "customers[0].prefixes[0]: must be an IPv4 prefix"},
		"overlap":         {`["10.1.0.0/24"]`, `["10.1.0.0/24", "10.1.0.128/25"]`, "10.1.0.128/25 overlaps 10.1.0.0/24 of north"},
		"missing name":    {`"name": "north", `, ``, "customers[0].name: is missing"},
		"doubled zone":    {`["a"]`, `["a", "a"]`, "plans[0].grants[0].zones[1]: is used twice: a"},
		"missing zones":   {`["a"]`, `[]`, "plans[0].grants[0].zones: is missing"},
		"cut off": {`}]
}`, ``, "lists.json:4: file: is cut off"},
		"more after the end": {`}]
}`, `}]} {}`, "more follows after the end"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validLists, c.old, c.new, 1)
			is.True(text != validLists)
			all := strings.Join(formattedFindings(text), "\n")
			if !strings.Contains(all, c.want) {
				t.Fatalf("findings %q lack %q", all, c.want)
			}
		})
	}
}

func TestCheck_ReportsAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(`"plan": "full"`, `"plan": "none"`, `10.1.0.0/24`, `x`, `"flows": 10`, `"flows": 0`).Replace(validLists)
	is.Equal(len(formattedFindings(text)), 3) // one for each replaced text
}

func TestParse_RejectsTooLargeFile(t *testing.T) {
	is := is.New(t)
	found := formattedFindings(validLists + strings.Repeat(" ", document.MaxBytes))
	is.Equal(len(found), 1)
	is.True(strings.Contains(found[0], "more than"))
}

// newLists returns lists with this number of customers.
func newLists(customerCount int) landing.Lists {
	var all []landing.Customer
	for i := range customerCount {
		all = append(all, landing.Customer{}.WithName(fmt.Sprintf("firm-%d", i)).WithPlan("full"))
	}
	return landing.Lists{}.WithCustomers(all...)
}

func TestSplit_ChangedCustomerChangesOneChunk(t *testing.T) {
	is := is.New(t)
	before := newLists(1000)
	is.Equal(len(Diff(Join(Split(before)), before)), 0)
	all := before.Customers()
	all[500] = all[500].WithPlan("other")
	a, b := Split(before), Split(before.WithCustomers(all...))
	changed := 0
	for i := range a {
		if len(Diff(Join(a[i:i+1]), Join(b[i:i+1]))) > 0 {
			changed++
		}
	}
	is.Equal(changed, 1)
}

func TestCheckChange_ReportsAddressMovedToOtherService(t *testing.T) {
	is := is.New(t)
	a := landing.Lists{}.WithServices(landing.Service{}.WithName("desk").WithAddress("10.0.0.1:80"))
	b := landing.Lists{}.WithServices(landing.Service{}.WithName("store").WithAddress("10.0.0.1:80"))
	var places []string
	CheckChange(a, b, func(place, _ string) { places = append(places, place) })
	is.Equal(places, []string{"services[0].address"})
}

func ExampleDiff() {
	a := landing.Lists{}.WithCustomers(landing.Customer{}.WithName("north").WithPlan("full"))
	b := landing.Lists{}.WithCustomers(landing.Customer{}.WithName("north").WithPlan("desk"), landing.Customer{}.WithName("south"))
	for _, line := range Diff(a, b) {
		fmt.Println(line)
	}
	// Output:
	// + customer south
	// ~ customer north
}
