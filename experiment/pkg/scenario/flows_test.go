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

func newDesk(count int) deployment.Service {
	return deployment.NewService("desk", 1, count, landing.KindRequests)
}

func start(t *testing.T, p deployment.Plan) *deployment.Deployment {
	t.Helper()
	d, err := deployment.New(p, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

func openFeeds(t *testing.T, d *deployment.Deployment, s deployment.Service, count int) []*traffic.Feed {
	t.Helper()
	var feeds []*traffic.Feed
	for i := range count {
		f, err := traffic.OpenFeed(d.Client(i%2), s.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.Close)
		feeds = append(feeds, f)
	}
	return feeds
}

// awaitProgress waits until each feed has more lines than it had, or has broken.
func awaitProgress(t *testing.T, feeds []*traffic.Feed) {
	t.Helper()
	before := make([]int, len(feeds))
	for i, f := range feeds {
		before[i] = f.Lines()
	}
	for i, f := range feeds {
		err := deployment.Await(func() bool { return f.Lines() > before[i] || f.Err() != nil })
		if err != nil {
			t.Fatalf("feed of %s stands still after %d lines", f.Instance(), f.Lines())
		}
	}
}

func TestFeedsSurviveBalancersAndUpstreamsThatComeAndGo(t *testing.T) {
	is := is.New(t)
	desk := newDesk(5)
	d := start(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, feedCount)
	awaitProgress(t, feeds)

	d.RemoveBalancer(d.Balancers()[0])
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
	d.RemoveBalancer(d.Balancers()[0])
	awaitProgress(t, feeds)

	for _, f := range feeds {
		is.NoErr(f.Err())
	}
}

func TestLeavingUpstreamEndsItsFeedsWholeAndGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	desk := newDesk(3)
	d := start(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, 30)
	awaitProgress(t, feeds)
	leaving := d.Nodes()[0]

	leaving.Upstream().AnnounceLeaving()
	is.NoErr(deployment.Await(func() bool { return !leaving.Snapshot().IsServing() }))
	fresh := openFeeds(t, d, desk, 30)
	awaitProgress(t, feeds)

	for _, f := range fresh {
		is.True(f.Instance() != leaving.Instance())
	}
	for _, f := range feeds {
		is.NoErr(f.Err())
	}
}

func TestKilledUpstreamBreaksOnlyItsOwnFeeds(t *testing.T) {
	is := is.New(t)
	desk := newDesk(3)
	d := start(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, 30)
	awaitProgress(t, feeds)
	victim := d.Nodes()[0]

	d.KillNode(victim)
	is.NoErr(d.AwaitReady())

	for _, f := range feeds {
		if f.Instance() == victim.Instance() {
			is.NoErr(deployment.Await(func() bool { return f.Err() != nil }))
			continue
		}
		awaitProgress(t, []*traffic.Feed{f})
		is.NoErr(f.Err())
	}
}

func TestZoneTakenOutGivesUpItsFeedsAndNoOthers(t *testing.T) {
	is := is.New(t)
	desk := newDesk(6)
	d := start(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, 36)
	awaitProgress(t, feeds)
	zones := map[string]string{}
	for _, n := range d.Nodes() {
		zones[n.Instance()] = n.Zone()
	}

	is.NoErr(takeZone(d, "khomas-b", true))
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
	is.NoErr(takeZone(d, "khomas-b", false))
	is.NoErr(deployment.Await(func() bool {
		f, err := traffic.OpenFeed(d.Client(0), desk.Address())
		if err != nil {
			return false
		}
		defer f.Close()
		return zones[f.Instance()] == "khomas-b"
	}))
}
