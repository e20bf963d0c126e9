// Package scenario tests whole deployments: open flows, limits and control state during failures and changes of the fleet,
// which consists of all balancers and sidecars.
package scenario

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/traffic"
)

const feedCount = 60

// newRequestService returns a service with this number of upstreams whose HTTP requests are admitted or refused one by
// one.
func newRequestService(count int) deployment.Service {
	return deployment.NewService("desk", 1, count, landing.KindRequests)
}

// startDeployment starts a deployment that is stopped at the end of the test.
func startDeployment(t *testing.T, p deployment.Plan) *deployment.Deployment {
	t.Helper()
	d, err := deployment.New(p, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

// openFeeds opens this number of feeds for two customers in turn. They are closed at the end of the test.
func openFeeds(t *testing.T, d *deployment.Deployment, s deployment.Service, count int) []*traffic.Feed {
	t.Helper()
	var feeds []*traffic.Feed
	for i := range count {
		f, err := traffic.OpenFeed(d.NewClient(i%2), s.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.Close)
		feeds = append(feeds, f)
	}
	return feeds
}

// awaitProgress waits until each feed has received a further line or ended with an error.
func awaitProgress(t *testing.T, feeds []*traffic.Feed) {
	t.Helper()
	before := make([]int, len(feeds))
	for i, f := range feeds {
		before[i] = f.LineCount()
	}
	for i, f := range feeds {
		err := deployment.Await(func() bool { return f.LineCount() > before[i] || f.Err() != nil })
		if err != nil {
			t.Fatalf("feed of %s received no line after the first %d", f.Instance(), f.LineCount())
		}
	}
}

// Open feeds continue while two balancers stop without notice, and while upstreams and a balancer are added.
func TestFeedsSurviveFleetChanges(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(5)
	d := startDeployment(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, feedCount)
	awaitProgress(t, feeds)

	d.FailBalancer(d.Balancers()[0])
	awaitProgress(t, feeds)
	for i := range 4 {
		_, err := d.AddNode(desk, 10+i)
		is.NoErr(err)
	}
	is.NoErr(d.AwaitReady())
	awaitProgress(t, feeds)
	_, err := d.AddBalancer(7)
	is.NoErr(err)
	is.NoErr(d.AwaitReady())
	awaitProgress(t, feeds)
	d.FailBalancer(d.Balancers()[0])
	awaitProgress(t, feeds)

	for _, f := range feeds {
		is.NoErr(f.Err())
	}
}

// An upstream that announces that it leaves keeps its open feeds and gets no new feeds.
func TestLeavingUpstreamKeepsOpenFeedsOnly(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(3)
	d := startDeployment(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, 30)
	awaitProgress(t, feeds)
	leaving := d.Nodes()[0]

	leaving.Upstream().AnnounceLeaving()
	is.NoErr(deployment.Await(func() bool { return !leaving.Snapshot().IsServing() }))
	newFeeds := openFeeds(t, d, desk, 30)
	awaitProgress(t, feeds)

	for _, f := range newFeeds {
		is.True(f.Instance() != leaving.Instance())
	}
	for _, f := range feeds {
		is.NoErr(f.Err())
	}
}

// When an upstream and its sidecar are killed, its feeds end with an error and all others continue.
func TestUpstreamKillBreaksOnlyItsFeeds(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(3)
	d := startDeployment(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, 30)
	awaitProgress(t, feeds)
	killed := d.Nodes()[0]

	d.KillNode(killed)
	is.NoErr(d.AwaitReady())

	for _, f := range feeds {
		if f.Instance() == killed.Instance() {
			is.NoErr(deployment.Await(func() bool { return f.Err() != nil }))
			continue
		}
		awaitProgress(t, []*traffic.Feed{f})
		is.NoErr(f.Err())
	}
}

// When a zone is excluded, the feeds of its upstreams end, all others continue, and no new feed goes to the zone until it
// is readmitted.
func TestZoneExclusionEndsOnlyItsFeeds(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(6)
	d := startDeployment(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, 36)
	awaitProgress(t, feeds)
	zones := map[string]string{}
	for _, n := range d.Nodes() {
		zones[n.Instance()] = n.Zone()
	}

	is.NoErr(setZoneExcluded(d, "khomas-b", true))
	for _, f := range feeds {
		if zones[f.Instance()] == "khomas-b" {
			is.NoErr(deployment.Await(func() bool { return f.Err() != nil }))
			continue
		}
		awaitProgress(t, []*traffic.Feed{f})
		is.NoErr(f.Err())
	}
	for _, f := range openFeeds(t, d, desk, 12) {
		is.True(zones[f.Instance()] != "khomas-b")
	}
	is.NoErr(setZoneExcluded(d, "khomas-b", false))
	is.NoErr(deployment.Await(func() bool {
		f, err := traffic.OpenFeed(d.NewClient(0), desk.Address())
		if err != nil {
			return false
		}
		defer f.Close()
		return zones[f.Instance()] == "khomas-b"
	}))
}
