package lists

import (
	"reflect"
	"slices"
	"strconv"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Diff returns one line for each service, plan and customer that differs, such as "+ plan basic": a
// sign, the kind and the name of the entry. The sign is "+" for an entry that is only in after, "-" for
// one that is only in before, and "~" for one that has changed. The lines are sorted.
func Diff(before, after landing.Lists) []string {
	entriesBefore := entriesByName(before)
	entriesAfter := entriesByName(after)
	var lines []string
	for name, entryAfter := range entriesAfter {
		entryBefore, found := entriesBefore[name]
		if !found {
			lines = append(lines, "+ "+name)
		} else if !reflect.DeepEqual(entryBefore, entryAfter) {
			lines = append(lines, "~ "+name)
		}
	}
	for name := range entriesBefore {
		if _, found := entriesAfter[name]; !found {
			lines = append(lines, "- "+name)
		}
	}
	slices.Sort(lines)
	return lines
}

// entriesByName returns all entries of l by their kind and name, such as "plan basic".
func entriesByName(l landing.Lists) map[string]any {
	entries := map[string]any{}
	for _, s := range l.Services() {
		entries["service "+s.Name()] = s
	}
	for _, p := range l.Plans() {
		entries["plan "+p.Name()] = p
	}
	for _, c := range l.Customers() {
		entries["customer "+c.Name()] = c
	}
	return entries
}

// CheckChange reports every address that belongs to different services before and after a change.
// Processes apply a change at different times, so an address must be removed from one service in a
// change of its own before a later change gives it to another service.
func CheckChange(before, after landing.Lists, report ReportFunc) {
	serviceByAddress := map[string]string{}
	for _, s := range before.Services() {
		serviceByAddress[s.Address()] = s.Name()
	}
	for i, s := range after.Services() {
		service, isUsed := serviceByAddress[s.Address()]
		if isUsed && service != s.Name() {
			report(addressPlace(i), "is in use by "+service+"; remove that service in a separate change first")
		}
	}
}

func addressPlace(i int) string {
	return "services[" + strconv.Itoa(i) + "].address"
}
