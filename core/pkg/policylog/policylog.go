// Package policylog writes log lines about the routing rules and zone exclusions (the policy) that a process has read: which
// are in force, and which are not although they look newer. The policy is stored in the platform, whose changes are ordered
// by era and revision. A platform that has come back from an older copy begins a new era and gives out revisions again.
package policylog

import (
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
	"github.com/crocuslanding/crocuslanding/core/pkg/position"
)

// Rules logs the routing rules that were received from this source: that they are in force after the event, or that they
// were ignored although their version, or the time at which the platform accepted them, is later than that of the rules in
// force.
func Rules(telemetry common.Telemetry, before, after policy.Policy, received landing.RoutingRules, source landing.ReadSource) {
	inForce, previous := after.Rules().Rules(), before.Rules().Rules()
	switch {
	case after.Rules() != before.Rules():
		telemetry.Log().Info("rules in force", "version", inForce.Version(), "before", previous.Version(), "revision", inForce.Revision(), "era", inForce.Era(),
			"listeners", inForce.ListenersLen(), "source", policy.SourceLabel(source))
	case received.Revision() > 0 && (received.Version() > inForce.Version() || position.IsLater(position.OfRules(received), position.OfRules(inForce))):
		telemetry.Counters().Counter("rules_ignored").Inc(1)
		telemetry.Log().Info("rules ignored", "version", received.Version(), "revision", received.Revision(), "era", received.Era(),
			"kept", inForce.Version(), "since", inForce.Revision(), "source", policy.SourceLabel(source))
	}
}

// Exclusions logs the zone exclusions that were received: that others are in force after the event, or that they were ignored
// although they are of a later era.
func Exclusions(telemetry common.Telemetry, before, after policy.Policy, received landing.ZoneExclusions) {
	inForce := after.Exclusions()
	switch {
	case inForce.ChangedRevision() != before.Exclusions().ChangedRevision() || inForce.Era() != before.Exclusions().Era():
		telemetry.Log().Info("exclusions in force", "changed", inForce.ChangedRevision(), "revision", inForce.Revision(), "era", inForce.Era(), "zones", inForce.Zones())
	case received.Era() > inForce.Era():
		telemetry.Counters().Counter("exclusions_ignored").Inc(1)
		telemetry.Log().Info("exclusions ignored", "revision", received.Revision(), "era", received.Era(), "zones", received.Zones(),
			"kept", inForce.Zones(), "since", inForce.Revision())
	}
}

// Retained logs that exclusions are in force since the event because another process has stated that it retains them.
func Retained(telemetry common.Telemetry, before, after policy.Policy) {
	if zones := after.RetainedZones(); len(zones) > len(before.RetainedZones()) {
		telemetry.Log().Info("lost exclusions learned", "zones", zones, "era", after.Exclusions().Era())
	}
}
