// Package lists checks the lists that operators edit, compares them, and cuts them into chunks.
package lists

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/plan"
)

// ReportFunc takes the faults that Check finds, with the place of each, such as customers[2].plan.
type ReportFunc func(place, fault string)

// Check reports every fault of l.
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
			report(place+".name", "has the same tag as "+other+"; choose another name")
		}
		tags[tag] = s.Name()
	}
}

func checkName(name string, seen map[string]bool, place string, report ReportFunc) {
	if name == "" {
		report(place+".name", "is missing")
		return
	}
	if seen[name] {
		report(place+".name", "stands twice: "+name)
	}
	seen[name] = true
}

func checkAddress(text string, seen map[string]bool, place string, report ReportFunc) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		report(place, fmt.Sprintf("must be an IPv4 address and port, is %q", text))
		return
	}
	if seen[text] {
		report(place, "stands twice: "+text)
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

func checkGrants(grants []landing.Grant, services map[string]bool, place string, report ReportFunc) {
	seen := map[string]bool{}
	for i, g := range grants {
		inner := fmt.Sprintf("%s.grants[%d]", place, i)
		if !services[g.Service()] {
			report(inner+".service", fmt.Sprintf("is no service: %q", g.Service()))
		}
		if seen[g.Service()] {
			report(inner+".service", "stands twice: "+g.Service())
		}
		seen[g.Service()] = true
		if g.ZonesLen() == 0 {
			report(inner+".zones", "is missing")
		}
		checkZones(g.Zones(), inner, report)
		if g.Flows() == 0 {
			report(inner+".flows", "must be 1 or more")
		}
	}
}

func checkZones(zones []string, place string, report ReportFunc) {
	for i, z := range zones {
		if z == "" {
			report(fmt.Sprintf("%s.zones[%d]", place, i), "is empty")
		}
		if slices.Index(zones, z) < i {
			report(fmt.Sprintf("%s.zones[%d]", place, i), "stands twice: "+z)
		}
	}
}

func checkCustomers(l landing.Lists, report ReportFunc) {
	plans := map[string]bool{}
	for _, p := range l.Plans() {
		plans[p.Name()] = true
	}
	names := map[string]bool{}
	var all []placedPrefix
	for i, c := range l.Customers() {
		place := fmt.Sprintf("customers[%d]", i)
		checkName(c.Name(), names, place, report)
		if !plans[c.Plan()] {
			report(place+".plan", fmt.Sprintf("is no plan: %q", c.Plan()))
		}
		if c.PrefixesLen() == 0 {
			report(place+".prefixes", "is missing")
		}
		all = append(all, parsePrefixes(c, place, report)...)
	}
	checkOverlaps(all, report)
}

// placedPrefix is a prefix and where it stands.
type placedPrefix struct {
	prefix netip.Prefix
	place  string
	owner  string
}

func parsePrefixes(c landing.Customer, place string, report ReportFunc) []placedPrefix {
	var list []placedPrefix
	for i, text := range c.Prefixes() {
		inner := fmt.Sprintf("%s.prefixes[%d]", place, i)
		p, err := netip.ParsePrefix(text)
		if err != nil || !p.Addr().Is4() || p.Masked() != p {
			report(inner, fmt.Sprintf("must be an IPv4 prefix such as 10.1.0.0/24, is %q", text))
			continue
		}
		list = append(list, placedPrefix{p, inner, c.Name()})
	}
	return list
}

// checkOverlaps compares each prefix with the one before it in order of address: prefixes
// are nested or disjoint, so an overlap always shows against the widest so far.
func checkOverlaps(all []placedPrefix, report ReportFunc) {
	slices.SortStableFunc(all, func(a, b placedPrefix) int {
		if c := a.prefix.Addr().Compare(b.prefix.Addr()); c != 0 {
			return c
		}
		return a.prefix.Bits() - b.prefix.Bits()
	})
	for i := 1; i < len(all); i++ {
		if !all[i].prefix.Overlaps(all[i-1].prefix) {
			continue
		}
		report(all[i].place, fmt.Sprintf("%s overlaps %s of %s", all[i].prefix, all[i-1].prefix, all[i-1].owner))
		all[i] = all[i-1]
	}
}
