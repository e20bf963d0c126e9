package regression

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func day(name string, worth, prices float64, broken ...string) landing.DayResult {
	return landing.DayResult{}.WithDay(name).WithWorth(worth).WithServed(worth + prices).WithPrices(prices).WithBroken(broken...)
}

func ExampleCompare() {
	fmt.Println(Compare(day("quiet-1", 0.95, 0.05), day("quiet-1", 0.94, 0.05)))
	fmt.Println(Compare(day("quiet-1", 0.95, 0.05), day("quiet-1", 0.90, 0.07, "FLOW")))
	// Output:
	// []
	// [broken: FLOW worth fell by 0.050 prices rose by 0.020]
}

// recordedDays plays days from a map; a day that is not in it cannot be played.
type recordedDays map[string]landing.DayResult

func (r recordedDays) Play(_ context.Context, site, day string) (landing.DayResult, error) {
	result, found := r[site+" "+day]
	if !found {
		return landing.DayResult{}, errors.New("the bench is not here")
	}
	return result, nil
}

func TestRun_ReportsEachDay(t *testing.T) {
	is := is.New(t)
	baseline := landing.RegressionBaseline{}.WithSites(
		landing.SiteBaseline{}.WithSite("a").WithDays(day("quiet-1", 0.95, 0.05), day("trouble-1", 0.8, 0.05)),
		landing.SiteBaseline{}.WithSite("b").WithDays(day("quiet-1", 0.95, 0.05)))
	played := recordedDays{"a quiet-1": day("quiet-1", 0.95, 0.05), "a trouble-1": day("trouble-1", 0.81, 0.05), "b quiet-1": day("quiet-1", 0.95, 0.05)}
	var w strings.Builder
	results, isGood := Run(context.Background(), &w, played, baseline)
	is.True(isGood)
	is.Equal(strings.Count(w.String(), "\n"), 3)
	is.Equal(results.SitesAt(0).DaysAt(1).Worth(), 0.81)

	played["a trouble-1"] = day("trouble-1", 0.82, 0.05, "FLOW")
	_, isGood = Run(context.Background(), &w, played, baseline)
	is.True(!isGood)
	delete(played, "a trouble-1")
	results, isGood = Run(context.Background(), &w, played, baseline)
	is.True(!isGood)
	is.Equal(results.SitesAt(0).DaysAt(1).Worth(), 0.8) // that of the baseline
}

func TestFile_RoundTrip(t *testing.T) {
	is := is.New(t)
	baseline := landing.RegressionBaseline{}.WithCommit("c").WithSites(landing.SiteBaseline{}.WithSite("a").WithDays(day("quiet-1", 0.95, 0.05, "FLOW")))
	path := filepath.Join(t.TempDir(), "baseline.json")
	is.NoErr(WriteFile(path, baseline))
	read, err := ReadFile(path)
	is.NoErr(err)
	is.Equal(read, baseline)
	_, err = ReadFile(path + ".none")
	is.True(err != nil)
}
