package traffic

import (
	"testing"

	"github.com/matryer/is"
)

func TestHistoryIsAtMostOnce(t *testing.T) {
	for name, c := range map[string]struct {
		result   Result
		runCount int
		want     bool
	}{
		"confirmed, run once":  {ResultConfirmed, 1, true},
		"confirmed, run twice": {ResultConfirmed, 2, false},
		"confirmed, not run":   {ResultConfirmed, 0, false},
		"refused, not run":     {ResultNotRun, 0, true},
		"refused, run":         {ResultNotRun, 1, false},
		"unknown, run":         {ResultUnknown, 1, true},
		"unknown, not run":     {ResultUnknown, 0, true},
		"unknown, run twice":   {ResultUnknown, 2, false},
		"mismatched, run once": {ResultMismatched, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := NewHistory()
			h.AddConfirmation(1, h.ElapsedNanos(), "a", c.result)
			h.AddRunCount(1, h.ElapsedNanos(), "a", c.runCount)
			is.Equal(h.IsAtMostOnce(), c.want)
		})
	}
}
