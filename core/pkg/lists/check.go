// Package lists validates the lists of services, customers and plans that operators edit (a plan states
// which services its customers may use), compares two versions of them, and splits them into chunks for
// storage. The root, a small object, names the chunks of the lists in force.
package lists

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
)

// ReportFunc receives a fault that Check or CheckChange finds, and its place, such as
// customers[2].plan.
type ReportFunc func(place, fault string)

// Check reports every fault of l: missing, malformed and duplicate values, unknown services and plans,
// overlapping prefixes, and services with the same service tag (see plan.ServiceTag).
func Check(l landing.Lists, report ReportFunc) {
	checkServices(l.Services(), report)
	checkPlans(l, report)
	checkCustomers(l, report)
}

func checkServices(services []landing.Service, report ReportFunc) {
	names := map[string]bool{}
	addresses := map[string]bool{}
	tags := map[uint32]string{}
	for i, s := range services {
		place := fmt.Sprintf("services[%d]", i)
		checkName(s.Name(), names, place, report)
		checkAddress(s.Address(), addresses, place+".address", report)
		if s.Kind() == landing.KindUnspecified {
			report(place+".kind", "must be KIND_STREAM or KIND_REQUESTS")
		}
		tag := plan.ServiceTag(s.Name())
		if other, ok := tags[tag]; ok && other != s.Name() {
			report(place+".name", "has the same service tag as "+other+"; choose another name")
		}
		tags[tag] = s.Name()
	}
}

func checkName(name string, seen map[string]bool, entryPlace string, report ReportFunc) {
	if name == "" {
		report(entryPlace+".name", "is missing")
		return
	}
	if seen[name] {
		report(entryPlace+".name", "is used twice: "+name)
	}
	seen[name] = true
}

func checkAddress(text string, seen map[string]bool, place string, report ReportFunc) {
	addrPort, err := netip.ParseAddrPort(text)
	if err != nil || !addrPort.Addr().Is4() || addrPort.Port() == 0 {
		report(place, fmt.Sprintf("must be an IPv4 address and port, is %q", text))
		return
	}
	if seen[text] {
		report(place, "is used twice: "+text)
	}
	seen[text] = true
}

func checkPlans(l landing.Lists, report ReportFunc) {
	services := map[string]bool{}
	for _, s := range l.Services() {
		services[s.Name()] = true
	}
	names := map[string]bool{}
	for i, p := range l.Plans() {
		place := fmt.Sprintf("plans[%d]", i)
		checkName(p.Name(), names, place, report)
		checkGrants(p.Grants(), services, place, report)
	}
}

func checkGrants(grants []landing.Grant, services map[string]bool, planPlace string, report ReportFunc) {
	seen := map[string]bool{}
	for i, g := range grants {
		grantPlace := fmt.Sprintf("%s.grants[%d]", planPlace, i)
		if !services[g.Service()] {
			report(grantPlace+".service", fmt.Sprintf("is not a service of these lists: %q", g.Service()))
		}
		if seen[g.Service()] {
			report(grantPlace+".service", "is used twice: "+g.Service())
		}
		seen[g.Service()] = true
		if g.ZonesLen() == 0 {
			report(grantPlace+".zones", "is missing")
		}
		checkZones(g.Zones(), grantPlace, report)
		if g.Flows() == 0 {
			report(grantPlace+".flows", "must be 1 or more")
		}
	}
}

func checkZones(zones []string, grantPlace string, report ReportFunc) {
	for i, zone := range zones {
		if zone == "" {
			report(fmt.Sprintf("%s.zones[%d]", grantPlace, i), "is empty")
		}
		if slices.Index(zones, zone) < i {
			report(fmt.Sprintf("%s.zones[%d]", grantPlace, i), "is used twice: "+zone)
		}
	}
}

func checkCustomers(l landing.Lists, report ReportFunc) {
	plans := map[string]bool{}
	for _, p := range l.Plans() {
		plans[p.Name()] = true
	}
	names := map[string]bool{}
	var prefixes []customerPrefix
	for i, c := range l.Customers() {
		place := fmt.Sprintf("customers[%d]", i)
		checkName(c.Name(), names, place, report)
		if !plans[c.Plan()] {
			report(place+".plan", fmt.Sprintf("is not a plan of these lists: %q", c.Plan()))
		}
		if c.PrefixesLen() == 0 {
			report(place+".prefixes", "is missing")
		}
		prefixes = append(prefixes, parsePrefixes(c, place, report)...)
	}
	checkOverlaps(prefixes, report)
}

// customerPrefix is a prefix of a customer, and its place in the lists.
type customerPrefix struct {
	prefix   netip.Prefix
	place    string
	customer string
}

// parsePrefixes returns the valid prefixes of c and reports the others.
func parsePrefixes(c landing.Customer, customerPlace string, report ReportFunc) []customerPrefix {
	var prefixes []customerPrefix
	for i, text := range c.Prefixes() {
		prefixPlace := fmt.Sprintf("%s.prefixes[%d]", customerPlace, i)
		prefix, err := netip.ParsePrefix(text)
		if err != nil || !prefix.Addr().Is4() || prefix.Masked() != prefix {
			report(prefixPlace, fmt.Sprintf("must be an IPv4 prefix such as 10.1.0.0/24, is %q", text))
			continue
		}
		prefixes = append(prefixes, customerPrefix{prefix, prefixPlace, c.Name()})
	}
	return prefixes
}

// checkOverlaps reports every prefix that lies inside another one; two prefixes that overlap are always
// nested. It sorts the prefixes by address, the widest first, and compares each with the one before it.
// After an overlap, the wider of the two prefixes is also compared with the next one.
func checkOverlaps(prefixes []customerPrefix, report ReportFunc) {
	slices.SortStableFunc(prefixes, func(a, b customerPrefix) int {
		if c := a.prefix.Addr().Compare(b.prefix.Addr()); c != 0 {
			return c
		}
		return a.prefix.Bits() - b.prefix.Bits()
	})
	for i := 1; i < len(prefixes); i++ {
		if !prefixes[i].prefix.Overlaps(prefixes[i-1].prefix) {
			continue
		}
		report(prefixes[i].place, fmt.Sprintf("%s overlaps %s of %s", prefixes[i].prefix, prefixes[i-1].prefix, prefixes[i-1].customer))
		prefixes[i] = prefixes[i-1]
	}
}
