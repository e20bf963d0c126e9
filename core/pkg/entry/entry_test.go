package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

var open = Conditions{IsEnrolled: true, IsAllowedByRules: true, UpstreamPhase: landing.PhaseServing, AdmissibleFlows: 1}

func ExampleRefusalReason() {
	fmt.Println(RefusalReason(open) == landing.RefusalUnspecified)
	excluded := open
	excluded.IsZoneExcluded = true
	fmt.Println(RefusalReason(excluded))
	// Output:
	// true
	// out
}

func TestEachConditionClosesTheDoor(t *testing.T) {
	is := is.New(t)
	cases := map[landing.Refusal]func(*Conditions){
		landing.RefusalForeign: func(d *Conditions) { d.IsForOtherService = true },
		landing.RefusalService: func(d *Conditions) { d.IsAllowedByRules = false },
		landing.RefusalOut:     func(d *Conditions) { d.IsZoneExcluded = true },
		landing.RefusalLeaving: func(d *Conditions) { d.UpstreamPhase = landing.PhaseDraining },
		landing.RefusalUnready: func(d *Conditions) { d.IsEnrolled = false },
		landing.RefusalRoom:    func(d *Conditions) { d.AdmissibleFlows = 0 },
		landing.RefusalCold:    func(d *Conditions) { d.AdmissibleFlows, d.IsInColdStart = 0, true },
	}
	for want, closes := range cases {
		d := open
		closes(&d)
		is.Equal(RefusalReason(d), want)
	}
	gone, silent := open, open
	gone.UpstreamPhase, silent.UpstreamPhase = landing.PhaseLeft, landing.PhaseUnspecified
	is.Equal(RefusalReason(gone), landing.RefusalLeaving)
	is.Equal(RefusalReason(silent), landing.RefusalUnready)
}
