package traffic

import (
	"testing"

	"github.com/matryer/is"
)

func TestModelRefusesWhatMustNotHappen(t *testing.T) {
	for name, c := range map[string]struct {
		result Result
		ran    int
		want   bool
	}{
		"run once":             {ResultRun, 1, true},
		"run twice":            {ResultRun, 2, false},
		"answered but not run": {ResultRun, 0, false},
		"not run":              {ResultNotRun, 0, true},
		"refused but run":      {ResultNotRun, 1, false},
		"unknown, run":         {ResultUnknown, 1, true},
		"unknown, not run":     {ResultUnknown, 0, true},
		"unknown, run twice":   {ResultUnknown, 2, false},
		"crossed":              {ResultCrossed, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := NewHistory()
			h.AddConfirm(1, h.Begin(), "a", c.result)
			h.AddRead(1, h.Begin(), "a", c.ran)
			is.Equal(h.IsAtMostOnce(), c.want)
		})
	}
}
