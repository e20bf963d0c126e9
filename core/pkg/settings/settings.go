// Package settings validates the settings of the programs. All faults in them are reported, not only the first one.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// ReportFunc receives each fault that a check finds. place is the path of the field, such as peers[0], and fault
// describes what is wrong with its value.
type ReportFunc func(place, fault string)

// CheckBalancer reports every fault in s.
func CheckBalancer(s landing.BalancerSettings, report ReportFunc) {
	checkNotEmpty(report, []namedValue{{"instance", s.Instance()}, {"region", s.Region()}, {"zone", s.Zone()}})
	checkAddress(report, "front", s.Front())
	checkAddress(report, "control", s.Control())
	checkOptionalAddress(report, "metrics", s.Metrics())
	checkAddress(report, "platform", s.Platform())
	checkAddresses(report, "peers", s.Peers())
	checkPositiveDuration(report, "gossip", s.Gossip())
	checkPositiveDuration(report, "expiry", s.Expiry())
	if s.Expiry() < 2*s.Gossip() {
		report("expiry", "must be twice gossip or more")
	}
}

// CheckSidecar reports every fault in s.
func CheckSidecar(s landing.SidecarSettings, report ReportFunc) {
	checkNotEmpty(report, []namedValue{
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
	checkPositiveCount(report, "slots", s.Slots())
	checkPositiveCount(report, "connections", s.Connections())
	checkPositiveDuration(report, "heartbeat", s.Heartbeat())
	checkPositiveDuration(report, "queue", s.Queue())
	checkPositiveDuration(report, "deadline", s.Deadline())
	checkPositiveDuration(report, "keepalive", s.Keepalive())
}

// CheckPlatform reports every fault in s.
func CheckPlatform(s landing.PlatformSettings, report ReportFunc) {
	checkAddress(report, "listen", s.Listen())
	checkPositiveCount(report, "writes", s.Writes())
	checkPositiveCount(report, "reads", s.Reads())
}

// CheckFabric reports every fault in s.
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

// CheckUpstream reports every fault in s.
func CheckUpstream(s landing.UpstreamSettings, report ReportFunc) {
	checkNotEmpty(report, []namedValue{{"instance", s.Instance()}})
	checkAddress(report, "listen", s.Listen())
	checkOptionalAddress(report, "sidecar", s.Sidecar())
	checkPositiveCount(report, "slots", s.Slots())
	checkPositiveCount(report, "cold", s.Cold())
}

// namedValue is the value of a string field, and the place of the field.
type namedValue struct {
	place string
	value string
}

func checkNotEmpty(report ReportFunc, fields []namedValue) {
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

func checkAddresses(report ReportFunc, place string, addresses []string) {
	for i, text := range addresses {
		checkAddress(report, fmt.Sprintf("%s[%d]", place, i), text)
	}
}

func checkPositiveCount(report ReportFunc, place string, n uint32) {
	if n == 0 {
		report(place, "must be 1 or more")
	}
}

func checkPositiveDuration(report ReportFunc, place string, d time.Duration) {
	if d <= 0 {
		report(place, "must be longer than 0s")
	}
}

// CheckRelayBalancer reports every fault in s.
func CheckRelayBalancer(s landing.RelayBalancerSettings, report ReportFunc) {
	checkNotEmpty(report, []namedValue{{"instance", s.Instance()}, {"zone", s.Zone()}})
	checkAddress(report, "front", s.Front())
	checkAddress(report, "readiness", s.Readiness())
	checkAddress(report, "fleet", s.Fleet())
	checkOptionalAddress(report, "metrics", s.Metrics())
	checkAddress(report, "platform", s.Platform())
	checkAddresses(report, "seeds", s.Seeds())
	checkPositiveDuration(report, "grace", s.Grace())
	checkPositiveDuration(report, "leave", s.Leave())
	checkPositiveDuration(report, "apply", s.Apply())
	checkPositiveDuration(report, "exclude", s.Exclude())
	if s.Leave() >= s.Grace() {
		report("leave", "must be less than grace")
	}
}

// CheckRelaySidecar reports every fault in s.
func CheckRelaySidecar(s landing.RelaySidecarSettings, report ReportFunc) {
	checkNotEmpty(report, []namedValue{{"instance", s.Instance()}, {"zone", s.Zone()}, {"service", s.Service()}})
	checkAddress(report, "front", s.Front())
	checkAddress(report, "outbound", s.Outbound())
	checkAddress(report, "local", s.Local())
	checkAddress(report, "upstream", s.Upstream())
	checkAddress(report, "readiness", s.Readiness())
	checkAddress(report, "fleet", s.Fleet())
	checkOptionalAddress(report, "metrics", s.Metrics())
	checkAddress(report, "platform", s.Platform())
	checkAddresses(report, "seeds", s.Seeds())
	checkPositiveDuration(report, "heartbeat", s.Heartbeat())
	checkPositiveDuration(report, "grace", s.Grace())
}
