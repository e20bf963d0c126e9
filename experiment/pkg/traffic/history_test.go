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
		"run once":              {ResultConfirmed, 1, true},
		"run twice":             {ResultConfirmed, 2, false},
		"confirmed but not run": {ResultConfirmed, 0, false},
		"not run":               {ResultNotRun, 0, true},
		"refused but run":       {ResultNotRun, 1, false},
		"unknown, run":          {ResultUnknown, 1, true},
		"unknown, not run":      {ResultUnknown, 0, true},
		"unknown, run twice":    {ResultUnknown, 2, false},
		"mismatched":            {ResultMismatched, 1, false},
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
