package policylog

import (
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
	"github.com/crocuslanding/crocuslanding/core/pkg/policy"
)

// logged returns the log lines about rules that are received after others.
func logged(first, second landing.RoutingRules) []string {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	telemetry := common.New(log, counter.New())
	before := policy.Policy{}.WithRules(first)
	Rules(telemetry, before, before.WithRules(second), second, landing.WatchRead{})
	return lines
}

func TestRules_LogsIgnoredRulesThatOneOrderTakesForNewer(t *testing.T) {
	is := is.New(t)
	known := landing.RoutingRules{}.WithVersion(13).WithRevision(120).WithEra(1)
	older := known.WithVersion(10).WithRevision(90)
	is.Equal(len(logged(known, older)), 0)
	is.Equal(len(logged(known, older.WithEra(2))), 1) // the platform has come back from an older copy
}

func TestExclusions_LogsIgnoredExclusionsOfLaterEra(t *testing.T) {
	is := is.New(t)
	var lines []string
	telemetry := common.New(funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}), counter.New())
	received := landing.ZoneExclusions{}.WithRevision(90).WithEra(2).WithZones("a")
	before := policy.Policy{}.WithExclusions(landing.ZoneExclusions{}.WithRevision(120).WithEra(1))
	Exclusions(telemetry, before, before, received)
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], "exclusions ignored"))
}
