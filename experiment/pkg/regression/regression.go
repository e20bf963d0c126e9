// Package regression plays the days of a baseline again and compares the results.
package regression

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// worthTolerance is the fall of a day's worth up to which it counts as unchanged: processor time is measured, and a
	// day's worth varies with it.
	worthTolerance = 0.03
	// pricesTolerance is the rise of a day's prices up to which they count as unchanged.
	pricesTolerance = 0.01
)

// Player plays a day of a site and returns its result.
type Player interface {
	Play(ctx context.Context, site, day string) (landing.DayResult, error)
}

// Compare returns what is worse in a day's result than in its baseline, or nothing.
func Compare(baseline, result landing.DayResult) []string {
	var findings []string
	if result.BrokenLen() > 0 {
		findings = append(findings, "broken: "+strings.Join(result.Broken(), ", "))
	}
	if fall := baseline.Worth() - result.Worth(); fall > worthTolerance {
		findings = append(findings, fmt.Sprintf("worth fell by %.3f", fall))
	}
	if rise := result.Prices() - baseline.Prices(); rise > pricesTolerance {
		findings = append(findings, fmt.Sprintf("prices rose by %.3f", rise))
	}
	return findings
}

// Run plays all days of the baseline and prints a line for each, as soon as it was played. It returns the results in the
// form of a baseline, and whether no day is worse. A day that cannot be played counts as worse and keeps its earlier
// result.
func Run(ctx context.Context, w io.Writer, player Player, baseline landing.RegressionBaseline) (landing.RegressionBaseline, bool) {
	isGood := true
	number, count := 0, countDays(baseline)
	var sites []landing.SiteBaseline
	for _, site := range baseline.Sites() {
		var days []landing.DayResult
		for _, before := range site.Days() {
			number++
			result, err := player.Play(ctx, site.Site(), before.Day())
			if err != nil {
				isGood = false
				days = append(days, before)
				fmt.Fprintf(w, "[%d/%d] %s %s: NOT PLAYED: %v\n", number, count, site.Site(), before.Day(), err)
				continue
			}
			days = append(days, result)
			findings := Compare(before, result)
			isGood = isGood && len(findings) == 0
			fmt.Fprintf(w, "[%d/%d] %s %s: worth %.3f (%.3f), served %.3f (%.3f), prices %.3f (%.3f) %s\n", number, count, site.Site(), before.Day(),
				result.Worth(), before.Worth(), result.Served(), before.Served(), result.Prices(), before.Prices(), verdict(findings))
		}
		sites = append(sites, landing.SiteBaseline{}.WithSite(site.Site()).WithDays(days...))
	}
	return baseline.WithSites(sites...), isGood
}

func countDays(baseline landing.RegressionBaseline) int {
	count := 0
	for _, site := range baseline.Sites() {
		count += site.DaysLen()
	}
	return count
}

func verdict(findings []string) string {
	if len(findings) == 0 {
		return "ok"
	}
	return "WORSE: " + strings.Join(findings, "; ")
}
