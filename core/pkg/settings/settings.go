// Package settings checks the settings of each program and reports every fault with its place.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// ReportFunc takes the faults that a check finds, with the place of each.
type ReportFunc func(place, fault string)

// CheckBalancer reports every fault of s.
func CheckBalancer(s landing.BalancerSettings, report ReportFunc) {
	checkNames(report, []named{{"instance", s.Instance()}, {"region", s.Region()}, {"zone", s.Zone()}})
	checkAddress(report, "front", s.Front())
	checkAddress(report, "control", s.Control())
	checkOptionalAddress(report, "metrics", s.Metrics())
	checkAddress(report, "platform", s.Platform())
	checkAddresses(report, "peers", s.Peers())
	checkPositive(report, "gossip", s.Gossip())
	checkPositive(report, "expiry", s.Expiry())
	if s.Expiry() < 2*s.Gossip() {
		report("expiry", "must be twice gossip or more")
	}
}

// CheckSidecar reports every fault of s.
func CheckSidecar(s landing.SidecarSettings, report ReportFunc) {
	checkNames(report, []named{
		{"instance", s.Instance()},
		{"region", s.Region()},
		{"zone", s.Zone()},
		{"service", s.Service()},
	})
	checkAddress(report, "front", s.Front())
	checkAddress(report, "local", s.Local())
	checkOptionalAddress(report, "metrics", s.Metrics())
	checkAddresses(report, "balancers", s.Balancers())
	if s.BalancersLen() == 0 {
		report("balancers", "is missing")
	}
	checkAddress(report, "fabric", s.Fabric())
	checkAddress(report, "upstream", s.Upstream())
	checkCount(report, "slots", s.Slots())
	checkCount(report, "connections", s.Connections())
	checkPositive(report, "heartbeat", s.Heartbeat())
	checkPositive(report, "queue", s.Queue())
	checkPositive(report, "deadline", s.Deadline())
	checkPositive(report, "keepalive", s.Keepalive())
}

// CheckPlatform reports every fault of s.
func CheckPlatform(s landing.PlatformSettings, report ReportFunc) {
	checkAddress(report, "listen", s.Listen())
	checkCount(report, "writes", s.Writes())
	checkCount(report, "reads", s.Reads())
}

// CheckFabric reports every fault of s.
func CheckFabric(s landing.FabricSettings, report ReportFunc) {
	checkAddress(report, "front", s.Front())
	checkAddresses(report, "balancers", s.Balancers())
	if s.BalancersLen() == 0 {
		report("balancers", "is missing")
	}
	for i, l := range s.Listeners() {
		place := fmt.Sprintf("listeners[%d]", i)
		checkAddress(report, place+".listen", l.Listen())
		checkAddress(report, place+".service", l.Service())
		if a, err := netip.ParseAddr(l.Caller()); err != nil || !a.Is4() {
			report(place+".caller", fmt.Sprintf("must be an IPv4 address, is %q", l.Caller()))
		}
	}
}

// CheckUpstream reports every fault of s.
func CheckUpstream(s landing.UpstreamSettings, report ReportFunc) {
	checkNames(report, []named{{"instance", s.Instance()}})
	checkAddress(report, "listen", s.Listen())
	checkOptionalAddress(report, "sidecar", s.Sidecar())
	checkCount(report, "slots", s.Slots())
	checkCount(report, "cold", s.Cold())
}

// named is a field that must not be empty.
type named struct {
	place string
	value string
}

func checkNames(report ReportFunc, fields []named) {
	for _, f := range fields {
		if f.value == "" {
			report(f.place, "is missing")
		}
	}
}

func checkAddress(report ReportFunc, place, text string) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		report(place, fmt.Sprintf("must be an IPv4 address and port, is %q", text))
	}
}

func checkOptionalAddress(report ReportFunc, place, text string) {
	if text != "" {
		checkAddress(report, place, text)
	}
}

func checkAddresses(report ReportFunc, place string, list []string) {
	for i, text := range list {
		checkAddress(report, fmt.Sprintf("%s[%d]", place, i), text)
	}
}

func checkCount(report ReportFunc, place string, n uint32) {
	if n == 0 {
		report(place, "must be 1 or more")
	}
}

func checkPositive(report ReportFunc, place string, d time.Duration) {
	if d <= 0 {
		report(place, "must be longer than 0s")
	}
}

// CheckRelayBalancer reports every fault of s.
func CheckRelayBalancer(s landing.RelayBalancerSettings, report ReportFunc) {
	checkNames(report, []named{{"instance", s.Instance()}, {"zone", s.Zone()}})
	checkAddress(report, "front", s.Front())
	checkAddress(report, "readiness", s.Readiness())
	checkAddress(report, "fleet", s.Fleet())
	checkOptionalAddress(report, "metrics", s.Metrics())
	checkAddress(report, "platform", s.Platform())
	checkAddresses(report, "seeds", s.Seeds())
	checkPositive(report, "grace", s.Grace())
	checkPositive(report, "leave", s.Leave())
	checkPositive(report, "apply", s.Apply())
	checkPositive(report, "exclude", s.Exclude())
	if s.Leave() >= s.Grace() {
		report("leave", "must be less than grace")
	}
}

// CheckRelaySidecar reports every fault of s.
func CheckRelaySidecar(s landing.RelaySidecarSettings, report ReportFunc) {
	checkNames(report, []named{{"instance", s.Instance()}, {"zone", s.Zone()}, {"service", s.Service()}})
	checkAddress(report, "front", s.Front())
	checkAddress(report, "outbound", s.Outbound())
	checkAddress(report, "local", s.Local())
	checkAddress(report, "upstream", s.Upstream())
	checkAddress(report, "readiness", s.Readiness())
	checkAddress(report, "fleet", s.Fleet())
	checkOptionalAddress(report, "metrics", s.Metrics())
	checkAddress(report, "platform", s.Platform())
	checkAddresses(report, "seeds", s.Seeds())
	checkPositive(report, "heartbeat", s.Heartbeat())
	checkPositive(report, "grace", s.Grace())
}
