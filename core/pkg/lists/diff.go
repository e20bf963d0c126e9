package lists

import (
	"reflect"
	"slices"
	"strconv"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Diff returns one line for each entry that differs between two lists: "+" when it is
// only in b, "-" when it is only in a, and "~" when it changed. The lines are sorted.
func Diff(a, b landing.Lists) []string {
	before := entries(a)
	after := entries(b)
	var lines []string
	for name, entry := range after {
		old, found := before[name]
		if !found {
			lines = append(lines, "+ "+name)
		} else if !reflect.DeepEqual(old, entry) {
			lines = append(lines, "~ "+name)
		}
	}
	for name := range before {
		if _, found := after[name]; !found {
			lines = append(lines, "- "+name)
		}
	}
	slices.Sort(lines)
	return lines
}

func entries(l landing.Lists) map[string]any {
	all := map[string]any{}
	for _, s := range l.Services() {
		all["service "+s.Name()] = s
	}
	for _, p := range l.Plans() {
		all["plan "+p.Name()] = p
	}
	for _, c := range l.Customers() {
		all["customer "+c.Name()] = c
	}
	return all
}

// CheckChange reports every address that b gives to another service than a does. Instances take a
// change up at different moments, so an address must be out of use for one change between two services.
func CheckChange(a, b landing.Lists, report ReportFunc) {
	owners := map[string]string{}
	for _, s := range a.Services() {
		owners[s.Address()] = s.Name()
	}
	for i, s := range b.Services() {
		owner, used := owners[s.Address()]
		if used && owner != s.Name() {
			report(placeOfAddress(i), "is in use by "+owner+"; take that service off the lists first")
		}
	}
}

func placeOfAddress(i int) string {
	return "services[" + strconv.Itoa(i) + "].address"
}
