package scenario

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/admission"
	"github.com/crocuslanding/crocuslanding/core/pkg/mark"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/traffic"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/command"
)

// maxZoneTime is the time after which a zone that was taken out gets no more packets.
const maxZoneTime = 3 * time.Second

// isOutEverywhere says whether every balancer and every sidecar of the zone has it out.
func isOutEverywhere(d *deployment.Deployment, zone string) bool {
	target := landing.Target{}.WithZone(zone)
	for _, b := range d.Balancers() {
		if !mark.IsExcluded(b.Snapshot().View().Marks(), target) {
			return false
		}
	}
	for _, n := range d.Nodes() {
		if n.Zone() == zone && !n.Snapshot().IsExcluded() {
			return false
		}
	}
	return true
}

func TestZoneIsOutInTimeWhateverThePlatformDoes(t *testing.T) {
	for name, trouble := range map[string]landing.PlatformFault{
		"healthy": landing.NoFault{},
		"slow":    landing.CallsDelayed{},
		"down":    landing.CallsFail{},
		"garbled": landing.AnswersGarbled{},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := start(t, deployment.NewPlan(newDesk(6)))
			d.Platform().SetFault(trouble)
			begin := time.Now()
			done := make(chan error, 1)
			go func() { done <- takeZone(d, "khomas-b", true) }()
			is.NoErr(deployment.Await(func() bool { return isOutEverywhere(d, "khomas-b") }))
			took := time.Since(begin)
			t.Logf("in force everywhere after %.2f s", took.Seconds())
			is.True(took < maxZoneTime)
			is.NoErr(<-done)
		})
	}
}

func TestZoneTakenOutWhilePlatformIsDownIsSavedLater(t *testing.T) {
	is := is.New(t)
	d := start(t, deployment.NewPlan(newDesk(3)))
	d.Platform().SetFault(landing.CallsFail{})
	is.NoErr(takeZone(d, "khomas-b", true))
	d.Platform().SetFault(landing.NoFault{})
	client := d.NewPlatformClient()
	defer client.Close()
	is.NoErr(deployment.Await(func() bool {
		marks, err := readMarks(client)
		return err == nil && mark.IsExcluded(marks, landing.Target{}.WithZone("khomas-b"))
	}))
}

func TestTwoOperatorsTakeDifferentZonesOutAtOnce(t *testing.T) {
	is := is.New(t)
	desk := newDesk(6)
	d := start(t, deployment.NewPlan(desk))
	done := make(chan error, 2)
	go func() { done <- takeZone(d, "khomas-a", true) }()
	go func() { done <- takeZone(d, "khomas-b", true) }()
	is.NoErr(<-done)
	is.NoErr(<-done)
	is.NoErr(deployment.Await(func() bool {
		return isOutEverywhere(d, "khomas-a") && isOutEverywhere(d, "khomas-b")
	}))
	for range 20 {
		ctx, cancel := traffic.Timeout(5 * time.Second)
		instance, reason := traffic.Ping(ctx, d.Client(0), desk.Address())
		cancel()
		is.Equal(reason, "")
		is.True(instance == "desk-2" || instance == "desk-5")
	}
}

func TestUpstreamTakenOutIsPutBack(t *testing.T) {
	is := is.New(t)
	d := start(t, deployment.NewPlan(newDesk(3)))
	n := d.Nodes()[1]
	is.NoErr(landingctl(d, command.Upstream, "out", n.Instance()))
	is.NoErr(deployment.Await(func() bool { return n.Snapshot().IsExcluded() }))
	is.NoErr(landingctl(d, command.Upstream, "back", n.Instance()))
	is.NoErr(deployment.Await(func() bool { return !n.Snapshot().IsExcluded() }))
}

func TestNewBalancerLearnsListsAndMarksFromPeersWhilePlatformIsDown(t *testing.T) {
	is := is.New(t)
	d := start(t, deployment.NewPlan(newDesk(3)))
	is.NoErr(takeZone(d, "khomas-b", true))
	serial := d.Balancers()[0].Snapshot().Root().Serial()
	d.Platform().SetFault(landing.CallsFail{})
	b, err := d.AddBalancer(9)
	is.NoErr(err)
	is.NoErr(deployment.Await(func() bool {
		s := b.Snapshot()
		return s.Root().Serial() == serial && s.Roster().TargetsLen() == 3 && mark.IsExcluded(s.View().Marks(), landing.Target{}.WithZone("khomas-b"))
	}))
}

func readMarks(client *platform.Client) (landing.ExclusionMarks, error) {
	o, err := client.Get(context.Background(), object.MarksName)
	if err != nil {
		return landing.ExclusionMarks{}, err
	}
	return object.DecodeMarks(o.Value())
}

func TestReturnOfAZoneUnderLoadRefusesNothingAndBreaksNoFeed(t *testing.T) {
	is := is.New(t)
	desk := newDesk(6).WithTimes(coldService).WithCold(8, time.Second)
	d := start(t, deployment.NewPlan(desk))
	is.NoErr(takeZone(d, "khomas-b", true))
	is.NoErr(deployment.Await(func() bool { return isOutEverywhere(d, "khomas-b") }))
	feeds := openFeeds(t, d, desk, 30)
	load := startLoad(d, desk, coldCallers)
	for _, n := range d.Nodes() {
		if n.Zone() == "khomas-b" {
			n.Upstream().RestartColdStart(1)
		}
	}

	is.NoErr(takeZone(d, "khomas-b", false))
	is.NoErr(deployment.Await(func() bool { return isWarmIn(d, "khomas-b") }))

	for _, s := range load.Stop() {
		is.Equal(s.Reason(), "")
	}
	awaitProgress(t, feeds)
	for _, f := range feeds {
		is.NoErr(f.Err())
	}
	for _, n := range d.Nodes() {
		is.True(n.Upstream().MaxExcessRequests() <= maxOvershoot)
	}
}

// isWarmIn says whether every upstream of the zone takes requests in all its slots.
func isWarmIn(d *deployment.Deployment, zone string) bool {
	for _, n := range d.Nodes() {
		if n.Zone() == zone && !admission.IsWarm(n.AdmissionState()) {
			return false
		}
	}
	return true
}
