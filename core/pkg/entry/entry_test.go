package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// admitting holds conditions under which a flow is admitted.
var admitting = Conditions{IsEnrolled: true, IsAllowedByRules: true, UpstreamPhase: landing.PhaseServing, AdmissibleFlows: 1}

func ExampleRefusalReason() {
	fmt.Println(RefusalReason(admitting) == landing.RefusalUnspecified)
	excluded := admitting
	excluded.IsZoneExcluded = true
	fmt.Println(RefusalReason(excluded))
	// Output:
	// true
	// out
}

func TestRefusalReason_EachCondition(t *testing.T) {
	is := is.New(t)
	cases := map[landing.Refusal]func(*Conditions){
		landing.RefusalForeign: func(c *Conditions) { c.IsForOtherService = true },
		landing.RefusalService: func(c *Conditions) { c.IsAllowedByRules = false },
		landing.RefusalOut:     func(c *Conditions) { c.IsZoneExcluded = true },
		landing.RefusalLeaving: func(c *Conditions) { c.UpstreamPhase = landing.PhaseDraining },
		landing.RefusalUnready: func(c *Conditions) { c.IsEnrolled = false },
		landing.RefusalRoom:    func(c *Conditions) { c.AdmissibleFlows = 0 },
		landing.RefusalCold:    func(c *Conditions) { c.AdmissibleFlows, c.IsInColdStart = 0, true },
	}
	for want, change := range cases {
		c := admitting
		change(&c)
		is.Equal(RefusalReason(c), want)
	}
	left, silent := admitting, admitting
	left.UpstreamPhase, silent.UpstreamPhase = landing.PhaseLeft, landing.PhaseUnspecified
	is.Equal(RefusalReason(left), landing.RefusalLeaving)
	is.Equal(RefusalReason(silent), landing.RefusalUnready)
}
