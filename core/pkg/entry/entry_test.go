package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

var open = Door{IsEnrolled: true, IsAllowed: true, Phase: landing.PhaseServing, Room: 1}

func ExampleRefuse() {
	fmt.Println(Refuse(open) == landing.RefusalUnspecified)
	excluded := open
	excluded.IsExcluded = true
	fmt.Println(Refuse(excluded))
	// Output:
	// true
	// out
}

func TestEachConditionClosesTheDoor(t *testing.T) {
	is := is.New(t)
	cases := map[landing.Refusal]func(*Door){
		landing.RefusalForeign: func(d *Door) { d.IsForeign = true },
		landing.RefusalService: func(d *Door) { d.IsAllowed = false },
		landing.RefusalOut:     func(d *Door) { d.IsExcluded = true },
		landing.RefusalLeaving: func(d *Door) { d.Phase = landing.PhaseDraining },
		landing.RefusalUnready: func(d *Door) { d.IsEnrolled = false },
		landing.RefusalRoom:    func(d *Door) { d.Room = 0 },
		landing.RefusalCold:    func(d *Door) { d.Room, d.IsCold = 0, true },
	}
	for want, closes := range cases {
		d := open
		closes(&d)
		is.Equal(Refuse(d), want)
	}
	gone, silent := open, open
	gone.Phase, silent.Phase = landing.PhaseLeft, landing.PhaseUnspecified
	is.Equal(Refuse(gone), landing.RefusalLeaving)
	is.Equal(Refuse(silent), landing.RefusalUnready)
}
